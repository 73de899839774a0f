#include <gtest/gtest.h>

#include "heatherroute/request_quarantine.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t kPoison = 1;
constexpr std::uint64_t kSound = 2;
constexpr std::uint64_t kOtherPoison = 3;

instant at(duration time)
{
    return instant(seconds(100)) + time;
}

upstream_instance instanceOf(int number)
{
    return {"i-" + std::to_string(number), 1'000};
}

/// Lets the upstream @p number crash at @p time with @p requests in flight.
void crash(request_quarantine &quarantine, int number, duration time, const std::vector<std::uint64_t> &requests)
{
    for (const std::uint64_t request : requests) {
        quarantine.noteInterrupted(at(time), instanceOf(number), {request, {}});
    }
    quarantine.noteCrashed(at(time), instanceOf(number));
}

bool isQuarantined(request_quarantine &quarantine, duration time, std::uint64_t request)
{
    return quarantine.quarantinedFor(at(time), request) > duration::zero();
}

} // namespace

TEST(RequestQuarantine, RequestIsQuarantinedAfterThreeUpstreamsCrashedUnderIt)
{
    auto quarantine = request_quarantine::make({});
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(isQuarantined(quarantine, seconds(i), kPoison));
        crash(quarantine, i, seconds(i), {kPoison});
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(3), kPoison));
    EXPECT_FALSE(isQuarantined(quarantine, seconds(3), kSound));
}

TEST(RequestQuarantine, OneCrashCountsOnceHoweverOftenTheRequestWasInFlight)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 1, seconds(0), {kPoison, kPoison, kPoison});
    crash(quarantine, 2, seconds(1), {kPoison, kPoison});
    EXPECT_EQ(quarantine.crashesOf(kPoison), 2U);
    EXPECT_FALSE(isQuarantined(quarantine, seconds(2), kPoison));
}

TEST(RequestQuarantine, LostAnswersOfLivingUpstreamsDoNotCount)
{
    auto quarantine = request_quarantine::make({});
    for (int i = 0; i < 20; ++i) {
        quarantine.noteInterrupted(at(seconds(i)), instanceOf(i), {kSound, {}});
        quarantine.noteAlive(at(seconds(i)), instanceOf(i));
        EXPECT_TRUE(quarantine.noteCrashed(at(seconds(i)), instanceOf(i)).empty());
    }
    EXPECT_FALSE(isQuarantined(quarantine, seconds(20), kSound));
}

TEST(RequestQuarantine, CrashThatIsNoticedLongAfterTheInterruptionDoesNotExplainIt)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteInterrupted(at(seconds(0)), instanceOf(1), {kSound, {}});
    EXPECT_TRUE(quarantine.noteCrashed(at(seconds(11)), instanceOf(1)).empty());
}

TEST(RequestQuarantine, InterruptionAfterTheCrashIsKnownCounts)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteCrashed(at(seconds(0)), instanceOf(1));
    EXPECT_TRUE(quarantine.noteInterrupted(at(milliseconds(5)), instanceOf(1), {kPoison, {}}));
}

TEST(RequestQuarantine, RestartUnderTheSameIdIsACrashOfTheInstanceBefore)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteInterrupted(at(seconds(0)), {"i-1", 1'000}, {kPoison, {}});
    EXPECT_TRUE(quarantine.noteRestarted(at(seconds(1)), {"i-1", 1'000}).empty());
    EXPECT_EQ(quarantine.noteRestarted(at(seconds(2)), {"i-1", 2'000}).size(), 1U);
}

TEST(RequestQuarantine, RequestsBesideAPoisonRequestAreServed)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 0, seconds(0), {kPoison});
    for (int i = 1; i < 4; ++i) {
        crash(quarantine, i, seconds(i), {kSound, kPoison});
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(5), kPoison));
    EXPECT_FALSE(isQuarantined(quarantine, seconds(5), kSound));
}

// Load pattern: upstreams also crash for another reason, so that a request which its caller sends again has three crashes first.
TEST(RequestQuarantine, RequestWithFewerCrashesDoesNotHideTheOneThatCausesThem)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 0, seconds(0), {kSound});
    crash(quarantine, 1, seconds(1), {kSound, kPoison});
    crash(quarantine, 2, seconds(2), {kSound, kPoison});
    EXPECT_FALSE(isQuarantined(quarantine, seconds(2), kPoison));
    crash(quarantine, 3, seconds(3), {kPoison});
    EXPECT_TRUE(isQuarantined(quarantine, seconds(3), kPoison));
}

// Load pattern: many callers send one long request, not answered yet, so that it is in flight in each crash, and in one more than its cause.
TEST(RequestQuarantine, RequestThatHasRunForLongDoesNotHideTheOneThatCrashesUpstreamsAsItBegins)
{
    auto quarantine = request_quarantine::make({});
    const auto crashUnder = [&quarantine](int number, duration time, bool isUnderPoison) {
        quarantine.noteInterrupted(at(time), instanceOf(number), {kSound, {}}, milliseconds(20));
        quarantine.noteInterrupted(at(time), instanceOf(number), {kSound, {}}, seconds(1));
        if (isUnderPoison) {
            quarantine.noteInterrupted(at(time), instanceOf(number), {kPoison, {}}, milliseconds(1));
        }
        quarantine.noteCrashed(at(time), instanceOf(number));
    };
    crashUnder(0, seconds(0), false);
    for (int i = 1; i < 4; ++i) {
        crashUnder(i, milliseconds(50 * i), true);
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(1), kPoison));
    auto restarted = request_quarantine::make({});
    restarted.restore(at(seconds(1)), quarantine.observations(at(seconds(1)), 100));
    EXPECT_TRUE(isQuarantined(restarted, seconds(1), kPoison)) << "whatever the order of the reports";
}

TEST(RequestQuarantine, CrashesBesideAPoisonRequestDoNotHideFurtherCrashes)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 0, seconds(0), {kPoison});
    for (int i = 1; i < 4; ++i) {
        crash(quarantine, i, seconds(i), {kSound, kPoison});
    }
    for (int i = 4; i < 7; ++i) {
        crash(quarantine, i, seconds(i), {kSound});
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(7), kSound));
}

TEST(RequestQuarantine, CompletedRequestIsClearedOfEarlierCrashes)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 1, seconds(0), {kSound});
    crash(quarantine, 2, seconds(1), {kSound});
    const auto report = quarantine.noteCompleted(at(seconds(2)), kSound);
    ASSERT_TRUE(report);
    EXPECT_TRUE(report->cleared);
    crash(quarantine, 3, seconds(3), {kSound});
    EXPECT_FALSE(isQuarantined(quarantine, seconds(4), kSound));
    EXPECT_EQ(quarantine.crashesOf(kSound), 1U);
}

// Load pattern: many callers send one sound request, so that it is in flight whenever an upstream crashes under one of two others.
TEST(RequestQuarantine, RequestThatWasAnsweredBeforeIsServedBesideSeveralPoisonRequests)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteCompleted(at(seconds(-1)), kSound);
    crash(quarantine, 1, milliseconds(0), {kSound, kPoison});
    crash(quarantine, 2, milliseconds(50), {kSound, kOtherPoison});
    crash(quarantine, 3, milliseconds(100), {kSound, kPoison});
    crash(quarantine, 4, milliseconds(150), {kSound, kOtherPoison});
    const quarantine_admission trial = quarantine.admit(at(milliseconds(200)), kSound);
    EXPECT_EQ(trial, (quarantine_admission{duration::zero(), true}));
    EXPECT_EQ(quarantine.quarantinedFor(at(milliseconds(200)), kSound, true), duration::zero());
    EXPECT_GT(quarantine.admit(at(milliseconds(210)), kSound).refusedFor, duration::zero()) << "its trial decides";
    quarantine.noteCompleted(at(milliseconds(250)), kSound);
    EXPECT_EQ(quarantine.admit(at(milliseconds(260)), kSound), quarantine_admission{});
    EXPECT_FALSE(isQuarantined(quarantine, seconds(1), kPoison));
    crash(quarantine, 5, seconds(1), {kPoison});
    EXPECT_TRUE(isQuarantined(quarantine, seconds(2), kPoison));
}

// Load pattern: a request that is held back explains none of the crashes, so the one that causes them is found beside it.
TEST(RequestQuarantine, RequestThatCrashesUpstreamsIsFoundBesideOneThatWasAnsweredBefore)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteCompleted(at(seconds(-1)), kSound);
    crash(quarantine, 0, milliseconds(0), {kSound});
    for (int i = 1; i < 4; ++i) {
        crash(quarantine, i, milliseconds(50 * i), {kSound, kPoison});
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(1), kPoison));
    EXPECT_FALSE(isQuarantined(quarantine, seconds(1), kSound)) << "three of its crashes are explained";
}

TEST(RequestQuarantine, RequestThatCrashesUpstreamsThoughItWasAnsweredBeforeIsSentOnceMore)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteCompleted(at(seconds(-1)), kPoison);
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(isQuarantined(quarantine, seconds(i), kPoison));
        EXPECT_FALSE(quarantine.admit(at(seconds(i)), kPoison).isTrial);
        crash(quarantine, i, seconds(i), {kPoison});
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(3), kPoison));
    EXPECT_TRUE(quarantine.admit(at(seconds(3)), kPoison).isTrial);
    crash(quarantine, 3, seconds(3), {kPoison});
    for (int i = 4; i < 60; ++i) {
        EXPECT_GT(quarantine.admit(at(seconds(i)), kPoison).refusedFor, duration::zero());
    }
}

TEST(RequestQuarantine, TrialsWithoutAResultAreFew)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteCompleted(at(seconds(-1)), kPoison);
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, i, seconds(i), {kPoison});
    }
    int trials = 0;
    for (int i = 3; i < 300; ++i) {
        trials += quarantine.admit(at(seconds(i)), kPoison).isTrial ? 1 : 0;
    }
    EXPECT_EQ(trials, 2);
}

TEST(RequestQuarantine, EntriesTryOneAfterTheOther)
{
    auto first = request_quarantine::make({});
    auto second = request_quarantine::make({});
    second.setTrialDelay(seconds(1));
    for (request_quarantine *one : {&first, &second}) {
        one->noteCompleted(at(seconds(-1)), kPoison);
        for (int i = 0; i < 3; ++i) {
            crash(*one, i, seconds(i), {kPoison});
        }
    }
    EXPECT_GT(second.admit(at(milliseconds(2'100)), kPoison).refusedFor, duration::zero());
    EXPECT_TRUE(first.admit(at(milliseconds(2'100)), kPoison).isTrial);
    const auto begun = first.noteStarted(at(milliseconds(2'100)), instanceOf(9), {kPoison, {}});
    ASSERT_TRUE(begun);
    second.onOpenAttempt(at(milliseconds(2'200)), *begun);
    EXPECT_FALSE(second.admit(at(seconds(4)), kPoison).isTrial);
}

TEST(RequestQuarantine, AnswersOfLongAgoDoNotDelayAQuarantine)
{
    auto quarantine = request_quarantine::make({});
    quarantine.noteCompleted(at(seconds(0)), kPoison);
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, i, std::chrono::minutes(11) + seconds(i), {kPoison});
    }
    EXPECT_TRUE(isQuarantined(quarantine, std::chrono::minutes(11) + seconds(3), kPoison));
}

TEST(RequestQuarantine, LateReportOfACrashBeforeTheRequestWasClearedDoesNotCount)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 1, seconds(0), {kSound});
    quarantine.noteCompleted(at(seconds(2)), kSound);
    quarantine.onReport(at(seconds(3)), {kSound, instanceOf(1), 3'000, false});
    quarantine.onReport(at(seconds(3)), {kSound, instanceOf(2), 2'000, false});
    EXPECT_EQ(quarantine.crashesOf(kSound), 0U);
}

TEST(RequestQuarantine, EntriesJudgeByWhatAllOfThemSaw)
{
    auto one = request_quarantine::make({});
    auto other = request_quarantine::make({});
    for (int i = 0; i < 3; ++i) {
        request_quarantine &seer = i % 2 == 0 ? one : other;
        request_quarantine &told = i % 2 == 0 ? other : one;
        seer.noteInterrupted(at(seconds(i)), instanceOf(i), {kPoison, {}});
        for (const crash_report &report : seer.noteCrashed(at(seconds(i)), instanceOf(i))) {
            told.onReport(at(seconds(i)), report);
        }
    }
    EXPECT_TRUE(isQuarantined(one, seconds(3), kPoison));
    EXPECT_TRUE(isQuarantined(other, seconds(3), kPoison));
    auto restarted = request_quarantine::make({});
    for (const crash_report &report : one.suspectReports(at(seconds(4)), 100)) {
        restarted.onReport(at(seconds(4)), report);
    }
    EXPECT_TRUE(isQuarantined(restarted, seconds(4), kPoison));
    EXPECT_EQ(restarted.quarantinedFor(at(seconds(4)), kPoison), one.quarantinedFor(at(seconds(4)), kPoison));
}

TEST(RequestQuarantine, OpenAttemptOfAnotherEntryIsExplainedByTheCrash)
{
    auto sender = request_quarantine::make({});
    auto other = request_quarantine::make({});
    sender.noteInterrupted(at(seconds(0)), instanceOf(1), {kPoison, {}});
    const auto open = sender.noteSilent(at(seconds(1)), instanceOf(1));
    ASSERT_EQ(open.size(), 1U);
    EXPECT_EQ(open.front().ageMs, 1'000U);
    EXPECT_TRUE(sender.noteSilent(at(seconds(1)), instanceOf(1)).empty());
    other.onOpenAttempt(at(seconds(1)), open.front());
    EXPECT_EQ(other.silentInstances(), std::vector<upstream_instance>{instanceOf(1)});
    other.noteCrashed(at(seconds(4)), instanceOf(1));
    EXPECT_EQ(other.crashesOf(kPoison), 1U);
    EXPECT_TRUE(other.silentInstances().empty());
}

TEST(RequestQuarantine, NextAttemptsAreReportedFromTheStartOnceAnUpstreamFellSilent)
{
    auto quarantine = request_quarantine::make({});
    EXPECT_FALSE(quarantine.noteStarted(at(seconds(0)), instanceOf(1), {kPoison, {}}));
    quarantine.noteInterrupted(at(seconds(0)), instanceOf(1), {kPoison, {}});
    EXPECT_FALSE(quarantine.noteStarted(at(seconds(0)), instanceOf(2), {kPoison, {}}));
    quarantine.noteSilent(at(seconds(1)), instanceOf(1));
    EXPECT_TRUE(quarantine.noteStarted(at(seconds(1)), instanceOf(2), {kPoison, {}}));
    EXPECT_FALSE(quarantine.noteStarted(at(seconds(1)), instanceOf(2), {kPoison, {}}));
    EXPECT_EQ(quarantine.silentInstances().size(), 2U);
    quarantine.noteAnswered(instanceOf(2), kPoison);
    EXPECT_EQ(quarantine.silentInstances().size(), 1U);
}

TEST(RequestQuarantine, EntryRestoresWhatItHadObserved)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 1, seconds(0), {kPoison, kSound});
    quarantine.onReport(at(seconds(0)), {kPoison, instanceOf(2), 0, false});
    quarantine.noteInterrupted(at(seconds(1)), instanceOf(3), {kPoison, {}});
    quarantine.noteSilent(at(seconds(1)), instanceOf(3));
    quarantine.noteCompleted(at(seconds(1)), kSound);
    const crash_evidence observed = quarantine.observations(at(seconds(2)), 100);
    EXPECT_EQ(observed, (crash_evidence{{{kPoison, instanceOf(1), 2'000, false}}, {{kPoison, instanceOf(3), 1'000}}}));
    auto restarted = request_quarantine::make({});
    restarted.restore(at(seconds(2)), observed);
    restarted.noteCrashed(at(seconds(4)), instanceOf(3));
    EXPECT_EQ(restarted.crashesOf(kPoison), 2U);
    EXPECT_EQ(restarted.observations(at(seconds(4)), 100).crashes.size(), 2U);
    EXPECT_EQ(restarted.observations(at(seconds(4)), 1).crashes.size(), 1U);
}

// Load pattern: a sound request is in three crashes and is answered then; all entries lose power. One of them was stopping and had not recorded any
// more that the request is cleared, so that its record quarantined it again for ten minutes.
TEST(RequestQuarantine, ClearedRequestIsServedAfterARestartOfAllEntries)
{
    auto stopping = request_quarantine::make({});
    auto answering = request_quarantine::make({});
    for (int i = 0; i < 3; ++i) {
        crash(stopping, i, seconds(i), {kSound});
        answering.onReport(at(seconds(i)), {kSound, instanceOf(i), 0, false});
    }
    const crash_evidence outdated = stopping.observations(at(seconds(3)), 100);
    ASSERT_TRUE(answering.noteCompleted(at(seconds(4)), kSound));
    const crash_evidence recorded = answering.observations(at(seconds(4)), 100);
    EXPECT_EQ(recorded.cleared, (std::vector<crash_report>{{kSound, {}, 0, true}}));
    auto restarted = request_quarantine::make({});
    restarted.restore(at(seconds(4)), outdated);
    EXPECT_TRUE(isQuarantined(restarted, seconds(4), kSound));
    restarted.onReport(at(seconds(4)), recorded.cleared.front());
    EXPECT_FALSE(isQuarantined(restarted, seconds(4), kSound));
    EXPECT_EQ(restarted.crashesOf(kSound), 0U);
    auto again = request_quarantine::make({});
    again.restore(at(seconds(4)), recorded);
    again.restore(at(seconds(4)), outdated);
    EXPECT_FALSE(isQuarantined(again, seconds(4), kSound));
    EXPECT_EQ(again.observations(at(seconds(4)), 100).cleared.size(), 1U);
    crash(again, 9, seconds(5), {kSound});
    EXPECT_EQ(again.crashesOf(kSound), 1U) << "a crash after the answer counts";
}

TEST(RequestQuarantine, OnlyClearancesOfSeveralCrashesAreRecordedAndAsLongAsTheseCount)
{
    auto quarantine = request_quarantine::make({});
    crash(quarantine, 1, seconds(0), {kSound, kPoison});
    crash(quarantine, 2, seconds(1), {kPoison});
    quarantine.noteCompleted(at(seconds(2)), kSound);
    EXPECT_TRUE(quarantine.observations(at(seconds(2)), 100).cleared.empty());
    quarantine.noteCompleted(at(seconds(2)), kPoison);
    EXPECT_EQ(quarantine.observations(at(seconds(2)), 100).cleared.size(), 1U);
    quarantine.noteAlive(at(std::chrono::minutes(11)), instanceOf(1));
    quarantine.onReport(at(std::chrono::minutes(11)), {kPoison, instanceOf(3), 0, false});
    EXPECT_TRUE(quarantine.observations(at(std::chrono::minutes(11)), 100).cleared.empty());
    quarantine.onReport(at(std::chrono::minutes(11)), {kPoison, {}, 11 * 60 * 1'000, true});
    EXPECT_EQ(quarantine.crashesOf(kPoison), 1U) << "an outdated clearance";
}

TEST(RequestQuarantine, CompleteAnswerClearsOpenAttemptsAtAllEntries)
{
    auto quarantine = request_quarantine::make({});
    auto other = request_quarantine::make({});
    quarantine.noteInterrupted(at(seconds(0)), instanceOf(1), {kSound, {}});
    for (const open_attempt &open : quarantine.noteSilent(at(seconds(1)), instanceOf(1))) {
        other.onOpenAttempt(at(seconds(1)), open);
    }
    const auto cleared = quarantine.noteCompleted(at(seconds(3)), kSound);
    ASSERT_TRUE(cleared);
    other.onReport(at(seconds(3)), *cleared);
    EXPECT_TRUE(other.silentInstances().empty());
    EXPECT_TRUE(quarantine.observations(at(seconds(3)), 100).isEmpty());
}

TEST(RequestQuarantine, QuarantineLapsesWithTheEvidence)
{
    auto quarantine = request_quarantine::make({});
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, i, seconds(i), {kPoison});
    }
    EXPECT_EQ(quarantine.quarantinedFor(at(seconds(10)), kPoison), std::chrono::minutes(10) - seconds(10));
    EXPECT_TRUE(isQuarantined(quarantine, std::chrono::minutes(10) - seconds(1), kPoison));
    EXPECT_FALSE(isQuarantined(quarantine, std::chrono::minutes(10) + seconds(1), kPoison));
    EXPECT_EQ(quarantine.size(), 0U);
}

TEST(RequestQuarantine, UpstreamOfUnknownStartMayCrashAgainAfterAWhile)
{
    auto quarantine = request_quarantine::make({});
    const upstream_instance upstream{"engine-1", 0};
    for (const int time : {0, 1, 10, 20}) {
        quarantine.noteInterrupted(at(seconds(time)), upstream, {kPoison, {}});
        quarantine.noteCrashed(at(seconds(time)), upstream);
    }
    EXPECT_EQ(quarantine.crashesOf(kPoison), 3U);
}

// Load pattern: hundreds of requests run on an upstream that crashes under one which has just begun.
TEST(RequestQuarantine, RequestThatCrashesUpstreamsIsFoundAmongHundredsThatRunBesideIt)
{
    auto quarantine = request_quarantine::make({});
    std::uint64_t sound = 1'000;
    for (int i = 0; i < 3; ++i) {
        for (int beside = 0; beside < 300; ++beside) {
            quarantine.noteInterrupted(at(seconds(i)), instanceOf(i), {++sound, {}}, seconds(1));
        }
        quarantine.noteInterrupted(at(seconds(i)), instanceOf(i), {kPoison, {}}, milliseconds(1));
        quarantine.noteCrashed(at(seconds(i)), instanceOf(i));
    }
    EXPECT_TRUE(isQuarantined(quarantine, seconds(3), kPoison));
}

TEST(RequestQuarantine, MemoryIsBounded)
{
    quarantine_settings settings;
    settings.maxCrashesKept = 10;
    settings.maxPending = 10;
    auto quarantine = request_quarantine::make(settings);
    for (int i = 0; i < 100; ++i) {
        crash(quarantine, i, milliseconds(i), {kPoison, static_cast<std::uint64_t>(i + 10)});
    }
    EXPECT_EQ(quarantine.crashesOf(kPoison), 10U);
    EXPECT_EQ(quarantine.crashesOf(10), 0U);
    EXPECT_TRUE(isQuarantined(quarantine, seconds(1), kPoison));
}
