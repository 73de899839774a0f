#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "relay/origin_record.h"
#include "relay/origin_recorder.h"
#include "relay/store_gossip.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

member entryNamed(const std::string &name)
{
    member entry;
    entry.id.name = name;
    entry.peerAddress = name + ":1";
    entry.state = member_state::Alive;
    return entry;
}

stream_origin originOf(std::uint64_t stream, const std::string &version = "v1")
{
    return {stream, 1, 14'000, "llm", version};
}

/// A fleet of recorders that pass each other their messages.
struct recording_fleet
{
    explicit recording_fleet(int size)
    {
        std::vector<member> all;
        for (int i = 0; i < size; ++i) {
            all.push_back(entryNamed("entry-" + std::to_string(i)));
            entries.push_back(origin_recorder::make({}, all.back().id.name));
        }
        for (int i = 0; i < size; ++i) {
            std::vector<member> others = all;
            others.erase(others.begin() + i);
            entries[static_cast<std::size_t>(i)].setMembers(others);
        }
    }

    void exchange()
    {
        for (origin_recorder &entry : entries) {
            for (const addressed_origin_message &each : entry.dueMessages()) {
                const std::size_t receiver = std::stoul(each.peerAddress.substr(std::string("entry-").size()));
                entries.at(receiver).onBatch(std::get<stream_origin_batch>(each.message));
                ++messages;
            }
        }
    }

    std::vector<origin_recorder> entries;
    std::size_t messages = 0;
};

} // namespace

// Load pattern: hundreds of entries begin streams all the time; the calls to the store must not grow with their number.
TEST(OriginRecorder, FewEntriesRecordTheOriginsOfAll)
{
    constexpr int kEntries = 340;
    constexpr std::uint64_t kStreams = 12;
    recording_fleet fleet(kEntries);
    std::uint64_t stream = 0;
    for (origin_recorder &entry : fleet.entries) {
        for (std::uint64_t i = 0; i < kStreams; ++i) {
            entry.add(originOf(++stream));
        }
    }
    fleet.exchange();
    std::size_t records = 0;
    for (origin_recorder &entry : fleet.entries) {
        std::set<std::uint64_t> recorded;
        for (auto due = entry.dueRecord(instant(seconds(1))); !due.empty(); due = entry.dueRecord(instant(seconds(1 + records)))) {
            ++records;
            entry.onRecorded();
            for (const stream_origin &origin : due) {
                recorded.insert(origin.stream);
            }
        }
        EXPECT_TRUE(recorded.empty() || recorded.size() == stream);
    }
    EXPECT_EQ(records, 2U * ((stream + kMaxOriginsPerRecord - 1) / kMaxOriginsPerRecord));
}

TEST(OriginRecorder, EntryOnItsOwnRecordsWhatItBegins)
{
    auto recorder = origin_recorder::make({}, "entry-0");
    recorder.add(originOf(1));
    EXPECT_TRUE(recorder.dueMessages().empty());
    EXPECT_EQ(recorder.dueRecord(instant(seconds(1))), std::vector<stream_origin>{originOf(1)});
    recorder.onRecorded();
    EXPECT_TRUE(recorder.dueRecord(instant(seconds(2))).empty());
}

TEST(OriginRecorder, RecordsAreAsFarApartAsTheSettingsSay)
{
    auto recorder = origin_recorder::make({}, "entry-0");
    recorder.add(originOf(1));
    EXPECT_FALSE(recorder.dueRecord(instant(seconds(1))).empty());
    recorder.onRecorded();
    recorder.add(originOf(2));
    EXPECT_TRUE(recorder.dueRecord(instant(seconds(1)) + milliseconds(499)).empty());
    EXPECT_FALSE(recorder.dueRecord(instant(seconds(1)) + milliseconds(500)).empty());
}

// Load pattern: the first event of a stream is kept back until the store holds its origin.
TEST(OriginRecorder, RequestedOriginsAreRecordedAtOnceAndAcknowledgedWhenTheStoreHoldsThem)
{
    auto recorder = origin_recorder::make({}, "entry-0");
    const instant begin(seconds(1));
    recorder.add(originOf(1));
    EXPECT_EQ(recorder.dueRecord(begin).size(), 1U);
    recorder.onRecorded();
    recorder.add(originOf(2));
    EXPECT_EQ(recorder.recordDueAt(), begin + milliseconds(500));
    recorder.onRequest(begin + milliseconds(20), "entry-1:1", {7, originOf(3)});
    EXPECT_EQ(recorder.recordDueAt(), begin + milliseconds(100));
    EXPECT_TRUE(recorder.dueRecord(begin + milliseconds(99)).empty());
    EXPECT_EQ(recorder.dueRecord(begin + milliseconds(100)), (std::vector<stream_origin>{originOf(2), originOf(3)}));
    const std::vector<origin_requester> expected = {{"entry-1:1", {7, 3}}};
    EXPECT_EQ(recorder.onRecorded(), expected);
    EXPECT_TRUE(recorder.onRecorded().empty());
    EXPECT_EQ(recorder.recordDueAt(), std::nullopt);
}

// Load pattern: streams begin all the time, and each waits for the first record that has its origin.
TEST(OriginRecorder, RequestedRecordsOfTwoEntriesAreMadeInTurns)
{
    recording_fleet fleet(2);
    const instant begin(seconds(1));
    std::vector<std::vector<milliseconds>> recorded(2);
    std::uint32_t number = 0;
    for (milliseconds after(0); after < milliseconds(400); after += milliseconds(10)) {
        ++number;
        for (std::size_t i = 0; i < 2; ++i) {
            fleet.entries[i].onRequest(begin + after, "entry-9:1", {number, originOf(number)});
            if (!fleet.entries[i].dueRecord(begin + after).empty()) {
                recorded[i].push_back(after);
                fleet.entries[i].onRecorded();
            }
        }
    }
    const bool isFirst = precedesInReading("entry-0", "entry-1");
    EXPECT_EQ(recorded[isFirst ? 0 : 1], (std::vector<milliseconds>{milliseconds(0), milliseconds(100), milliseconds(200), milliseconds(300)}));
    EXPECT_EQ(recorded[isFirst ? 1 : 0], (std::vector<milliseconds>{milliseconds(50), milliseconds(150), milliseconds(250), milliseconds(350)}));
}

// Load pattern: the store takes longer for a record than the interval between two.
TEST(OriginRecorder, SlowStoreMakesRecordsLargerAndNotAQueueOfThem)
{
    auto recorder = origin_recorder::make({}, "entry-0");
    const instant begin(seconds(1));
    recorder.onRequest(begin, "entry-1:1", {1, originOf(1)});
    EXPECT_EQ(recorder.dueRecord(begin).size(), 1U);
    for (std::uint32_t number = 2; number <= 20; ++number) {
        recorder.onRequest(begin, "entry-1:1", {number, originOf(number)});
        EXPECT_TRUE(recorder.dueRecord(begin + milliseconds(100) * number).empty());
    }
    EXPECT_EQ(recorder.onRecorded().size(), 1U);
    EXPECT_EQ(recorder.dueRecord(begin + milliseconds(2'000)).size(), 19U);
    EXPECT_EQ(recorder.onRecorded().size(), 19U);
}

// Load pattern: while the store is away, the same requests come again and again.
TEST(OriginRecorder, RepeatedRequestsAreRecordedOnceAndThoseOfARestartedEntryAnew)
{
    auto recorder = origin_recorder::make({}, "entry-0");
    for (int repeats = 0; repeats < 5; ++repeats) {
        recorder.onRequest(instant(seconds(1)), "entry-1:1", {1, originOf(1)});
    }
    recorder.onRequest(instant(seconds(1)), "entry-1:1", {1, originOf(2)});
    EXPECT_EQ(recorder.dueRecord(instant(seconds(1))).size(), 2U);
    recorder.onRequest(instant(seconds(1)), "entry-1:1", {1, originOf(1)});
    EXPECT_EQ(recorder.onRecorded().size(), 2U);
    EXPECT_FALSE(recorder.hasUnrecorded());
}

// Load pattern: the store is away for so long that not all origins can be kept.
TEST(OriginRecorder, OldestOriginsAreDroppedFirstAndMayBeRequestedAgain)
{
    origin_recorder_settings settings;
    settings.maxWaiting = 2;
    auto recorder = origin_recorder::make(settings, "entry-0");
    for (std::uint32_t number = 1; number <= 3; ++number) {
        recorder.onRequest(instant(seconds(1)), "entry-1:1", {number, originOf(number)});
    }
    recorder.onRequest(instant(seconds(1)), "entry-1:1", {1, originOf(1)});
    EXPECT_EQ(recorder.dueRecord(instant(seconds(1))), (std::vector<stream_origin>{originOf(3), originOf(1)}));
}

TEST(OriginRecorder, ChangeOfTheOtherRecordersIsReported)
{
    auto recorder = origin_recorder::make({}, "entry-0");
    EXPECT_TRUE(recorder.setMembers({entryNamed("entry-1")}));
    EXPECT_FALSE(recorder.setMembers({entryNamed("entry-1")}));
    EXPECT_EQ(recorder.requestMessages({7, originOf(1)}).size(), 1U);
    EXPECT_TRUE(recorder.setMembers({}));
    EXPECT_TRUE(recorder.requestMessages({7, originOf(1)}).empty());
}

TEST(OriginRecorder, MemoryIsBounded)
{
    origin_recorder_settings settings;
    settings.maxWaiting = 10;
    auto recorder = origin_recorder::make(settings, "entry-0");
    for (std::uint64_t stream = 0; stream < 100; ++stream) {
        recorder.add(originOf(stream));
    }
    EXPECT_EQ(recorder.dueRecord(instant(seconds(1))).size(), 10U);
}

TEST(OriginRecord, OriginsSurviveTheRoundTrip)
{
    const std::vector<stream_origin> origins = {originOf(1), originOf(~std::uint64_t{0}, "v2"), {3, 7, 0, "other", ""}};
    EXPECT_EQ(readOriginRecord(makeOriginRecord(origins), nullptr), origins);
}

TEST(OriginRecord, SummaryOfVersionsSurvivesTheRoundTrip)
{
    const version_summary summary{{4, ~std::uint64_t{0}}, 90'000, {{"llm", "v1", 0}, {"llm", "v2", 4'500}, {"web", "", 0}}};
    const std::string record = makeOriginRecord({originOf(1)}, summary);
    EXPECT_EQ(readVersionSummary(record, nullptr), summary);
    EXPECT_EQ(readOriginRecord(record, nullptr), std::vector<stream_origin>{originOf(1)});
    EXPECT_EQ(readVersionSummary(makeOriginRecord({originOf(1)}), nullptr), std::nullopt);
}

TEST(OriginRecord, InvalidSummariesAreRejected)
{
    for (const char *summary : {"7",
                                "{}",
                                R"({"era":0,"offset":1,"current_ms":1})",
                                R"({"era":0,"offset":-1,"current_ms":1,"versions":[]})",
                                R"({"era":0,"offset":1,"current_ms":4294967296,"versions":[]})",
                                R"({"era":0,"offset":1,"current_ms":1,"versions":[["llm","v1"]]})",
                                R"({"era":0,"offset":1,"current_ms":1,"versions":[["llm",7,0]]})",
                                R"({"era":"4","offset":1,"current_ms":1,"versions":[]})"}) {
        last_reason reason;
        EXPECT_FALSE(readVersionSummary(std::string(R"({"versions":[],"streams":[],"registered":)") + summary + "}", &reason)) << summary;
        EXPECT_NE(reason.text(), "") << summary;
    }
}

// Only an entry that reads the store itself knows up to where it knows the registrations.
TEST(OriginRecorder, EntriesThatReadTheStoreRecord)
{
    recording_fleet fleet(40);
    for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
        std::size_t rank = 0;
        for (std::size_t other = 0; other < fleet.entries.size(); ++other) {
            rank += precedesInReading("entry-" + std::to_string(other), "entry-" + std::to_string(i)) ? 1 : 0;
        }
        fleet.entries[i].add(originOf(i));
        EXPECT_EQ(fleet.entries[i].dueRecord(instant(seconds(1))).empty(), rank >= 2) << "rank " << rank;
    }
}

TEST(OriginRecord, LargestRecordFitsTheStore)
{
    constexpr std::size_t kMaxRecordBytes = 262'144;
    std::vector<stream_origin> origins;
    for (std::size_t i = 0; i < kMaxOriginsPerRecord; ++i) {
        origins.push_back({~std::uint64_t{0} - i, 99, 120'000, "llm", "v" + std::to_string(i % 8)});
    }
    EXPECT_LT(makeOriginRecord(origins).size(), kMaxRecordBytes);
}

// Another writer may leave anything in the stream of the records.
TEST(OriginRecord, InvalidRecordsAreRejected)
{
    last_reason reason;
    for (const char *text : {"",
                             "[]",
                             "{}",
                             R"({"versions":[],"streams":[["ff",0,1,1]]})",
                             R"({"versions":[["a"]],"streams":[]})",
                             R"({"versions":[["a","b"]],"streams":[["xyz",0,1,1]]})",
                             R"({"versions":[["a","b"]],"streams":[["ff",-1,1,1]]})",
                             R"({"versions":[["a","b"]],"streams":[["ff",0,1e300,1]]})",
                             R"({"versions":[["a","b"]],"streams":[["ff",0,1,99999999999]]})",
                             R"({"versions":[["a","b"]],"streams":[["ff",0,1]]})"}) {
        EXPECT_FALSE(readOriginRecord(text, &reason)) << text;
        EXPECT_FALSE(reason.text().empty());
    }
}
