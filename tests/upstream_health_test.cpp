#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "heatherroute/upstream_health.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kReplicas = 6;

/// A pool of six replicas with the weights that a replica table would hold.
struct tracked_pool
{
    upstream_health health = upstream_health::make({});
    std::vector<double> weights = std::vector<double>(kReplicas, 1.0);
    instant now{};

    tracked_pool()
    {
        for (replica_index replica = 0; replica < kReplicas; ++replica) {
            health.add(replica, 0);
        }
    }

    void advance(duration passed)
    {
        now += passed;
        for (const weight_change &change : health.advance(now)) {
            weights[change.replica] = change.weight;
        }
    }

    void fail(replica_index replica, int times)
    {
        for (int time = 0; time < times; ++time) {
            health.noteFailure(now, replica, failure_kind::Failure);
        }
        advance(milliseconds(1));
    }

    void succeed(replica_index replica, int times, duration observed = milliseconds(100))
    {
        for (int time = 0; time < times; ++time) {
            health.noteSuccess(now, replica, observed, milliseconds(100));
        }
        advance(milliseconds(1));
    }

    double lost() const
    {
        double sum = 0.0;
        for (const double weight : weights) {
            sum += 1.0 - weight;
        }
        return sum;
    }
};

} // namespace

TEST(UpstreamHealth, FailingReplicaIsEjectedProbedAndReturnsInSteps)
{
    tracked_pool pool;
    pool.fail(2, 2);
    EXPECT_EQ(pool.weights[2], 1.0);
    pool.fail(2, 1);
    EXPECT_EQ(pool.weights[2], 0.0);
    EXPECT_TRUE(pool.health.dueProbes(pool.now).empty());
    pool.advance(seconds(2));
    EXPECT_EQ(pool.health.dueProbes(pool.now), std::vector<replica_index>{2});
    EXPECT_TRUE(pool.health.dueProbes(pool.now).empty());
    pool.health.noteProbe(pool.now, 2, true);
    pool.advance(milliseconds(1));
    EXPECT_DOUBLE_EQ(pool.weights[2], 0.1);
    pool.succeed(2, 50);
    EXPECT_DOUBLE_EQ(pool.weights[2], 0.1);
    for (const double expected : {0.2, 0.4, 0.8, 1.0}) {
        pool.advance(milliseconds(500));
        pool.succeed(2, 3);
        EXPECT_DOUBLE_EQ(pool.weights[2], expected);
    }
    EXPECT_EQ(pool.health.state(2), health_state::Healthy);
}

TEST(UpstreamHealth, ProbeDelayGrowsWhenAReplicaAnswersProbesButFailsRequests)
{
    tracked_pool pool;
    pool.fail(0, 3);
    duration waited{};
    for (int round = 0; round < 3; ++round) {
        const instant ejected = pool.now;
        while (pool.health.dueProbes(pool.now).empty()) {
            pool.advance(milliseconds(100));
        }
        EXPECT_GT(pool.now - ejected, waited * 3 / 2);
        waited = pool.now - ejected;
        pool.health.noteProbe(pool.now, 0, true);
        pool.fail(0, 1);
        EXPECT_EQ(pool.weights[0], 0.0);
    }
}

TEST(UpstreamHealth, ProbeWithoutResultCountsAsFailed)
{
    tracked_pool pool;
    pool.fail(0, 3);
    pool.advance(seconds(2));
    EXPECT_EQ(pool.health.dueProbes(pool.now).size(), 1U);
    pool.advance(seconds(2));
    EXPECT_EQ(pool.health.state(0), health_state::Ejected);
}

TEST(UpstreamHealth, SlowReplicaGetsLessWorkUntilItRecovers)
{
    tracked_pool pool;
    for (int round = 0; round < 20; ++round) {
        for (replica_index replica = 0; replica < kReplicas; ++replica) {
            pool.succeed(replica, 1, replica == 3 ? milliseconds(1000) : milliseconds(100));
        }
    }
    EXPECT_EQ(pool.health.state(3), health_state::Slow);
    EXPECT_LT(pool.weights[3], 0.5);
    EXPECT_GE(pool.weights[3], 0.1);
    EXPECT_EQ(pool.weights[1], 1.0);
    pool.succeed(3, 60);
    EXPECT_EQ(pool.weights[3], 1.0);
}

TEST(UpstreamHealth, StalledTransfersEjectOnlyTheReplicaThatStallsWithAllOthers)
{
    tracked_pool pool;
    for (replica_index decode = 1; decode < kReplicas; ++decode) {
        pool.health.noteFailure(pool.now, 0, failure_kind::StalledTransfer);
        pool.health.noteFailure(pool.now, decode, failure_kind::StalledTransfer);
    }
    pool.advance(milliseconds(1));
    EXPECT_EQ(pool.weights[0], 0.0);
    EXPECT_EQ(pool.lost(), 1.0);
}

TEST(UpstreamHealth, PoolKeepsMostOfItsWeightWhenAllReplicasFail)
{
    tracked_pool pool;
    for (replica_index replica = 0; replica < kReplicas; ++replica) {
        pool.fail(replica, 10);
    }
    EXPECT_NEAR(pool.lost(), 0.34 * kReplicas, 1e-9);
    EXPECT_EQ(std::count(pool.weights.begin(), pool.weights.end(), 0.0), 2);
}

RC_GTEST_PROP(UpstreamHealth, LostWeightIsBoundedAndAllReplicasReturnAfterRecovery, (const std::vector<std::uint16_t> &steps))
{
    tracked_pool pool;
    for (const std::uint16_t step : steps) {
        const replica_index replica = step % kReplicas;
        step % 4 == 0 ? pool.succeed(replica, 1, milliseconds(50 + step % 2000)) : pool.fail(replica, 1 + step % 3);
        for (const replica_index due : pool.health.dueProbes(pool.now)) {
            pool.health.noteProbe(pool.now, due, step % 5 != 0);
        }
        pool.advance(milliseconds(step % 1500));
        RC_ASSERT(pool.lost() <= 0.34 * kReplicas + 1e-9);
    }
    for (int round = 0; round < 400; ++round) {
        for (const replica_index due : pool.health.dueProbes(pool.now)) {
            pool.health.noteProbe(pool.now, due, true);
        }
        for (replica_index replica = 0; replica < kReplicas; ++replica) {
            pool.succeed(replica, 1);
        }
        pool.advance(milliseconds(500));
    }
    RC_ASSERT(pool.lost() == 0.0);
}
