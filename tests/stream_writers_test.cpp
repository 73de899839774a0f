#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "relay/stream_writers.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kStart{std::chrono::seconds(1'000)};
const upstream_instance kFirst{"i-1", 1};

stream_origin originOf(std::uint64_t stream, const std::string &version = "v1", std::uint32_t revision = 1)
{
    return {stream, revision, 14'000, "llm", version};
}

registration runOf(std::uint64_t startedAt, const std::string &version)
{
    registration run;
    run.id = kFirst.id;
    run.service = "llm";
    run.startedAt = startedAt;
    run.softwareVersion = version;
    return run;
}

/// A list of the writers with stream 1 begun at kStart, whose origin was told as of v1.
stream_writers withStream(bool isConfirmed = false)
{
    stream_writers writers = stream_writers::make({});
    writers.noteList(kStart - milliseconds(100));
    writers.begin(originOf(1), kFirst, isConfirmed);
    writers.notePart(kStart, 1);
    return writers;
}

} // namespace

// Guards against a stream of a new version that stays recorded as one of the version before, since it was broken off before the registration was read.
TEST(StreamWriters, BrokenStreamIsUnknownUntilAListShowsItsWriter)
{
    stream_writers writers = withStream();
    EXPECT_EQ(writers.end(kStart + milliseconds(300), 1, false), originOf(1, "", 2));
    EXPECT_TRUE(writers.advance(kStart + milliseconds(400)).empty());
    writers.noteList(kStart - milliseconds(1));
    EXPECT_TRUE(writers.advance(kStart + milliseconds(500)).empty()) << "the list is older than the stream";
    writers.noteList(kStart);
    EXPECT_EQ(writers.advance(kStart + milliseconds(600)), std::vector<stream_origin>{originOf(1, "v1", 3)});
    EXPECT_EQ(writers.size(), 0U);
}

TEST(StreamWriters, BrokenStreamOfAReplacedInstanceStaysUnknown)
{
    stream_writers writers = withStream();
    EXPECT_EQ(writers.end(kStart + milliseconds(300), 1, false), originOf(1, "", 2));
    EXPECT_TRUE(writers.noteInstance(runOf(2, "v2")).empty());
    writers.noteList(kStart + milliseconds(500));
    EXPECT_TRUE(writers.advance(kStart + milliseconds(600)).empty());
    EXPECT_EQ(writers.size(), 0U);
}

// Its caller may have lost the end of the answer and come back.
TEST(StreamWriters, CompleteStreamOfAReplacedInstanceBecomesUnknown)
{
    stream_writers writers = withStream();
    EXPECT_EQ(writers.end(kStart + milliseconds(300), 1, true), std::nullopt);
    EXPECT_EQ(writers.noteInstance(runOf(2, "v2")), std::vector<stream_origin>{originOf(1, "", 2)});
    EXPECT_EQ(writers.size(), 0U);
}

TEST(StreamWriters, CompleteStreamCostsNoMessageOnceItsWriterIsCertain)
{
    stream_writers writers = withStream();
    EXPECT_EQ(writers.end(kStart + milliseconds(300), 1, true), std::nullopt);
    writers.noteList(kStart + milliseconds(400));
    EXPECT_TRUE(writers.advance(kStart + milliseconds(500)).empty());
    EXPECT_EQ(writers.size(), 0U);
}

TEST(StreamWriters, StreamInProgressOfAReplacedInstanceBecomesUnknown)
{
    stream_writers writers = withStream();
    EXPECT_EQ(writers.noteInstance(runOf(2, "v2")), std::vector<stream_origin>{originOf(1, "", 2)});
    EXPECT_EQ(writers.end(kStart + seconds(1), 1, false), std::nullopt) << "it is unknown already";
}

TEST(StreamWriters, StreamThatBeganBeforeTheListKeepsItsVersionWhenItsInstanceIsReplaced)
{
    stream_writers writers = withStream();
    writers.noteList(kStart + milliseconds(900));
    EXPECT_TRUE(writers.noteInstance(runOf(2, "v2")).empty());
    EXPECT_EQ(writers.end(kStart + seconds(1), 1, false), std::nullopt);
}

TEST(StreamWriters, StreamOfAConfirmedInstanceIsKnown)
{
    stream_writers writers = withStream(true);
    EXPECT_EQ(writers.end(kStart + milliseconds(300), 1, false), std::nullopt);
}

// While the store is away no list shows an instance, but a stream that it has written all along does.
TEST(StreamWriters, StreamOfTheSameInstanceShowsTheWriterOfALaterOne)
{
    stream_writers writers = withStream();
    writers.noteList(kStart);
    writers.begin(originOf(2), kFirst, false);
    writers.notePart(kStart + seconds(5), 2);
    writers.notePart(kStart + seconds(6), 1);
    writers.begin(originOf(3), kFirst, false);
    writers.notePart(kStart + seconds(7), 3);
    EXPECT_EQ(writers.end(kStart + seconds(8), 2, false), std::nullopt);
    EXPECT_EQ(writers.end(kStart + seconds(8), 3, false), originOf(3, "", 2)) << "no part of the others has come since it began";
}

TEST(StreamWriters, RequestWithoutAnAnswerLeavesNothing)
{
    stream_writers writers = stream_writers::make({});
    writers.begin(originOf(1), kFirst, false);
    EXPECT_EQ(writers.end(kStart, 1, false), std::nullopt);
    EXPECT_EQ(writers.size(), 0U);
}

TEST(StreamWriters, StreamsAreForgottenWhenTheirCallersCannotComeBack)
{
    stream_writers writers = withStream();
    EXPECT_TRUE(writers.end(kStart + seconds(1), 1, false).has_value());
    writers.advance(kStart + seconds(14));
    EXPECT_EQ(writers.size(), 1U);
    writers.advance(kStart + seconds(15));
    EXPECT_EQ(writers.size(), 0U);
}

// Load pattern: one engine crashes and comes back under its id at any moment, mostly with a newer version, while streams of an entry begin and
// break off; the entry reads the list of upstreams now and then. Whenever a caller may come back, the version that other entries know for its
// stream is the one that wrote it, or none; and it is known in the end if the instance wasn't replaced.
RC_GTEST_PROP(StreamWriters, KnownVersionIsAlwaysTheOneThatWroteTheStream, ())
{
    struct written_stream
    {
        std::string writer;
        std::string known;
        bool hasBegun = false;
        bool isOpen = true;
        std::uint64_t instance = 0;
        bool isRegistered = false; ///< The list named the instance when the stream began.
    };
    stream_writers writers = stream_writers::make({});
    std::map<std::uint64_t, written_stream> streams;
    registration actual = runOf(1, "v1");
    registration listed = actual;
    int version = 1;
    std::uint64_t lastStream = 0;
    instant now = kStart;
    const auto tell = [&](const std::vector<stream_origin> &origins) {
        for (const stream_origin &origin : origins) {
            streams.at(origin.stream).known = origin.version;
        }
    };
    const auto endAll = [&] {
        for (auto &[stream, one] : streams) {
            if (one.isOpen) {
                one.isOpen = false;
                if (const auto origin = writers.end(now, stream, false)) {
                    tell({*origin});
                }
            }
        }
    };
    const auto readList = [&] {
        if (listed != actual) {
            listed = actual;
            tell(writers.noteInstance(listed));
        }
        writers.noteList(now);
        tell(writers.advance(now));
    };
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(1, 300));
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            endAll();
            version += *rc::gen::inRange(0, 2);
            actual = runOf(actual.startedAt + 1, "v" + std::to_string(version));
            break;
        case 1:
            readList();
            break;
        case 2:
        case 3:
            ++lastStream;
            streams[lastStream] = {actual.softwareVersion, listed.softwareVersion, false, true, actual.startedAt, listed == actual};
            writers.begin(originOf(lastStream, listed.softwareVersion), {listed.id, listed.startedAt}, false);
            break;
        default:
            for (auto &[stream, one] : streams) {
                if (one.isOpen && *rc::gen::arbitrary<bool>()) {
                    one.hasBegun = true;
                    writers.notePart(now, stream);
                }
            }
            break;
        }
        for (const auto &[stream, one] : streams) {
            RC_ASSERT(one.isOpen || !one.hasBegun || one.known.empty() || one.known == one.writer);
        }
    }
    endAll();
    now += milliseconds(1);
    readList();
    for (const auto &[stream, one] : streams) {
        const bool isCertainInTheEnd = one.hasBegun && one.isRegistered && one.instance == actual.startedAt;
        RC_ASSERT(!isCertainInTheEnd || one.known == one.writer);
    }
}
