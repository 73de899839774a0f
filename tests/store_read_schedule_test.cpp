#include "relay/store_read_schedule.h"

#include <gtest/gtest.h>

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kEntries = 300;
constexpr instant kStart{std::chrono::hours(1)};

store_read_schedule scheduleOf(std::size_t entries)
{
    store_read_schedule schedule = store_read_schedule::make({}, kStart);
    schedule.setEntries(entries);
    return schedule;
}

/// The number of reads of the upstreams that an entry which doesn't read frequently makes from @p from to @p to.
int readsBetween(instant from, instant to, std::mt19937_64 &random)
{
    store_read_schedule schedule = scheduleOf(kEntries);
    int reads = 0;
    for (instant at = kStart; at < to; at += schedule.infrequentUpstreamsDelay(random)) {
        schedule.noteRead();
        reads += at >= from ? 1 : 0;
    }
    return reads;
}

} // namespace

TEST(StoreReadSchedule, EntryReadsFrequentlyForAnyOfItsNeeds)
{
    EXPECT_FALSE(store_read_schedule::isFrequent({}));
    EXPECT_TRUE(store_read_schedule::isFrequent({.readsForOthers = true}));
    EXPECT_TRUE(store_read_schedule::isFrequent({.holdsLease = true}));
    EXPECT_TRUE(store_read_schedule::isFrequent({.isLoading = true}));
    EXPECT_TRUE(store_read_schedule::isFrequent({.hasMissedChanges = true}));
}

// A reader tells of a change within the first seconds as soon as its next read; the platform allows 2 s until a leaving upstream gets no requests.
TEST(StoreReadSchedule, FrequentReadsFollowEachOtherFasterAtTheStart)
{
    const store_read_schedule schedule = scheduleOf(kEntries);
    EXPECT_EQ(schedule.frequentDelay(kStart), milliseconds(300));
    EXPECT_EQ(schedule.frequentDelay(kStart + milliseconds(7'999)), milliseconds(300));
    EXPECT_EQ(schedule.frequentDelay(kStart + seconds(8)), milliseconds(900));
}

// An entry that the readers didn't know yet missed what they told; the upstreams of a fleet that starts change within the first seconds.
TEST(StoreReadSchedule, EntryReadsASecondTimeWithinSecondsOfItsStart)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 1'000; ++i) {
        store_read_schedule schedule = scheduleOf(kEntries);
        schedule.noteRead();
        const milliseconds second = schedule.infrequentUpstreamsDelay(random);
        EXPECT_GE(second, seconds(2));
        EXPECT_LE(second, seconds(6));
        schedule.noteRead();
        EXPECT_GE(schedule.infrequentUpstreamsDelay(random), schedule.infrequentInterval() / 2);
    }
}

TEST(StoreReadSchedule, ReadsOfAFleetDoNotGrowWithItOnceItHasStarted)
{
    std::mt19937_64 random(2);
    int reads = 0;
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
        reads += readsBetween(kStart + seconds(300), kStart + seconds(420), random);
    }
    // One in 0.3 s of all entries together.
    EXPECT_NEAR(reads, 400, 60);
    EXPECT_EQ(scheduleOf(10).infrequentInterval(), seconds(30));
    EXPECT_EQ(scheduleOf(kEntries).infrequentInterval(), seconds(90));
}

TEST(StoreReadSchedule, RetriesAreSpreadAndGrowUpToABound)
{
    std::mt19937_64 random(3);
    const store_read_schedule schedule = scheduleOf(kEntries);
    const auto expectBetween = [&](std::uint32_t failures, milliseconds minDelay, milliseconds from, milliseconds to) {
        milliseconds least = milliseconds::max();
        milliseconds most{0};
        for (int i = 0; i < 1'000; ++i) {
            const milliseconds delay = schedule.retryDelay(failures, minDelay, random);
            least = std::min(least, delay);
            most = std::max(most, delay);
        }
        EXPECT_GE(least, from) << failures;
        EXPECT_LE(most, to) << failures;
        EXPECT_LT(least, from + (to - from) / 10) << "not spread";
        EXPECT_GT(most, to - (to - from) / 10) << "not spread";
    };
    expectBetween(0, milliseconds(0), milliseconds(75), milliseconds(150));
    expectBetween(1, milliseconds(0), milliseconds(150), milliseconds(300));
    expectBetween(9, milliseconds(0), milliseconds(500), milliseconds(1'000));
    expectBetween(0, seconds(3), milliseconds(1'500), seconds(3));
    expectBetween(9, seconds(3), seconds(6), seconds(12));
}
