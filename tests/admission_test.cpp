#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "heatherroute/admission.h"
#include "heatherroute/retry_budget.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

admission_limits oneAtATime()
{
    admission_limits limits;
    limits.running = 1;
    limits.interactiveRunning = 0;
    limits.longestWaitInteractive = seconds(100);
    limits.longestWaitBatch = seconds(100);
    return limits;
}

admission_request from(const std::string &team, std::uint64_t id, priority_class priority = priority_class::Interactive, double cost = 1.0)
{
    return {id, team, priority, cost};
}

} // namespace

TEST(Admission, ShortCallGoesBeforeReportsThatCameFirst)
{
    admission_lane lane = admission_lane::make(oneAtATime());
    EXPECT_EQ(lane.submit({}, from("a", 1)).admitted, std::vector<std::uint64_t>{1});
    for (std::uint64_t id = 2; id < 10; ++id) {
        EXPECT_TRUE(lane.submit({}, from("a", id, priority_class::Batch)).admitted.empty());
    }
    lane.submit({}, from("b", 10));
    EXPECT_EQ(lane.finish({}, 1).admitted, std::vector<std::uint64_t>{10});
    EXPECT_EQ(lane.finish({}, 10).admitted, std::vector<std::uint64_t>{2});
}

TEST(Admission, ReportsNeverTakeThePlacesKeptForShortCalls)
{
    admission_limits limits = oneAtATime();
    limits.running = 4;
    limits.interactiveRunning = 1;
    admission_lane lane = admission_lane::make(limits);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        lane.submit({}, from("a", id, priority_class::Batch));
    }
    EXPECT_EQ(lane.running(), 3U);
    EXPECT_EQ(lane.submit({}, from("b", 11)).admitted, std::vector<std::uint64_t>{11});
}

TEST(Admission, BurstOfOneTeamLeavesOthersTheirShareByWeight)
{
    admission_lane lane = admission_lane::make(oneAtATime());
    lane.setTeam({"heavy", 3, 0});
    lane.submit({}, from("burst", 1));
    for (std::uint64_t id = 100; id < 130; ++id) {
        lane.submit({}, from("burst", id));
    }
    for (std::uint64_t id = 200; id < 230; ++id) {
        lane.submit({}, from("heavy", id));
    }
    std::uint64_t running = 1;
    int heavy = 0;
    for (int turn = 0; turn < 20; ++turn) {
        running = lane.finish({}, running).admitted.at(0);
        heavy += running >= 200 ? 1 : 0;
    }
    EXPECT_NEAR(heavy, 15, 1);
}

TEST(Admission, FullQueueTakesRoomFromTheTeamWithTheMost)
{
    admission_limits limits = oneAtATime();
    limits.queuedPerClass = 4;
    admission_lane lane = admission_lane::make(limits);
    for (std::uint64_t id = 1; id <= 5; ++id) {
        lane.submit({}, from("burst", id));
    }
    const auto own = lane.submit({}, from("burst", 6));
    EXPECT_EQ(own.refused.at(0).id, 6U);
    EXPECT_GT(own.refused.at(0).retryAfter, duration::zero());
    const auto other = lane.submit({}, from("small", 7));
    EXPECT_EQ(other.refused.at(0).id, 5U);
    EXPECT_EQ(lane.finish({}, 1).admitted, std::vector<std::uint64_t>{7});
}

TEST(Admission, TeamLimitHoldsBackOneTeamOnlyAndChangesAtOnce)
{
    admission_limits limits = oneAtATime();
    limits.running = 8;
    admission_lane lane = admission_lane::make(limits);
    lane.setTeam({"a", 1, 1});
    lane.submit({}, from("a", 1));
    EXPECT_TRUE(lane.submit({}, from("a", 2)).admitted.empty());
    EXPECT_EQ(lane.submit({}, from("b", 3)).admitted, std::vector<std::uint64_t>{3});
    lane.setTeam({"a", 1, 2});
    EXPECT_EQ(lane.next({}).admitted, std::vector<std::uint64_t>{2});
}

TEST(Admission, WaitingRequestIsRefusedOnceItCannotMeetItsTarget)
{
    admission_limits limits = oneAtATime();
    limits.longestWaitInteractive = milliseconds(300);
    admission_lane lane = admission_lane::make(limits);
    lane.submit({}, from("a", 1));
    lane.submit({}, from("a", 2));
    EXPECT_TRUE(lane.next(instant(milliseconds(299))).refused.empty());
    EXPECT_EQ(lane.next(instant(milliseconds(300))).refused.at(0).why, admission_failure::WaitedTooLong);
    EXPECT_TRUE(lane.finish(instant(milliseconds(300)), 1).admitted.empty());
}

RC_GTEST_PROP(Admission, EachRequestIsAdmittedOrRefusedOnceAndBoundsHold, (const std::vector<std::uint16_t> &steps))
{
    admission_limits limits = oneAtATime();
    limits.running = 3;
    limits.interactiveRunning = 1;
    limits.queuedPerClass = 5;
    limits.longestWaitInteractive = milliseconds(20);
    admission_lane lane = admission_lane::make(limits);
    lane.setTeam({"t1", 2, 2});
    std::set<std::uint64_t> open;
    std::set<std::uint64_t> running;
    const auto take = [&](const admission_result &result) {
        for (const std::uint64_t id : result.admitted) {
            RC_ASSERT(open.contains(id) && running.insert(id).second);
        }
        for (const admission_refused &each : result.refused) {
            RC_ASSERT(!running.contains(each.id) && open.erase(each.id) == 1);
        }
    };
    std::uint64_t id = 0;
    instant now{};
    for (const std::uint16_t step : steps) {
        now += milliseconds(step % 7);
        if (step % 3 != 0 || open.empty()) {
            open.insert(++id);
            const auto priority = step % 2 == 0 ? priority_class::Interactive : priority_class::Batch;
            take(lane.submit(now, from("t" + std::to_string(step % 4), id, priority, 1.0 + step % 5)));
        } else {
            const std::uint64_t ended = *std::next(open.begin(), static_cast<std::ptrdiff_t>(step % open.size()));
            open.erase(ended);
            running.erase(ended);
            take(lane.finish(now, ended));
        }
        RC_ASSERT(lane.running() == running.size() && lane.running() <= limits.running);
        RC_ASSERT(lane.queued(priority_class::Interactive) <= limits.queuedPerClass);
        RC_ASSERT(lane.queued(priority_class::Batch) <= limits.queuedPerClass);
    }
}

TEST(RetryBudget, SickPoolGetsATenthMoreAtMost)
{
    retry_budget budget = retry_budget::make({}, {0.1, 0.0, 10.0});
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.noteRequest({});
        retries += budget.tryRetry({}) ? 1 : 0;
    }
    EXPECT_GE(retries, 105);
    EXPECT_LE(retries, 110);
    retry_budget quiet = retry_budget::make({}, {0.1, 1.0, 1.0});
    EXPECT_TRUE(quiet.tryRetry({}));
    EXPECT_FALSE(quiet.tryRetry({}));
    EXPECT_TRUE(quiet.tryRetry(instant(seconds(1))));
}
