#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "relay/lease_seeker.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Entries by name that hear each other, and a store that gives the lease to the entry that has begun to try last.
struct seeking_fleet
{
    struct entry
    {
        lease_seeker seeker = lease_seeker::make({}, instant{});
        bool alive = true;
    };

    explicit seeking_fleet(std::size_t size)
        : entries(size)
    { }

    void step()
    {
        now += milliseconds(100);
        std::size_t rank = 0;
        for (entry &one : entries) {
            one.seeker.setRank(rank);
            rank += one.alive ? 1 : 0;
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const bool tries = entries[i].alive && entries[i].seeker.shouldTry(now);
            const bool wasTrying = std::count(trying.begin(), trying.end(), i) > 0;
            if (tries && !wasTrying) {
                trying.push_back(i);
            } else if (!tries && wasTrying) {
                std::erase(trying, i);
            }
        }
        const auto before = holder;
        holder = trying.empty() ? std::nullopt : std::optional(trying.back());
        changes += holder && holder != before ? 1 : 0;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].seeker.setHolds(holder == i);
        }
        if (holder && entries[*holder].alive) {
            for (std::size_t i = 0; i < entries.size(); ++i) {
                if (i != *holder) {
                    entries[i].seeker.noteHolder(now);
                }
            }
        }
    }

    void run(duration time)
    {
        for (const instant until = now + time; now < until;) {
            step();
        }
    }

    /// A planned restart: the entry gives the lease up and comes back knowing nothing.
    void restart(std::size_t index)
    {
        entries[index].alive = false;
        if (holder == index) {
            for (entry &one : entries) {
                one.seeker.noteGivenUp(now);
            }
        }
        run(milliseconds(500));
        entries[index] = {lease_seeker::make({}, now), true};
        run(milliseconds(2'000));
    }

    std::vector<entry> entries;
    std::vector<std::size_t> trying; ///< In the order in which they began.
    std::optional<std::size_t> holder;
    int changes = 0;
    instant now{};
};

} // namespace

// Load pattern: twelve entries are restarted in turn, the first by name among the last.
TEST(LeaseSeeker, RollingRestartChangesTheHolderOnlyWhenItIsRestarted)
{
    seeking_fleet fleet(12);
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.changes, 1);
    for (const std::size_t index : {2U, 7U, 1U, 8U, 3U, 9U, 4U, 10U, 5U, 11U, 6U}) {
        fleet.restart(index);
    }
    EXPECT_EQ(fleet.changes, 1);
    fleet.restart(0);
    EXPECT_EQ(fleet.changes, 2);
    fleet.run(seconds(5));
    EXPECT_EQ(fleet.changes, 2) << "the entry that is first by name again leaves it with the new holder";
}

TEST(LeaseSeeker, SilentHolderIsReplaced)
{
    seeking_fleet fleet(12);
    fleet.run(seconds(3));
    fleet.entries[0].alive = false;
    fleet.run(milliseconds(1'500));
    EXPECT_FALSE(fleet.holder) << "a few lost tellings are no reason";
    fleet.run(seconds(2));
    EXPECT_TRUE(fleet.holder);
}

TEST(LeaseSeeker, OnlyTheFirstFewTry)
{
    std::size_t trying = 0;
    for (std::size_t rank = 0; rank < 340; ++rank) {
        lease_seeker seeker = lease_seeker::make({}, instant{});
        seeker.setRank(rank);
        EXPECT_FALSE(seeker.shouldTry(instant{} + milliseconds(500)));
        trying += seeker.shouldTry(instant{} + seconds(4)) ? 1 : 0;
    }
    EXPECT_EQ(trying, 2U);
}
