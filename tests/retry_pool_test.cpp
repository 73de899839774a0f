#include <gtest/gtest.h>

#include "relay/retry_pool.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: a service fails for all entries at once, and each entry wants to retry every request.
TEST(RetryPool, AllEntriesTogetherStayWithinTheLimit)
{
    constexpr std::size_t kEntries = 12;
    constexpr int kRequestsPerSecond = 60;
    constexpr int kSeconds = 40;
    const retry_limit limit{0.2, 104.0, seconds(10)};
    std::vector<retry_pool> pools(kEntries, retry_pool::make(limit));
    for (retry_pool &pool : pools) {
        pool.setFleet(instant{}, kEntries);
    }
    std::vector<int> retries(kSeconds, 0);
    for (int tick = 0; tick < kSeconds * kRequestsPerSecond; ++tick) {
        const instant now = instant{} + milliseconds(tick * 1000 / kRequestsPerSecond);
        retry_pool &pool = pools[static_cast<std::size_t>(tick) % kEntries];
        pool.noteRequest(now, "portal");
        retries[static_cast<std::size_t>(tick / kRequestsPerSecond)] += pool.tryRepeat(now, "portal") ? 1 : 0;
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

TEST(RetryPool, ServicesHaveSeparateBudgets)
{
    retry_pool pool = retry_pool::make({0.2, 16.0, seconds(10)});
    while (pool.tryRepeat(instant{}, "failing")) {
    }
    EXPECT_TRUE(pool.tryRepeat(instant{}, "healthy"));
}
