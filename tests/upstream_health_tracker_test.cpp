#include <gtest/gtest.h>

#include "relay/upstream_choice.h"
#include "relay/upstream_health_tracker.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

registration runOf(const std::string &id)
{
    registration run;
    run.id = id;
    run.service = "portal";
    return run;
}

} // namespace

// Load pattern: an upstream leaves unannounced during an outage of the store; each connection attempt would delay a request.
TEST(UpstreamHealthTracker, BackoffOfAnUnreachableUpstreamGrows)
{
    upstream_health_tracker tracker = upstream_health_tracker::make({});
    tracker.add(runOf("gone"));
    instant now{};
    int attempts = 0;
    for (; now < instant{} + seconds(20); now += milliseconds(20)) {
        if (tracker.isReachable(now, "gone")) {
            tracker.noteUnreachable(now, "gone");
            ++attempts;
        }
    }
    EXPECT_LE(attempts, 8);
    EXPECT_GE(attempts, 4);
}

TEST(UpstreamHealthTracker, RestartedUpstreamStartsHealthy)
{
    upstream_health_tracker tracker = upstream_health_tracker::make({});
    tracker.add(runOf("a"));
    tracker.noteUnreachable(instant{}, "a");
    EXPECT_FALSE(tracker.isReachable(instant{} + milliseconds(1), "a"));
    tracker.add(runOf("a"));
    EXPECT_TRUE(tracker.isReachable(instant{} + milliseconds(1), "a"));
    EXPECT_TRUE(tracker.isReachable(instant{}, "unknown"));
}

TEST(UpstreamChoice, LoadedAndLowWeightCandidatesComeLast)
{
    const registration idle = runOf("idle");
    const registration busy = runOf("busy");
    const registration lowWeight = runOf("lowWeight");
    std::mt19937_64 random(1);
    for (int round = 0; round < 20; ++round) {
        const auto order = orderCandidates({{&lowWeight, 0.0, 0.0}, {&busy, 1.0, 5.0}, {&idle, 1.0, 0.0}}, random);
        ASSERT_EQ(order.size(), 3U);
        EXPECT_EQ(order[0]->id, "idle");
        EXPECT_EQ(order[1]->id, "busy");
        EXPECT_EQ(order[2]->id, "lowWeight");
    }
}

TEST(UpstreamChoice, EqualCandidatesAreOrderedAtRandom)
{
    const registration a = runOf("a");
    const registration b = runOf("b");
    std::mt19937_64 random(1);
    int first = 0;
    for (int round = 0; round < 200; ++round) {
        first += orderCandidates({{&a, 1.0, 0.0}, {&b, 1.0, 0.0}}, random).front()->id == "a" ? 1 : 0;
    }
    EXPECT_GT(first, 60);
    EXPECT_LT(first, 140);
}
