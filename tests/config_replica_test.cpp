#include "heatherroute/config_replica.h"
#include "update_queue.h"

#include <gtest/gtest.h>

using namespace heatherroute;
using namespace std::chrono_literals;

namespace
{

constexpr instant kStart{1h};

std::unique_ptr<config_replica> makeReplica(std::size_t peers)
{
    auto replica = config_replica::make({}, 7);
    replica->setPeerCount(peers);
    return replica;
}

std::string makeRecord(const std::string &name, config_revision base = {})
{
    config_change change;
    change.publishId = "publish " + name;
    change.baseRevision = base;
    upstream value;
    value.name = name;
    value.address = name;
    value.half = "north";
    change.upserts = {value};
    return encodeRecord(change);
}

peer_summary summaryAt(log_offset next, std::optional<duration> proofAge = {})
{
    return {true, next, config_state().digest(), proofAge, 0, {}};
}

std::string largeRecord()
{
    return std::string(std::size_t{2} * 1024 * 1024, 'x');
}

} // namespace

TEST(config_replica, answersBufferedDuringAPauseAreNoFreshnessProof)
{
    auto replica = makeReplica(1);
    replica->onLogRead(kStart, kStart, {0, 0, {}});
    EXPECT_FALSE(replica->isCutOff(kStart + 1s));
    const instant resumed = kStart + 60s;
    EXPECT_TRUE(replica->isCutOff(resumed));
    replica->onLogRead(kStart + 1s, resumed, {0, 0, {}});
    replica->onPeerSummary(kStart + 1s, resumed, "p", summaryAt(0, 0s));
    EXPECT_TRUE(replica->isCutOff(resumed));
    replica->onLogRead(resumed, resumed, {0, 0, {}});
    EXPECT_FALSE(replica->isCutOff(resumed));
}

TEST(config_replica, aNewEntryIsCutOffUntilEstablished)
{
    auto replica = makeReplica(2);
    EXPECT_TRUE(replica->isCutOff(kStart));
    replica->onLogTruncated(kStart, 5);
    replica->onPeerSummary(kStart, kStart, "p", {});
    EXPECT_FALSE(replica->isEstablished());
    EXPECT_TRUE(replica->isCutOff(kStart));
}

TEST(config_replica, aLogOutageCutsOffOnlyWithoutAQuorumOfPeers)
{
    auto replica = makeReplica(3);
    replica->onLogRead(kStart, kStart, {0, 0, {}});
    const instant later = kStart + 1h;
    replica->onPeerSummary(later, later, "a", summaryAt(0));
    EXPECT_TRUE(replica->isCutOff(later)); // One of three peers is no quorum: the others may still read the log.
    replica->onPeerSummary(later, later, "b", summaryAt(0));
    EXPECT_FALSE(replica->isCutOff(later));
    replica->setPeerCount(1); // Membership declares two peers dead; the quorum stays, since they may still read the log.
    EXPECT_FALSE(replica->isCutOff(later));
    replica->onPeerGone("b");
    EXPECT_TRUE(replica->isCutOff(later));
}

TEST(config_replica, theProofOfAPeerAheadCountsOnlyOnceCaughtUp)
{
    auto ahead = makeReplica(1);
    ahead->onLogRead(kStart, kStart, {0, 1, {{0, makeRecord("u")}}});
    auto behind = makeReplica(1);
    behind->onLogRead(kStart - 1h, kStart - 1h, {0, 0, {}});
    const config_effects effects = behind->onPeerSummary(kStart, kStart, "p", ahead->summary(kStart));
    EXPECT_TRUE(behind->isCutOff(kStart));
    ASSERT_EQ(effects.size(), 1U);
    behind->onPeerTransfer(kStart, ahead->transferFor(std::get<request_from_peer>(effects.front()).request));
    EXPECT_FALSE(behind->isCutOff(kStart));
    EXPECT_EQ(behind->state().digest(), ahead->state().digest());
}

TEST(config_replica, startsFromTheSnapshotWhenTheFirstRecordsHaveExpired)
{
    auto writer = makeReplica(0);
    writer->onLogRead(kStart, kStart, {0, 2, {{0, makeRecord("u")}, {1, "garbage"}}});
    std::optional<std::string> snapshot;
    instant now = kStart;
    for (int i = 0; i < 4000 && !snapshot; ++i) {
        now += 1s;
        writer->onLogRead(now, now, {0, 2, {}});
        for (const config_effect &effect : writer->tick(now)) {
            snapshot = std::get<append_snapshot>(effect).record;
        }
    }
    ASSERT_TRUE(snapshot);
    auto fresh = makeReplica(0);
    fresh->onLogTruncated(now, 2);
    ASSERT_EQ(fresh->readFrom(), 2U);
    const log_batch batch{2, 4, {{2, *snapshot}, {3, makeRecord("v")}}};
    fresh->onLogRead(now, now, batch);
    writer->onLogRead(now, now, batch);
    EXPECT_EQ(fresh->state().next(), 4U);
    EXPECT_EQ(fresh->state().digest(), writer->state().digest());
    EXPECT_FALSE(fresh->isCutOff(now));
    EXPECT_EQ(writer->counters().snapshotsRejected, 0U);
}

TEST(config_replica, aWrongSnapshotOnTheLogIsIgnoredAndCounted)
{
    config_state other;
    other.skip(0);
    auto replica = makeReplica(0);
    replica->onLogRead(kStart, kStart, {0, 2, {{0, makeRecord("u")}, {1, encodeRecord(other.snapshot())}}});
    EXPECT_EQ(replica->counters().snapshotsRejected, 1U);
    EXPECT_EQ(replica->state().upstreams().size(), 1U);
}

TEST(config_replica, theFullStateIsSentWhenTheWindowIsTooShort)
{
    auto ahead = makeReplica(0);
    ahead->onLogRead(kStart, kStart, {0, 2, {{0, makeRecord("u")}, {1, largeRecord()}}});
    EXPECT_EQ(ahead->transferFor({1, false}).records.size(), 1U);
    replica_settings small;
    small.maxWindowRecords = 1;
    auto shortWindow = config_replica::make(small, 1);
    shortWindow->onLogRead(kStart, kStart, {0, 2, {{0, makeRecord("u")}, {1, makeRecord("v")}}});
    EXPECT_TRUE(shortWindow->transferFor({0, false}).snapshot.has_value());
    EXPECT_EQ(shortWindow->transferFor({1, false}).records.size(), 1U);
}

TEST(update_queue, keepsTheNewestOfEachKeyForAFrozenReceiver)
{
    const auto always = [](int, int) { return true; };
    update_queue<std::string, int> dropping(2, always);
    update_queue<std::string, int> plain(2);
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        EXPECT_TRUE(dropping.push(i % 2 == 0 ? "a" : "b", i));
        refused += plain.push(i % 2 == 0 ? "a" : "b", i) ? 0 : 1;
    }
    EXPECT_EQ(refused, 98);
    EXPECT_EQ(dropping.dropped(), 98U);
    EXPECT_EQ(dropping.pop(), 98);
    EXPECT_EQ(dropping.pop(), 99);
    EXPECT_EQ(dropping.pop(), std::nullopt);
    EXPECT_EQ(plain.pop(), 0);
}
