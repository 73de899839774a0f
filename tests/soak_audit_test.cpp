#include <gtest/gtest.h>

#include "support/soak_audit.h"

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

TEST(SoakAudit, FindsConfigurationRollbacks)
{
    using clock = std::chrono::steady_clock;
    const auto at = [](int ms) { return clock::time_point(std::chrono::milliseconds(ms)); };
    soak_audit audit;
    audit.recordPublication(at(0), true);
    audit.recordLookup("a", at(10), at(20), true);
    audit.recordPublication(at(100), false);
    audit.recordLookup("a", at(150), at(160), true); // The new configuration is not active yet.
    audit.recordLookup("a", at(200), at(210), false);
    audit.recordLookup("b", at(220), at(230), true);
    EXPECT_TRUE(audit.violations().empty());
    audit.recordLookup("a", at(205), at(240), true); // Sent before it was known that the newer configuration is active.
    EXPECT_TRUE(audit.violations().empty());
    audit.recordLookup("a", at(250), at(260), true);
    EXPECT_EQ(audit.violations().size(), 1U);
    audit.recordPublication(at(300), true);
    audit.recordLookup("a", at(310), at(320), true);
    EXPECT_EQ(audit.violations().size(), 1U);
}
