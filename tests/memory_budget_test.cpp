#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include <thread>

using namespace heatherroute;
using net::memory_budget;
using net::memory_share;
using net::memory_use;

namespace
{

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
constexpr std::size_t kLarge = memory_budget::kSmallBytes + 1;

} // namespace

// Guards against counted memory that, with what isn't counted, exceeds three quarters of the smallest VM.
TEST(MemoryBudget, LimitsLeaveRoomOnTheSmallestVm)
{
    const net::memory_budget_limits limits = net::budgetLimitsFor(96 * kMebibyte);
    EXPECT_EQ(limits.limitBytes, 40 * kMebibyte);
    EXPECT_LE(limits.answerBytes, limits.limitBytes);
    EXPECT_GE(limits.limitBytes - limits.smallReserveBytes, 16 * kMebibyte) << "a request of the maximum size and its copies";
    EXPECT_GT(net::budgetLimitsFor(0).limitBytes + 1, 0U);
}

// Guards against connections of callers that take the descriptors of upstreams, peers and the store.
TEST(MemoryBudget, ConnectionsLeaveDescriptorsForTheRest)
{
    for (const std::uint64_t descriptors : {64U, 256U, 1024U, 2870U, 8192U}) {
        const net::connection_shares shares = net::connectionSharesOf(descriptors);
        EXPECT_LE(shares.callers + shares.entries + 3 * shares.others, descriptors * 3 / 4) << descriptors;
        EXPECT_GE(shares.callers, descriptors / 4) << descriptors;
    }
}

// Guards against large requests that leave no memory for small ones.
TEST(MemoryBudget, ReserveIsForSmallRequests)
{
    const auto budget = memory_budget::make({400'000, 100'000, 400'000});
    memory_share large(budget, memory_use::Request);
    EXPECT_FALSE(large.tryResize(300'001));
    EXPECT_TRUE(large.tryResize(300'000));
    memory_share other(budget, memory_use::Request);
    EXPECT_FALSE(other.tryResize(kLarge));
    EXPECT_TRUE(other.tryResize(60'000));
    EXPECT_EQ(budget->used(), 360'000U);
    large.resize(0);
    EXPECT_TRUE(other.tryResize(kLarge));
}

// Guards against a budget that is never returned.
TEST(MemoryBudget, DestroyedSharesReturnWhatTheyHeld)
{
    const auto budget = memory_budget::make(200'000);
    {
        memory_share request(budget, memory_use::Request, [] {});
        memory_share answer(budget, memory_use::Answer);
        EXPECT_TRUE(request.tryResize(120'000));
        EXPECT_TRUE(answer.tryResize(80'000));
        EXPECT_FALSE(answer.tryResize(80'001));
    }
    EXPECT_EQ(budget->used(), 0U);
}

// Load pattern: stalled requests hold the whole budget. The one that holds the most has to give up first; complete ones never do.
TEST(MemoryBudget, LargestStalledIncompleteRequestGivesUp)
{
    const auto budget = memory_budget::make(1'000'000);
    int smaller = 0;
    int larger = 0;
    int complete = 0;
    memory_share first(budget, memory_use::Request, [&] { ++smaller; });
    memory_share second(budget, memory_use::Request, [&] { ++larger; });
    memory_share third(budget, memory_use::Request, [&] { ++complete; });
    EXPECT_TRUE(first.tryResize(200'000));
    EXPECT_TRUE(second.tryResize(300'000));
    EXPECT_TRUE(third.tryResize(500'000));
    first.setIncomplete(true);
    second.setIncomplete(true);
    memory_share arriving(budget, memory_use::Request);
    EXPECT_FALSE(arriving.tryResize(1));
    EXPECT_EQ(smaller + larger + complete, 0) << "they have just made progress";
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    EXPECT_FALSE(arriving.tryResize(1));
    EXPECT_EQ(larger, 1);
    EXPECT_EQ(smaller + complete, 0);
    second.resize(0);
    EXPECT_TRUE(arriving.tryResize(1));
    EXPECT_EQ(budget->evictions(), 1U);
}
