#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "relay/fleet_retry_budget.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int kStepMs = 20;
constexpr int kWindowMs = 10'000;
constexpr int kRunMs = 40'000;

/// A fleet whose service fails, so that every request is to be retried. Entries learn late of each other, lose contact and restart.
struct failing_fleet
{
    std::size_t entries = 12;
    int requestsPerSecond = 60;
    double slack = 104;
    int restartsPerMinute = 0; ///< Restarts of each entry per minute.
    int partialViewsPerThousand = 0; ///< Updates of an entry's fleet size, per thousand, that may report too few entries.
    bool skewed = false; ///< More than half of the requests go to one entry.

    /// Returns the largest excess of retries over the limit in any window; at most 0 when the limit was kept.
    double worstExcess(std::uint64_t seed) const
    {
        std::mt19937_64 random(seed);
        const auto randomBelow = [&random](std::size_t below) { return std::uniform_int_distribution<std::size_t>(0, below - 1)(random); };
        const retry_limit limit{0.2, slack, seconds(10)};
        std::vector<fleet_retry_budget> budgets(entries, fleet_retry_budget::make(limit));
        std::vector<int> requests(kRunMs / kStepMs, 0);
        std::vector<int> retries(kRunMs / kStepMs, 0);
        for (int step = 0; step < kRunMs / kStepMs; ++step) {
            const instant now = instant{} + milliseconds(step * kStepMs);
            if (randomBelow(60'000 / kStepMs) < restartsPerMinute * entries) {
                budgets[randomBelow(entries)] = fleet_retry_budget::make(limit);
            }
            const bool partialView = randomBelow(1'000) < static_cast<std::size_t>(partialViewsPerThousand);
            budgets[randomBelow(entries)].setFleetSize(now, partialView ? 1 + randomBelow(entries) : entries);
            const int arrivals = requestsPerSecond * (step + 1) * kStepMs / 1'000 - requestsPerSecond * step * kStepMs / 1'000;
            for (int i = 0; i < arrivals; ++i) {
                fleet_retry_budget &budget = budgets[skewed && randomBelow(2) == 0 ? 0 : randomBelow(entries)];
                budget.noteRequest(now, "portal");
                requests[static_cast<std::size_t>(step)] += 1;
                retries[static_cast<std::size_t>(step)] += budget.tryRetry(now, "portal") ? 1 : 0;
            }
        }
        return excessOf(requests, retries);
    }

    double excessOf(const std::vector<int> &requests, const std::vector<int> &retries) const
    {
        constexpr std::size_t kSteps = kWindowMs / kStepMs;
        double worst = -1e9;
        double windowRequests = 0;
        double windowRetries = 0;
        for (std::size_t end = 0; end < requests.size(); ++end) {
            windowRequests += requests[end];
            windowRetries += retries[end];
            if (end >= kSteps) {
                windowRequests -= requests[end - kSteps];
                windowRetries -= retries[end - kSteps];
            }
            worst = std::max(worst, windowRetries - 0.2 * windowRequests - slack);
        }
        return worst;
    }
};

} // namespace

// Load pattern: a service fails for all entries while they restart, lose contact with each other and get unequal shares of the callers.
RC_GTEST_PROP(RetryState, FleetStaysWithinTheLimitWhileEntriesRestartAndLoseContact, ())
{
    failing_fleet fleet;
    fleet.entries = *rc::gen::inRange<std::size_t>(2, 41);
    fleet.requestsPerSecond = *rc::gen::inRange(10, 400);
    fleet.slack = *rc::gen::inRange(50, 320);
    // Planned restarts alone give less than one restart per entry and minute; killed entries add more.
    fleet.restartsPerMinute = *rc::gen::inRange(0, 4);
    fleet.partialViewsPerThousand = *rc::gen::inRange(0, 500);
    fleet.skewed = *rc::gen::arbitrary<bool>();
    const double excess = fleet.worstExcess(*rc::gen::arbitrary<std::uint64_t>());
    RC_LOG() << excess;
    RC_ASSERT(excess <= 0);
}

// Load pattern: all entries lose power at the same moment while a service fails, twice within one window.
RC_GTEST_PROP(RetryState, TwoRestartsOfAllEntriesInAWindowStayWithinTheLimit, ())
{
    const auto entries = *rc::gen::inRange<std::size_t>(2, 41);
    const double slack = *rc::gen::inRange(50, 320);
    const retry_limit limit{0.2, slack, seconds(10)};
    int retries = 0;
    for (int restart = 0; restart < 2; ++restart) {
        std::vector<fleet_retry_budget> budgets(entries, fleet_retry_budget::make(limit));
        for (fleet_retry_budget &budget : budgets) {
            // Restarted entries learn of each other before they become ready.
            budget.setFleetSize(instant{}, entries);
            while (budget.tryRetry(instant{}, "portal")) {
                ++retries;
            }
        }
    }
    RC_ASSERT(retries <= slack);
}
