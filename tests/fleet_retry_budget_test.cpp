#include <gtest/gtest.h>

#include "relay/fleet_retry_budget.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: a service fails for all entries at once, and each entry wants to retry every request.
TEST(FleetRetryBudget, AllEntriesTogetherStayWithinTheLimit)
{
    constexpr std::size_t kEntries = 12;
    constexpr int kRequestsPerSecond = 60;
    constexpr int kSeconds = 40;
    const retry_limit limit{0.2, 104.0, seconds(10)};
    std::vector<fleet_retry_budget> budgets(kEntries, fleet_retry_budget::make(limit));
    for (fleet_retry_budget &budget : budgets) {
        budget.setFleetSize(instant{}, kEntries);
    }
    std::vector<int> retries(kSeconds, 0);
    for (int tick = 0; tick < kSeconds * kRequestsPerSecond; ++tick) {
        const instant now = instant{} + milliseconds(tick * 1000 / kRequestsPerSecond);
        fleet_retry_budget &budget = budgets[static_cast<std::size_t>(tick) % kEntries];
        budget.noteRequest(now, "portal");
        retries[static_cast<std::size_t>(tick / kRequestsPerSecond)] += budget.tryRetry(now, "portal") ? 1 : 0;
    }
    for (int first = 0; first + 10 <= kSeconds; ++first) {
        int inWindow = 0;
        for (int second = first; second < first + 10; ++second) {
            inWindow += retries[static_cast<std::size_t>(second)];
        }
        EXPECT_LE(inWindow, 0.2 * kRequestsPerSecond * 10 + 104) << "window from second " << first;
        EXPECT_GE(inWindow, 0.1 * kRequestsPerSecond * 10) << "window from second " << first;
    }
}

TEST(FleetRetryBudget, ServicesHaveSeparateBudgets)
{
    fleet_retry_budget budget = fleet_retry_budget::make({0.2, 16.0, seconds(10)});
    while (budget.tryRetry(instant{}, "failing")) {
    }
    EXPECT_TRUE(budget.tryRetry(instant{}, "healthy"));
}
