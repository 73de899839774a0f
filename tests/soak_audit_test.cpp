#include <gtest/gtest.h>

#include "support/soak_audit.h"

using namespace heatherroute;
using namespace heatherroute::support;

namespace
{

caller_result resultOf(const char *path, unsigned status)
{
    caller_result result;
    result.id = "r1";
    result.path = path;
    result.status = status;
    result.isComplete = status != 0;
    return result;
}

/// The violations that the audit finds in one request that was executed @p runs times.
std::vector<std::string> findings(const caller_result &result, int runs, bool disturbed = false)
{
    soak_audit audit;
    audit.recordResult(result, disturbed);
    audit.checkExecutions([runs](const std::string &) { return runs; });
    return audit.violations();
}

/// A first attempt @p ms after the start, at a calm entry.
first_try tryAt(int ms, bool isCutOff, bool isServed)
{
    const std::chrono::steady_clock::time_point start{std::chrono::hours(1)};
    return {kStreamPath, start + std::chrono::milliseconds(ms), isCutOff, true, isServed};
}

} // namespace

// For each guarantee, the audit must find a violation of it and accept a similar case that is allowed.
TEST(SoakAudit, FindsDuplicateExecutions)
{
    EXPECT_EQ(findings(resultOf(kBookingPath, 200), 2).size(), 1U);
    EXPECT_EQ(findings(resultOf(kStreamPath, 0), 2).size(), 1U);
    EXPECT_TRUE(findings(resultOf(kLookupPath, 200), 2).empty());
}

TEST(SoakAudit, FindsExecutionsDespiteNotExecutedStatus)
{
    EXPECT_EQ(findings(resultOf(kBookingPath, 503), 1).size(), 1U);
    EXPECT_TRUE(findings(resultOf(kBookingPath, 503), 0).empty());
    EXPECT_TRUE(findings(resultOf(kBookingPath, 502), 1).empty());
}

TEST(SoakAudit, FindsMismatchedAnswersAndAnswersWithoutExecution)
{
    caller_result foreign = resultOf(kLookupPath, 200);
    foreign.fault = "the answer carries the id of another request";
    EXPECT_EQ(findings(foreign, 1).size(), 1U);
    EXPECT_EQ(findings(resultOf(kLookupPath, 200), 0).size(), 1U);
}

TEST(SoakAudit, FindsMissingAnswersOfUndisturbedEntries)
{
    caller_result late = resultOf(kLookupPath, 0);
    late.fault = "no answer within 700 ms after the deadline";
    EXPECT_EQ(findings(late, 1).size(), 1U);
    EXPECT_TRUE(findings(late, 1, true).empty());
}

TEST(SoakAudit, FindsWorkAfterDrainAndEntriesThatDidNotRecover)
{
    soak_audit audit;
    audit.recordRunsAfterDrain("i-1", 0);
    EXPECT_TRUE(audit.violations().empty());
    audit.recordRunsAfterDrain("i-1", 2);
    audit.recordNotRecovered(3);
    EXPECT_EQ(audit.violations().size(), 2U);
}

TEST(SoakAudit, FindsRequestsThatGoOnCrashingUpstreams)
{
    const auto at = [](int ms) { return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms)); };
    const auto violationsOf = [&at](int firstMs, bool losesPower) {
        soak_audit audit;
        standins::upstream_log log;
        for (int i = 0; i < 3; ++i) {
            log.crashes.push_back({at(100 * i), kPoisonPaths[0]});
        }
        for (int i = 0; i < 4; ++i) {
            log.arrivals.push_back({at(firstMs + i), "portal", "r" + std::to_string(i), kPoisonPaths[0], false, "", "i-1"});
        }
        if (losesPower) {
            audit.recordPowerLoss(at(5'000), at(6'000));
        }
        audit.checkArrivals(log);
        return audit.violations().size();
    };
    EXPECT_EQ(violationsOf(4'000, false), 1U);
    EXPECT_EQ(violationsOf(3'000, false), 0U) << "within the learning time";
    EXPECT_EQ(violationsOf(8'900, true), 0U) << "all entries have just lost power";
    EXPECT_EQ(violationsOf(9'000, true), 1U);
}

TEST(SoakAudit, FindsRequestsToUpstreamsThatLeaveOrPause)
{
    const auto at = [](int ms) { return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms)); };
    const auto violationsOf = [&at](standins::upstream_statement statement, const std::vector<int> &sentMs, const std::string &process) {
        soak_audit audit;
        standins::upstream_log log;
        statement.at = at(1'000);
        statement.instance = "i-1";
        statement.id = "teller";
        audit.recordSender("teller", "entry 0", at(990));
        log.statements.push_back(statement);
        for (const int ms : sentMs) {
            const std::string id = "r" + std::to_string(ms);
            audit.recordSender(id, process, at(ms));
            log.arrivals.push_back({at(ms), "portal", id, kLookupPath, false, "", "i-1"});
        }
        audit.checkStatements(log);
        return audit.violations().size();
    };
    standins::upstream_statement leaving;
    leaving.isLeaving = true;
    EXPECT_EQ(violationsOf(leaving, {3'100}, "entry 0"), 1U);
    EXPECT_EQ(violationsOf(leaving, {1'500, 2'900}, "entry 0"), 0U) << "within the drain time";
    EXPECT_EQ(violationsOf(leaving, {3'100}, "entry 1"), 0U) << "another entry, or this one after a disturbance";
    standins::upstream_statement pausing;
    pausing.pause = std::chrono::seconds(2);
    EXPECT_EQ(violationsOf(pausing, {1'600, 2'000, 2'900}, "entry 0"), 1U);
    EXPECT_EQ(violationsOf(pausing, {1'600, 2'000}, "entry 0"), 0U) << "two are allowed";
    EXPECT_EQ(violationsOf(pausing, {1'100, 1'400, 3'100, 3'200, 3'300}, "entry 0"), 0U) << "before it is known, and after its end";
    EXPECT_EQ(violationsOf(pausing, {1'600, 2'000, 2'900}, "entry 1"), 0U);
}

TEST(SoakAudit, FindsPartsThatGoOnCrashingEnginesAndRefusedSoundStreams)
{
    const auto at = [](int ms) { return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms)); };
    standins::upstream_log log;
    for (int i = 0; i < 5; ++i) {
        log.crashes.push_back({at(100 * i), "/gen/1", "bad1", {"bad1"}});
    }
    const auto violationsOf = [&log, &at](int arrivals, int refused) {
        soak_audit audit;
        for (int i = 0; i < arrivals; ++i) {
            // The prefill and the decode of one request count once.
            log.arrivals.push_back({at(3'500), "llm", "r" + std::to_string(i), "/gen/1", true, "bad1"});
            log.arrivals.push_back({at(3'600), "llm", "r" + std::to_string(i), "/gen/1", false, "bad1"});
        }
        log.arrivals.push_back({at(3'000), "llm", "early", "/gen/1", false, "bad1"});
        log.arrivals.push_back({at(3'500), "llm", "other", "/gen/1", false, ""});
        caller_result result = resultOf(kStreamPath, 503);
        result.refusal = "quarantined";
        for (int i = 0; i < 20; ++i) {
            audit.recordSoundStream(i < refused ? result : resultOf(kStreamPath, 200), at(6'500));
            audit.recordSoundStream(result, at(6'000));
        }
        audit.checkArrivals(log);
        log.arrivals.clear();
        return audit.violations().size();
    };
    EXPECT_EQ(violationsOf(3, 10), 0U);
    EXPECT_EQ(violationsOf(4, 10), 1U);
    EXPECT_EQ(violationsOf(3, 11), 1U);
}

TEST(SoakAudit, ArrivalsRightAfterALossOfPowerAreNotCounted)
{
    const auto at = [](int ms) { return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms)); };
    standins::upstream_log log;
    for (int i = 0; i < 3; ++i) {
        log.crashes.push_back({at(100 * i), "/book/poison"});
    }
    for (int i = 0; i < 6; ++i) {
        log.arrivals.push_back({at(1'000 + 500 * i), "portal", "r" + std::to_string(i), "/book/poison", false});
    }
    for (int i = 0; i < 3; ++i) {
        log.arrivals.push_back({at(4'000 + i), "portal", "q" + std::to_string(i), "/book/poison", false});
    }
    for (int i = 0; i < 3; ++i) {
        log.arrivals.push_back({at(4'100 + i), "portal", "s" + std::to_string(i), "/book/1", false});
    }
    soak_audit allowed;
    allowed.checkArrivals(log);
    // The last of the six arrives later than 3 s after the third crash.
    EXPECT_EQ(allowed.violations().size(), 1U);
    log.arrivals.erase(log.arrivals.begin() + 5);
    soak_audit fewer;
    fewer.checkArrivals(log);
    EXPECT_TRUE(fewer.violations().empty());
}

TEST(SoakAudit, FindsRetriesOverTheBudgetInAnyWindow)
{
    const auto at = [](int ms) { return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms)); };
    standins::upstream_log log;
    for (int i = 0; i < 100; ++i) {
        log.arrivals.push_back({at(20'000 + i), "portal", "r" + std::to_string(i), "/book/1", false});
        log.arrivals.push_back({at(20'000 + i), "llm", "r" + std::to_string(i), "/gen/1", true});
    }
    // The first computation of a prompt is no retry, and its decode is the first arrival of the run.
    for (int i = 0; i < 120; ++i) {
        log.arrivals.push_back({at(20'100 + 80 * i), "portal", "r" + std::to_string(i % 100), "/book/1", false});
    }
    soak_audit allowed;
    allowed.checkArrivals(log);
    EXPECT_TRUE(allowed.violations().empty());
    log.arrivals.push_back({at(29'700), "portal", "r1", "/book/1", false});
    soak_audit over;
    over.checkArrivals(log);
    EXPECT_EQ(over.violations().size(), 1U);
}

TEST(SoakAudit, FindsTwoHoldersWithOneFencingToken)
{
    soak_audit audit;
    audit.checkOrders({{"i-1", "entry-0", 7}, {"i-2", "entry-0", 7}, {"i-1", "entry-1", 8}});
    EXPECT_TRUE(audit.violations().empty());
    audit.checkOrders({{"i-1", "entry-0", 7}, {"i-2", "entry-1", 7}});
    EXPECT_EQ(audit.violations().size(), 1U);
}

TEST(SoakAudit, FindsConfigurationRollbacks)
{
    using clock = std::chrono::steady_clock;
    const auto at = [](int ms) { return clock::time_point(std::chrono::milliseconds(ms)); };
    soak_audit audit;
    audit.recordPublication(at(0), true);
    audit.recordLookup("a", at(10), at(20), true, false);
    audit.recordPublication(at(100), false);
    audit.recordLookup("a", at(150), at(160), true, false); // The new configuration is not active yet.
    audit.recordLookup("a", at(200), at(210), false, false);
    audit.recordLookup("b", at(220), at(230), true, false);
    EXPECT_TRUE(audit.violations().empty());
    audit.recordLookup("a", at(205), at(240), true, false); // Sent before it was known that the newer configuration is active.
    EXPECT_TRUE(audit.violations().empty());
    audit.recordLookup("a", at(250), at(260), true, false);
    EXPECT_EQ(audit.violations().size(), 1U);
    audit.recordPublication(at(300), true);
    audit.recordLookup("a", at(310), at(320), true, false);
    EXPECT_EQ(audit.violations().size(), 1U);
}

TEST(SoakAudit, FindsConfigurationsThatAreNotInForceInTime)
{
    const std::chrono::steady_clock::time_point start{};
    const auto at = [start](int ms) { return start + std::chrono::milliseconds(ms); };
    const auto findingsOf = [&](int sentMs, int endedMs, bool routed, bool steady) {
        soak_audit audit;
        audit.recordPublication(at(0), true);
        audit.recordPublication(at(10'000), false);
        audit.recordLookup("a", at(sentMs), at(endedMs), routed, steady);
        return audit.violations().size();
    };
    EXPECT_EQ(findingsOf(12'100, 12'110, true, true), 1U);
    EXPECT_EQ(findingsOf(12'100, 12'110, false, true), 0U);
    EXPECT_EQ(findingsOf(12'100, 12'110, true, false), 0U) << "the entry was disturbed";
    EXPECT_EQ(findingsOf(11'900, 12'110, true, true), 0U) << "sent before the bound";
}

TEST(SoakAudit, EntriesThatAreCutOffMustServeTheirCallers)
{
    const auto judge = [](int cutOff, int served) {
        soak_audit audit;
        for (int i = 0; i < 100; ++i) {
            audit.recordFirstTry(tryAt(0, false, true));
        }
        for (int i = 0; i < cutOff; ++i) {
            audit.recordFirstTry(tryAt(0, true, i < served));
        }
        audit.checkFirstTries();
        return audit.violations().size();
    };
    EXPECT_EQ(judge(100, 0), 1U);
    EXPECT_EQ(judge(100, 66), 1U);
    EXPECT_EQ(judge(100, 67), 0U);
    EXPECT_EQ(judge(12, 0), 0U) << "12 of 112 may fail";
    EXPECT_EQ(judge(13, 0), 1U);
    EXPECT_EQ(judge(0, 0), 0U);
}

// Entries with links that had restarted a moment ago refused every stream while no engine ran, but weren't compared with.
TEST(SoakAudit, EntriesThatAreCutOffNeedNotServeWhatTheOthersCannotServe)
{
    const auto judge = [](int outageMs, int othersServed, bool othersAreCalm) {
        soak_audit audit;
        for (int i = 0; i < 20; ++i) {
            audit.recordFirstTry(tryAt(0, false, true));
            audit.recordFirstTry(tryAt(0, true, true));
        }
        for (int i = 0; i < 20; ++i) {
            first_try other = tryAt(outageMs, false, i < othersServed);
            other.isCalm = othersAreCalm;
            audit.recordFirstTry(other);
            audit.recordFirstTry(tryAt(1'000, true, false));
        }
        audit.checkFirstTries();
        return audit.violations().size();
    };
    EXPECT_EQ(judge(1'000, 0, false), 0U);
    EXPECT_EQ(judge(1'000, 0, true), 0U);
    EXPECT_EQ(judge(1'000, 20, false), 1U);
    EXPECT_EQ(judge(1'000, 11, false), 1U);
    EXPECT_EQ(judge(2'000, 0, false), 1U) << "they failed at another time";
}

TEST(SoakAudit, CalmEntriesDecideWhatCouldHaveBeenServed)
{
    soak_audit audit;
    audit.recordFirstTry(tryAt(0, false, true));
    for (int i = 0; i < 20; ++i) {
        first_try restarted = tryAt(0, false, false);
        restarted.isCalm = false;
        audit.recordFirstTry(restarted);
        audit.recordFirstTry(tryAt(0, true, false));
    }
    audit.checkFirstTries();
    EXPECT_EQ(audit.violations().size(), 1U);
}

TEST(SoakAudit, RequestsThatAnotherEntryServedAreNotChargedToTheFirst)
{
    soak_audit audit;
    audit.recordUndisturbed("r1", true);
    audit.recordUndisturbed("r2", true);
    audit.excuseForwarded("{\"event\":\"forwarded_request_received\",\"request_id\":\"r1\",\"from\":\"127.0.0.1\"}\n");
    EXPECT_FALSE(audit.isUndisturbed("r1"));
    EXPECT_TRUE(audit.isUndisturbed("r2"));
}
