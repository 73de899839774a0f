#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "relay/retry_pool.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int kStepMs = 20;
constexpr int kWindowMs = 10'000;
constexpr int kRunMs = 40'000;

/// A fleet whose service fails: every request wants to be repeated. Entries learn late of each other, lose sight and restart.
struct failing_fleet
{
    std::size_t entries = 12;
    int requestsPerSecond = 60;
    double slack = 104;
    int restartsPerMinute = 0; ///< Of each entry.
    int blindPerThousand = 0; ///< Of changes of an entry's view, those that show it a smaller fleet.
    bool skewed = false; ///< Callers prefer one entry.

    /// The largest excess of repeats over the limit in any window; at most 0 when the limit was kept.
    double worstExcess(std::uint64_t seed) const
    {
        std::mt19937_64 random(seed);
        const auto draw = [&random](std::size_t below) { return std::uniform_int_distribution<std::size_t>(0, below - 1)(random); };
        const retry_limit limit{0.2, slack, seconds(10)};
        std::vector<retry_pool> pools(entries, retry_pool::make(limit));
        std::vector<int> requests(kRunMs / kStepMs, 0);
        std::vector<int> repeats(kRunMs / kStepMs, 0);
        for (int step = 0; step < kRunMs / kStepMs; ++step) {
            const instant now = instant{} + milliseconds(step * kStepMs);
            if (draw(60'000 / kStepMs) < restartsPerMinute * entries) {
                pools[draw(entries)] = retry_pool::make(limit);
            }
            const bool blind = draw(1'000) < static_cast<std::size_t>(blindPerThousand);
            pools[draw(entries)].setFleet(now, blind ? 1 + draw(entries) : entries);
            const int coming = requestsPerSecond * (step + 1) * kStepMs / 1'000 - requestsPerSecond * step * kStepMs / 1'000;
            for (int i = 0; i < coming; ++i) {
                retry_pool &pool = pools[skewed && draw(2) == 0 ? 0 : draw(entries)];
                pool.noteRequest(now, "portal");
                requests[static_cast<std::size_t>(step)] += 1;
                repeats[static_cast<std::size_t>(step)] += pool.tryRepeat(now, "portal") ? 1 : 0;
            }
        }
        return excessOf(requests, repeats);
    }

    double excessOf(const std::vector<int> &requests, const std::vector<int> &repeats) const
    {
        constexpr std::size_t kSteps = kWindowMs / kStepMs;
        double worst = -1e9;
        double inRequests = 0;
        double inRepeats = 0;
        for (std::size_t end = 0; end < requests.size(); ++end) {
            inRequests += requests[end];
            inRepeats += repeats[end];
            if (end >= kSteps) {
                inRequests -= requests[end - kSteps];
                inRepeats -= repeats[end - kSteps];
            }
            worst = std::max(worst, inRepeats - 0.2 * inRequests - slack);
        }
        return worst;
    }
};

} // namespace

// Load pattern: a service fails for all while entries restart, lose sight of each other and get unequal shares of the callers.
RC_GTEST_PROP(RetryState, FleetStaysWithinTheLimitWhileEntriesRestartAndLoseSight, ())
{
    failing_fleet fleet;
    fleet.entries = *rc::gen::inRange<std::size_t>(2, 41);
    fleet.requestsPerSecond = *rc::gen::inRange(10, 400);
    fleet.slack = *rc::gen::inRange(50, 320);
    // A planned restart of every entry takes longer than a minute; more come by kills.
    fleet.restartsPerMinute = *rc::gen::inRange(0, 4);
    fleet.blindPerThousand = *rc::gen::inRange(0, 500);
    fleet.skewed = *rc::gen::arbitrary<bool>();
    const double excess = fleet.worstExcess(*rc::gen::arbitrary<std::uint64_t>());
    RC_LOG() << excess;
    RC_ASSERT(excess <= 0);
}

// Load pattern: all entries lose power at the same moment while a service fails, twice within one window.
RC_GTEST_PROP(RetryState, RestartOfAllTwiceInAWindowStaysWithinTheLimit, ())
{
    const auto entries = *rc::gen::inRange<std::size_t>(2, 41);
    const double slack = *rc::gen::inRange(50, 320);
    const retry_limit limit{0.2, slack, seconds(10)};
    int repeats = 0;
    for (int life = 0; life < 2; ++life) {
        std::vector<retry_pool> pools(entries, retry_pool::make(limit));
        for (retry_pool &pool : pools) {
            // Restarted entries hear of each other before they count as ready.
            pool.setFleet(instant{}, entries);
            while (pool.tryRepeat(instant{}, "portal")) {
                ++repeats;
            }
        }
    }
    RC_ASSERT(repeats <= slack);
}
