#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "relay/lease_candidate.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Entries in order of name that receive each other's messages, and a store that grants the lease to the newest candidate.
struct simulated_fleet
{
    struct entry
    {
        lease_candidate candidate = lease_candidate::make({}, instant{});
        bool alive = true;
    };

    explicit simulated_fleet(std::size_t size)
        : entries(size)
    { }

    void step()
    {
        now += milliseconds(100);
        std::size_t rank = 0;
        for (entry &one : entries) {
            one.candidate.setRank(rank);
            rank += one.alive ? 1 : 0;
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const bool tries = entries[i].alive && entries[i].candidate.shouldTry(now);
            const bool wasTrying = std::count(claimants.begin(), claimants.end(), i) > 0;
            if (tries && !wasTrying) {
                claimants.push_back(i);
            } else if (!tries && wasTrying) {
                std::erase(claimants, i);
            }
        }
        const auto before = holder;
        holder = claimants.empty() ? std::nullopt : std::optional(claimants.back());
        changes += holder && holder != before ? 1 : 0;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].candidate.setIsHolder(holder == i);
        }
        if (holder && entries[*holder].alive) {
            for (std::size_t i = 0; i < entries.size(); ++i) {
                if (i != *holder) {
                    entries[i].candidate.noteHolder(now);
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

    /// Performs a planned restart: the entry releases the lease and comes back without any state.
    void restart(std::size_t index)
    {
        entries[index].alive = false;
        if (holder == index) {
            for (entry &one : entries) {
                one.candidate.noteReleased(now);
            }
        }
        run(milliseconds(500));
        entries[index] = {lease_candidate::make({}, now), true};
        run(milliseconds(2'000));
    }

    std::vector<entry> entries;
    std::vector<std::size_t> claimants; ///< In the order in which they began to try.
    std::optional<std::size_t> holder;
    int changes = 0;
    instant now{};
};

} // namespace

// Load pattern: twelve entries are restarted one after another, the first by name last.
TEST(LeaseCandidate, RollingRestartChangesTheHolderOnlyWhenItIsRestarted)
{
    simulated_fleet fleet(12);
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.changes, 1);
    for (const std::size_t index : {2U, 7U, 1U, 8U, 3U, 9U, 4U, 10U, 5U, 11U, 6U}) {
        fleet.restart(index);
    }
    EXPECT_EQ(fleet.changes, 1);
    fleet.restart(0);
    EXPECT_EQ(fleet.changes, 2);
    fleet.run(seconds(5));
    EXPECT_EQ(fleet.changes, 2) << "the restarted entry, although first by name, must not take the lease from the new holder";
}

TEST(LeaseCandidate, SilentHolderIsReplaced)
{
    simulated_fleet fleet(12);
    fleet.run(seconds(3));
    fleet.entries[0].alive = false;
    fleet.run(milliseconds(1'500));
    EXPECT_FALSE(fleet.holder) << "a few lost messages are no reason to change the holder";
    fleet.run(seconds(2));
    EXPECT_TRUE(fleet.holder);
}

TEST(LeaseCandidate, OnlyTheFirstEntriesByNameTry)
{
    std::size_t trying = 0;
    for (std::size_t rank = 0; rank < 340; ++rank) {
        lease_candidate candidate = lease_candidate::make({}, instant{});
        candidate.setRank(rank);
        EXPECT_FALSE(candidate.shouldTry(instant{} + milliseconds(500)));
        trying += candidate.shouldTry(instant{} + seconds(4)) ? 1 : 0;
    }
    EXPECT_EQ(trying, 2U);
}
