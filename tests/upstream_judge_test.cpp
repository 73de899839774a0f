#include <gtest/gtest.h>

#include "relay/upstream_choice.h"
#include "relay/upstream_judge.h"

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

// Load pattern: an upstream leaves unannounced while the store is away; each try to connect would hold a request up.
TEST(UpstreamJudge, UnreachableUpstreamIsLeftAloneForLongerAndLonger)
{
    upstream_judge judge = upstream_judge::make({});
    judge.add(runOf("gone"));
    instant now{};
    int tries = 0;
    for (; now < instant{} + seconds(20); now += milliseconds(20)) {
        if (judge.isReachable(now, "gone")) {
            judge.noteUnreachable(now, "gone");
            ++tries;
        }
    }
    EXPECT_LE(tries, 8);
    EXPECT_GE(tries, 4);
}

TEST(UpstreamJudge, RestartedUpstreamStartsHealthy)
{
    upstream_judge judge = upstream_judge::make({});
    judge.add(runOf("a"));
    judge.noteUnreachable(instant{}, "a");
    EXPECT_FALSE(judge.isReachable(instant{} + milliseconds(1), "a"));
    judge.add(runOf("a"));
    EXPECT_TRUE(judge.isReachable(instant{} + milliseconds(1), "a"));
    EXPECT_TRUE(judge.isReachable(instant{}, "never heard of"));
}

TEST(UpstreamChoice, LoadedAndShunnedComeLast)
{
    const registration idle = runOf("idle");
    const registration busy = runOf("busy");
    const registration shunned = runOf("shunned");
    std::mt19937_64 random(1);
    for (int round = 0; round < 20; ++round) {
        const auto order = orderCandidates({{&shunned, 0.0, 0.0}, {&busy, 1.0, 5.0}, {&idle, 1.0, 0.0}}, random);
        ASSERT_EQ(order.size(), 3U);
        EXPECT_EQ(order[0]->id, "idle");
        EXPECT_EQ(order[1]->id, "busy");
        EXPECT_EQ(order[2]->id, "shunned");
    }
}

TEST(UpstreamChoice, EqualOnesAreTakenByTurns)
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
