#include <gtest/gtest.h>

#include <algorithm>
#include <malloc.h>

#include "relay/stream_origin_exchange.h"
#include "relay/version_history.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const instant kStart = instant(seconds(1'000));

stream_origin originOf(std::uint64_t stream, const std::string &version, std::uint32_t revision = 1)
{
    return {stream, revision, 14'000, "llm", version};
}

std::vector<member> membersNamed(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t i = 0; i < count; ++i) {
        member one;
        one.id = {"entry-" + std::to_string(i), 1};
        one.peerAddress = "10.0.0." + std::to_string(i) + ":1";
        members.push_back(one);
    }
    return members;
}

/// An exchange of an entry that knows nothing about the versions that have served.
stream_origin_exchange makeExchange()
{
    return stream_origin_exchange::make({}, [](const sought_stream &) { return std::nullopt; });
}

sought_stream soughtOf(std::uint64_t stream)
{
    return {stream, "llm", seconds(19)};
}

} // namespace

TEST(StreamOriginTable, OriginIsForgottenAfterItsLife)
{
    auto table = stream_origin_table::make({});
    table.note(kStart, originOf(1, "v1"));
    EXPECT_EQ(table.find(kStart + seconds(13), 1)->version, "v1");
    EXPECT_EQ(table.find(kStart + seconds(14), 1), std::nullopt);
    table.note(kStart + seconds(10), originOf(1, "v1"));
    EXPECT_EQ(table.find(kStart + seconds(23), 1)->version, "v1");
    table.expire(kStart + seconds(24));
    EXPECT_EQ(table.size(), 0U);
}

TEST(StreamOriginTable, EarlierRevisionThatComesLaterChangesNothing)
{
    auto table = stream_origin_table::make({});
    table.note(kStart, originOf(1, "v1.1", 2));
    table.note(kStart + seconds(1), originOf(1, "v1", 1));
    EXPECT_EQ(table.find(kStart + seconds(1), 1)->version, "v1.1");
}

// Load pattern: many more streams than are kept, of a few services and versions.
TEST(StreamOriginTable, AHundredThousandStreamsTakeABoundedAmountOfMemory)
{
    constexpr std::size_t kStreams = 100'000;
    constexpr std::size_t kMaxBytes = std::size_t{20} * 1024 * 1024;
    const std::size_t before = ::mallinfo2().uordblks;
    auto table = stream_origin_table::make({});
    for (std::uint64_t stream = 0; stream < 2 * kStreams; ++stream) {
        table.note(kStart + std::chrono::microseconds(stream), originOf(stream, stream % 2 == 0 ? "v1" : "v1.1"));
    }
    EXPECT_EQ(table.size(), kStreams);
    EXPECT_LE(::mallinfo2().uordblks - before, kMaxBytes);
    EXPECT_EQ(table.find(kStart + seconds(1), 0), std::nullopt) << "the oldest are dropped";
    EXPECT_EQ(table.find(kStart + seconds(1), 2 * kStreams - 1)->version, "v1.1");
}

TEST(StreamOriginExchange, KeepersStayTheSameWhenOthersAreLost)
{
    std::vector<member> members = membersNamed(20);
    for (std::uint64_t stream = 1; stream < 200; ++stream) {
        const auto keepers = originKeepers(stream, members, 3);
        ASSERT_EQ(keepers.size(), 3U);
        std::vector<member> left;
        for (const member &one : members) {
            if (&one != keepers[0] && &one != keepers[1]) {
                left.push_back(one);
            }
        }
        EXPECT_EQ(originKeepers(stream, left, 1).front()->id, keepers[2]->id);
    }
}

TEST(StreamOriginExchange, EntryWithoutOthersKnowsItsOwnStreamsOnly)
{
    auto exchange = makeExchange();
    EXPECT_TRUE(exchange.tell(kStart, originOf(1, "v1")).empty());
    EXPECT_TRUE(exchange.isKept(1));
    EXPECT_EQ(exchange.find(kStart, soughtOf(1))->version, "v1");
    std::vector<addressed_origin_message> sends;
    const std::uint32_t number = exchange.ask(kStart, soughtOf(2), &sends);
    EXPECT_TRUE(sends.empty());
    const origin_effects effects = exchange.advance(kStart);
    ASSERT_EQ(effects.results.size(), 1U);
    EXPECT_EQ(effects.results.front(), (origin_query_result{number, std::nullopt}));
}

TEST(StreamOriginExchange, ChangedVersionIsKeptOnlyOnceAllThatWereToldTheFirstKnowIt)
{
    auto exchange = makeExchange();
    exchange.setMembers(membersNamed(6));
    const auto first = exchange.tell(kStart, originOf(1, "v1"));
    ASSERT_EQ(first.size(), 3U);
    exchange.onMessage(kStart, first[0].peerAddress, stream_origin_ack{std::get<stream_origin_report>(first[0].message).number});
    EXPECT_TRUE(exchange.isKept(1));
    const auto second = exchange.tell(kStart, originOf(1, "v1.1", 2));
    ASSERT_EQ(second.size(), 3U);
    EXPECT_FALSE(exchange.isKept(1));
    // A late acknowledgement of the first report says nothing about the second.
    exchange.onMessage(kStart, first[1].peerAddress, stream_origin_ack{std::get<stream_origin_report>(first[1].message).number});
    EXPECT_FALSE(exchange.isKept(1));
    for (const addressed_origin_message &each : second) {
        EXPECT_FALSE(exchange.isKeptByAll(1));
        exchange.onMessage(kStart, each.peerAddress, stream_origin_ack{std::get<stream_origin_report>(each.message).number});
    }
    EXPECT_TRUE(exchange.isKeptByAll(1));
}

// Load pattern: the entries that should remember an origin have been lost, and their loss isn't known yet.
TEST(StreamOriginExchange, FurtherEntriesTakeThePlaceOfThoseThatDoNotAcknowledge)
{
    auto exchange = makeExchange();
    exchange.setMembers(membersNamed(9));
    const auto first = exchange.tell(kStart, originOf(1, "v1"));
    ASSERT_EQ(first.size(), 3U);
    exchange.onMessage(kStart, first[0].peerAddress, stream_origin_ack{std::get<stream_origin_report>(first[0].message).number});
    const auto again = exchange.advance(kStart + milliseconds(100)).sends;
    EXPECT_EQ(again.size(), 4U) << "both that are missing, and two more";
    EXPECT_LE(exchange.advance(kStart + milliseconds(200)).sends.size(), 5U) << "no more than are asked";
}

TEST(StreamOriginExchange, QueryEndsWithTheFirstEntryThatKnows)
{
    auto exchange = makeExchange();
    exchange.setMembers(membersNamed(8));
    std::vector<addressed_origin_message> sends;
    const std::uint32_t number = exchange.ask(kStart, soughtOf(7), &sends);
    ASSERT_EQ(sends.size(), exchange.settings().askedEntries);
    EXPECT_TRUE(exchange.onMessage(kStart, sends[0].peerAddress, stream_origin_reply{number, false, {}}).results.empty());
    EXPECT_TRUE(exchange.onMessage(kStart, sends[1].peerAddress, stream_origin_reply{number, true, originOf(8, "v1")}).results.empty()) << "of another stream";
    const origin_effects effects = exchange.onMessage(kStart, sends[2].peerAddress, stream_origin_reply{number, true, originOf(7, "v1")});
    ASSERT_EQ(effects.results.size(), 1U);
    EXPECT_EQ(effects.results.front().origin, originOf(7, "v1"));
    EXPECT_TRUE(exchange.advance(kStart + seconds(1)).results.empty());
}

TEST(StreamOriginExchange, EntryThatStopsHandsItsOriginsOver)
{
    auto exchange = makeExchange();
    exchange.setMembers(membersNamed(6));
    exchange.tell(kStart, originOf(1, "v1"));
    const auto handed = exchange.handOver(kStart + seconds(4));
    ASSERT_EQ(handed.size(), 3U);
    EXPECT_EQ(std::get<stream_origin_report>(handed.front().message).origin.lifeMs, 10'000U);
}

TEST(StreamOriginExchange, OnlyVersionThatHasServedIsTheOriginOfAnUnknownStream)
{
    const auto exchange = stream_origin_exchange::make({}, [](const sought_stream &sought) {
        return sought.service == "llm" && sought.window == seconds(19) ? std::optional<std::string>("v1") : std::nullopt;
    });
    EXPECT_EQ(exchange.find(kStart, soughtOf(1))->version, "v1");
    EXPECT_EQ(exchange.find(kStart, {1, "other", seconds(19)}), std::nullopt);
}

TEST(VersionHistory, OnlyVersionIsKnownOnceItHasServedForLongEnough)
{
    auto history = version_history::make({});
    const auto only = [&history](instant now, const std::set<std::string> &present) {
        return history.onlyVersion(now, now - seconds(1), "llm", present, seconds(19));
    };
    for (instant now = kStart; now < kStart + seconds(30); now += seconds(1)) {
        history.noteCurrent(now, milliseconds(500));
        history.noteRead(now);
    }
    EXPECT_EQ(only(kStart + seconds(18), {"v1"}), std::nullopt) << "the entry has just started";
    EXPECT_EQ(only(kStart + seconds(30), {"v1"}), "v1");
    EXPECT_EQ(only(kStart + seconds(30), {"v1", "v2"}), std::nullopt);
    EXPECT_EQ(only(kStart + seconds(30), {""}), std::nullopt);
    EXPECT_EQ(only(kStart + seconds(30), {}), std::nullopt);
}

TEST(VersionHistory, VersionThatHasGoneMayHaveBegunAStream)
{
    auto history = version_history::make({});
    for (instant now = kStart; now <= kStart + seconds(60); now += seconds(1)) {
        history.noteCurrent(now, duration::zero());
        history.noteRead(now);
        if (now == kStart + seconds(30)) {
            history.note(now, "llm", "v1");
        }
    }
    EXPECT_EQ(history.onlyVersion(kStart + seconds(60), kStart + seconds(60), "llm", {"v2"}, seconds(19)), "v2");
    EXPECT_EQ(history.onlyVersion(kStart + seconds(60), kStart + seconds(60), "llm", {"v2"}, seconds(31)), std::nullopt);
}

// Only while several versions serve must the origin of a stream be recorded before its first event.
TEST(VersionHistory, SeveralVersionsAreKnownForAsLongAsAStreamCanLast)
{
    auto history = version_history::make({});
    const auto engine = [](const std::string &id, const std::string &service, const std::string &version) {
        registration run;
        run.id = id;
        run.service = service;
        run.softwareVersion = version;
        return run;
    };
    const auto hasSeveral = [&history](instant now) { return history.hasSeveral(now, "llm", seconds(30)); };
    EXPECT_FALSE(hasSeveral(kStart));
    history.noteRegistered(kStart, engine("a", "llm", "v1"));
    history.noteRegistered(kStart, engine("b", "web", "v2"));
    EXPECT_FALSE(hasSeveral(kStart + seconds(60))) << "the other version is one of another service";
    history.noteRegistered(kStart + seconds(60), engine("c", "llm", "v2"));
    EXPECT_TRUE(hasSeveral(kStart + seconds(60)));
    EXPECT_TRUE(hasSeveral(kStart + seconds(600))) << "both are still registered";
    history.noteRemoved(kStart + seconds(600), engine("a", "llm", "v1"));
    EXPECT_TRUE(hasSeveral(kStart + seconds(630)));
    EXPECT_FALSE(hasSeveral(kStart + seconds(631)));
}

// Load pattern: engines are restarted one by one under their ids with a new version, so that no registration is ever removed. The version before
// was last noted when the engines were added, and streams that it had begun were continued at the new one.
TEST(VersionHistory, VersionThatRestartsUnderTheSameIdsReplaceHasServedUntilThen)
{
    auto history = version_history::make({});
    const auto engine = [](const std::string &id, std::uint64_t startedAt, const std::string &version) {
        registration run;
        run.id = id;
        run.service = "llm";
        run.startedAt = startedAt;
        run.softwareVersion = version;
        return run;
    };
    for (const char *id : {"a", "b", "c"}) {
        history.noteRegistered(kStart, engine(id, 1, "v1"));
    }
    instant now = kStart;
    const auto listUntil = [&](instant end) {
        for (; now < end; now += seconds(1)) {
            history.noteCurrent(now, duration::zero());
            history.noteRead(now);
        }
        history.noteRead(now);
    };
    listUntil(kStart + seconds(60));
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(19)), "v1");
    for (const char *id : {"a", "b", "c"}) {
        listUntil(now + seconds(4));
        history.noteRegistered(now, engine(id, 2, "v2"));
    }
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v2"}, seconds(19)), std::nullopt) << "v1 has served until now";
    listUntil(now + seconds(19));
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v2"}, seconds(19)), std::nullopt);
    listUntil(now + seconds(2));
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v2"}, seconds(19)), "v2");
}

// An upstream that is removed and comes back under its id later has not served in between.
TEST(VersionHistory, VersionHasServedUntilItsRegistrationWasRemoved)
{
    auto history = version_history::make({});
    registration run;
    run.id = "a";
    run.service = "llm";
    run.softwareVersion = "v1";
    history.noteRegistered(kStart, run);
    history.noteRemoved(kStart + seconds(10), run);
    run.softwareVersion = "v2";
    run.startedAt = 2;
    history.noteRegistered(kStart + seconds(40), run);
    for (int second = 10; second <= 40; ++second) {
        history.noteCurrent(kStart + seconds(second), duration::zero());
    }
    history.noteRead(kStart + seconds(40));
    EXPECT_EQ(history.onlyVersion(kStart + seconds(40), kStart + seconds(40), "llm", {"v2"}, seconds(19)), "v2");
    EXPECT_EQ(history.onlyVersion(kStart + seconds(40), kStart + seconds(40), "llm", {"v2"}, seconds(30)), std::nullopt);
}

TEST(VersionHistory, NothingIsKnownDuringAndAfterAGap)
{
    auto history = version_history::make({});
    for (instant now = kStart; now <= kStart + seconds(30); now += seconds(1)) {
        history.noteCurrent(now, duration::zero());
        history.noteRead(now);
    }
    EXPECT_EQ(history.onlyVersion(kStart + seconds(33), kStart + seconds(30), "llm", {"v1"}, seconds(19)), std::nullopt);
    for (instant now = kStart + seconds(34); now <= kStart + seconds(60); now += seconds(1)) {
        history.noteCurrent(now, duration::zero());
        history.noteRead(now);
        const auto only = history.onlyVersion(now, now, "llm", {"v1"}, seconds(19));
        EXPECT_EQ(only.has_value(), now >= kStart + seconds(34 + 19));
    }
}

// An entry that was stopped or cut off took its list for current and named the only version on it for a stream of a newer one.
TEST(VersionHistory, ListOlderThanTheQuestionTellsNothing)
{
    auto history = version_history::make({});
    for (instant now = kStart; now <= kStart + seconds(30); now += seconds(1)) {
        history.noteCurrent(now, duration::zero());
        history.noteRead(now);
    }
    EXPECT_EQ(history.onlyVersion(kStart + milliseconds(32'400), kStart + milliseconds(32'300), "llm", {"v1"}, seconds(19)), std::nullopt);
    history.noteRead(kStart + milliseconds(32'200));
    EXPECT_EQ(history.onlyVersion(kStart + milliseconds(32'400), kStart + milliseconds(32'300), "llm", {"v1"}, seconds(19)), std::nullopt)
        << "the read began before the question, so it may have missed a version";
    history.noteRead(kStart + milliseconds(32'300));
    EXPECT_EQ(history.onlyVersion(kStart + milliseconds(32'400), kStart + milliseconds(32'300), "llm", {"v1"}, seconds(19)), "v1");
}

namespace
{

constexpr registrations_position kPosition{0, 500};

/// The history of an entry that has known one version for @p time until @p now.
version_history historyOf(instant now, duration time, const std::string &version)
{
    auto history = version_history::make({});
    for (instant at = now - time; at <= now; at += milliseconds(500)) {
        history.noteCurrent(at, {});
        history.noteRead(at, kPosition);
    }
    registration run;
    run.id = "a";
    run.service = "llm";
    run.softwareVersion = version;
    history.noteRegistered(now - time, run);
    return history;
}

} // namespace

// Regression test: all entries lost power, and streams that had been too short to be recorded were refused, though one version only had served.
TEST(VersionHistory, SummaryOfAnEntryThatIsGoneExtendsTheHistory)
{
    const instant lostAt = kStart + seconds(60);
    const auto summary = historyOf(lostAt, seconds(17), "v1").summary(lostAt);
    ASSERT_TRUE(summary);
    EXPECT_EQ(summary->position, kPosition);
    const instant startedAt = lostAt + seconds(1);
    const instant now = startedAt + seconds(4);
    version_history history = historyOf(now, seconds(4), "v1");
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(19)), std::nullopt);
    EXPECT_TRUE(history.noteSummary(now, *summary, startedAt, now, {{"llm", "v1", 0}}));
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(17)), "v1");
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(19)), "v1");
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(22)), std::nullopt) << "nobody knows what served that long ago";
}

// A stream of two versions is worse than one that is refused.
TEST(VersionHistory, VersionsOfASummaryOrRegisteredSinceCountAsServed)
{
    const instant lostAt = kStart + seconds(60);
    const instant now = lostAt + seconds(5);
    version_history before = historyOf(lostAt, seconds(30), "v1");
    before.note(lostAt - seconds(10), "llm", "v0");
    version_history history = historyOf(now, seconds(4), "v1");
    EXPECT_TRUE(history.noteSummary(now, before.summary(lostAt).value_or(version_summary{}), now - seconds(4), now, {}));
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(19)), std::nullopt) << "v0 served before the loss";
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(13)), "v1");

    history = historyOf(now, seconds(4), "v1");
    const auto summary = historyOf(lostAt, seconds(30), "v1").summary(lostAt);
    EXPECT_TRUE(history.noteSummary(now, summary.value_or(version_summary{}), now - seconds(4), now, {{"llm", "v1", 0}, {"llm", "v2", 0}}));
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(19)), std::nullopt) << "v2 was registered around the loss";
}

TEST(VersionHistory, SummaryIsNotUsedWithAGapAfterIt)
{
    const instant lostAt = kStart + seconds(60);
    const instant now = lostAt + seconds(5);
    const auto summary = historyOf(lostAt, seconds(30), "v1").summary(lostAt);
    ASSERT_TRUE(summary);
    version_history history = historyOf(now, seconds(4), "v1");
    EXPECT_FALSE(history.noteSummary(now, *summary, now - milliseconds(4'500), now - milliseconds(4'400), {})) << "the log was read before the list";
    EXPECT_EQ(history.onlyVersion(now, now, "llm", {"v1"}, seconds(19)), std::nullopt);
    version_history unread = version_history::make({});
    EXPECT_FALSE(unread.noteSummary(now, *summary, now, now, {})) << "this entry has no list";
}

TEST(VersionHistory, EntryThatHasNotReadTheListLatelySummarizesNothing)
{
    version_history history = historyOf(kStart + seconds(60), seconds(30), "v1");
    EXPECT_TRUE(history.summary(kStart + seconds(62)));
    history.noteCurrent(kStart + seconds(64), {});
    EXPECT_FALSE(history.summary(kStart + seconds(64))) << "its position in the log is old";
    version_history crowded = historyOf(kStart + seconds(60), seconds(30), "v1");
    for (std::size_t i = 0; i < kMaxSummaryVersions; ++i) {
        crowded.note(kStart + seconds(60), "llm", "w" + std::to_string(i));
    }
    EXPECT_FALSE(crowded.summary(kStart + seconds(60)));
}
