#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <vector>

#include "relay/call_time_estimate.h"
#include "relay/stop_plan.h"
#include "relay/stream_time_estimate.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kSignal{std::chrono::seconds(100)};

stop_plan stoppingPlan()
{
    stop_plan plan = stop_plan::make({});
    plan.begin(kSignal);
    return plan;
}

} // namespace

TEST(StopPlan, TakesEverythingUntilTheSignal)
{
    stop_plan plan = stop_plan::make({});
    EXPECT_EQ(plan.advance(kSignal, {}), stop_phase::Running);
    EXPECT_TRUE(plan.mayBegin(kSignal, seconds(3600)));
}

TEST(StopPlan, PhasesFollowEachOtherWhileRequestsRun)
{
    stop_plan plan = stoppingPlan();
    const stop_load busy{1, 1};
    EXPECT_EQ(plan.advance(kSignal, busy), stop_phase::Announced);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(600), busy), stop_phase::Draining);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(2'500), busy), stop_phase::Closed);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(7'299), busy), stop_phase::Closed);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(7'300), busy), stop_phase::Aborting);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(7'500), busy), stop_phase::Ended);
}

TEST(StopPlan, EndsEarlyOnlyWhenNothingCanArrive)
{
    stop_plan plan = stoppingPlan();
    EXPECT_EQ(plan.advance(kSignal + milliseconds(2'400), {}), stop_phase::Draining);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(2'500), {0, 1}), stop_phase::Closed) << "a request may be on its way";
    EXPECT_EQ(plan.advance(kSignal + milliseconds(6'000), {1, 0}), stop_phase::Closed);
    EXPECT_EQ(plan.advance(kSignal + milliseconds(6'100), {}), stop_phase::Ended);
}

// A request that is read while the process writes its last answers and log lines would be cut.
TEST(StopPlan, NothingBeginsOnceTheStopHasEnded)
{
    stop_plan plan = stoppingPlan();
    EXPECT_EQ(plan.advance(kSignal + milliseconds(2'500), {}), stop_phase::Ended);
    EXPECT_FALSE(plan.mayBegin(kSignal + milliseconds(2'600), milliseconds(1)));
    EXPECT_EQ(plan.advance(kSignal + milliseconds(2'600), {1, 1}), stop_phase::Ended);
}

TEST(StopPlan, SecondSignalDoesNotExtendTheGrace)
{
    stop_plan plan = stoppingPlan();
    plan.begin(kSignal + seconds(5));
    EXPECT_EQ(plan.advance(kSignal + milliseconds(7'300), {1, 1}), stop_phase::Aborting);
}

TEST(StopPlan, CallThatMayNotBeRepeatedNeedsAllOfItsTime)
{
    const observed_call_times plain{milliseconds(20), std::nullopt};
    EXPECT_EQ(timeNeededFor({route_kind::NonIdempotent, false, milliseconds(600)}, plain), milliseconds(600));
    EXPECT_EQ(timeNeededFor({route_kind::Idempotent, false, milliseconds(600)}, plain), milliseconds(20));
    const observed_call_times streams{seconds(5), std::nullopt};
    EXPECT_EQ(timeNeededFor({route_kind::Stream, true, seconds(14)}, streams), seconds(5));
    EXPECT_EQ(timeNeededFor({route_kind::Stream, true, seconds(14)}, {}), seconds(14));
    EXPECT_EQ(timeNeededFor({route_kind::Stream, true, seconds(3)}, streams), seconds(3));
}

// Guards against a stream that nobody can take up being sent on because streams usually take less time, and cut in the middle.
TEST(StopPlan, StreamThatCannotBeTakenUpNeedsTheTimeOfAllItsOutput)
{
    const observed_call_times streams{seconds(1), seconds(6)};
    EXPECT_EQ(timeNeededFor({route_kind::Stream, false, seconds(14), 130}, streams), seconds(6));
    EXPECT_EQ(timeNeededFor({route_kind::Stream, true, seconds(14), 130}, streams), seconds(1));
    EXPECT_EQ(timeNeededFor({route_kind::Stream, false, seconds(4), 130}, streams), seconds(4));
    EXPECT_EQ(timeNeededFor({route_kind::Stream, false, seconds(14), 130}, {seconds(1), std::nullopt}), seconds(14));
}

// Load pattern: streams of 14 to 30 events have been served, and one that declares 130 begins late in a planned stop; its length must not be
// taken from theirs.
TEST(StreamTimeEstimate, LongStreamIsNotTakenForOneOfTheUsualLength)
{
    stream_time_estimate estimate = stream_time_estimate::make({});
    EXPECT_FALSE(estimate.upperBound(130).has_value());
    for (const int events : {18, 25, 14, 30, 22, 16, 27, 20, 24, 19}) {
        estimate.note(milliseconds(50), milliseconds(50 + 45 * (events - 1)), static_cast<std::uint64_t>(events));
    }
    EXPECT_GE(estimate.upperBound(130), milliseconds(130 * 45));
    EXPECT_LE(estimate.upperBound(130), milliseconds(2 * 130 * 45));
    EXPECT_LE(estimate.upperBound(20), milliseconds(2 * 20 * 45));
    EXPECT_FALSE(estimate.upperBound(0).has_value()) << "a caller that declares no maximum";
}

TEST(StreamTimeEstimate, StreamOfOneEventTellsNoTimePerEvent)
{
    stream_time_estimate estimate = stream_time_estimate::make({});
    estimate.note(milliseconds(50), milliseconds(50), 1);
    EXPECT_FALSE(estimate.upperBound(130).has_value());
}

TEST(CallTimeEstimate, CoversNearlyAllCallsOfAMix)
{
    call_time_estimate estimate = call_time_estimate::make({});
    EXPECT_FALSE(estimate.upperBound().has_value());
    for (int i = 0; i < 200; ++i) {
        estimate.note(milliseconds(2'500 + (i * 7919) % 3'500));
    }
    ASSERT_TRUE(estimate.upperBound().has_value());
    EXPECT_GE(*estimate.upperBound(), milliseconds(6'000));
    EXPECT_LE(*estimate.upperBound(), milliseconds(10'000));
}

// Load pattern: requests of all kinds arrive at any moment of the grace, some held up by a slow body or in a queue, and are sent on as the plan
// allows. What ends within the time that it was given is never cut by the abort.
RC_GTEST_PROP(StopPlan, NoRequestThatKeepsItsTimeIsCut, ())
{
    stop_settings settings;
    settings.grace = milliseconds(*rc::gen::inRange(1'500, 30'000));
    stop_plan plan = stop_plan::make(settings);
    plan.begin(kSignal);
    const instant abortAt = kSignal + settings.grace - settings.abortMargin;
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    instant now = kSignal;
    for (std::size_t i = 0; i < count; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 1'200));
        const stop_load left{*rc::gen::inRange<std::size_t>(0, 2), *rc::gen::inRange<std::size_t>(0, 2)};
        const stop_phase phase = plan.advance(now, left);
        const auto kind = *rc::gen::element(route_kind::Idempotent, route_kind::NonIdempotent, route_kind::Stream);
        const duration timeLeft = milliseconds(*rc::gen::inRange(1, 20'000));
        const std::optional<duration> usual = *rc::gen::arbitrary<bool>() ? std::optional<duration>(milliseconds(*rc::gen::inRange(1, 9'000))) : std::nullopt;
        const bool resumable = *rc::gen::arbitrary<bool>();
        const std::optional<duration> atMost = *rc::gen::arbitrary<bool>() ? std::optional<duration>(milliseconds(*rc::gen::inRange(1, 9'000))) : std::nullopt;
        const duration needed = timeNeededFor({kind, resumable, timeLeft, 130}, {usual, atMost});
        RC_ASSERT(needed <= timeLeft);
        if (plan.mayBegin(now, needed)) {
            RC_ASSERT(phase < stop_phase::Aborting);
            RC_ASSERT(now + needed <= abortAt);
            RC_ASSERT(kind != route_kind::NonIdempotent || now + timeLeft <= abortAt);
            const bool isLostIfCut = kind == route_kind::Stream && !resumable;
            RC_ASSERT(!isLostIfCut || now + std::min(atMost.value_or(timeLeft), timeLeft) <= abortAt);
        }
    }
}
