#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Small numbers given by whoever embeds the table; a pool is the replicas of one model and kind that one half may use.
using pool_index = std::uint16_t;
using zone_index = std::uint16_t;
using owner_index = std::uint32_t;
using replica_index = std::uint32_t;

/// The source of all random choices of a placement; seeded by the embedding program.
using placement_random = std::mt19937_64;

/// A number below @p bound, the same on every platform. Precondition: @p bound is positive.
std::uint64_t randomBelow(placement_random &random, std::uint64_t bound);

/// What is fixed about a replica while it is in the inventory. Names stay with the embedding program, to keep this small.
struct replica_traits
{
    pool_index pool = 0;
    zone_index zone = 0;
    owner_index owner = 0;
    std::uint32_t slots = 0;
    std::uint32_t pieces = 0;

    auto operator<=>(const replica_traits &) const = default;
};

/// What is known about a replica's load; late.
struct replica_load
{
    std::uint32_t busySlots = 0;
    std::uint32_t usedPieces = 0;
    std::uint64_t queuedTokens = 0; ///< Prompt tokens that wait for a prefill or run in one.

    auto operator<=>(const replica_load &) const = default;
};

/// What one owner last told of its replicas of one pool in one zone; late.
struct pool_summary
{
    owner_index owner = 0;
    pool_index pool = 0;
    zone_index zone = 0;
    std::uint32_t replicas = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t freePieces = 0;
    std::uint64_t queuedTokens = 0;

    auto operator<=>(const pool_summary &) const = default;
};

/**
 * The replicas that an entry can choose from, indexed by pool and zone.
 *
 * A placement must cost the same among thirteen replicas and among thousands, so the table answers "a random replica
 * of this pool, zones with more room first" in time that depends on the number of zones alone. Load comes from owners'
 * answers and, for replicas never heard of, from the owners' summaries; what this entry placed since is added. Not thread safe.
 */
class replica_table
{
public:
    /// Adds a replica; an index of a removed one may be given again.
    replica_index add(const replica_traits &traits);
    /// Takes a replica out; it is not chosen again. Precondition: @p replica is in the table.
    void remove(replica_index replica);
    /// Whether @p replica is in the table.
    bool contains(replica_index replica) const noexcept;
    /// Precondition: @p replica is in the table.
    const replica_traits &traits(replica_index replica) const;
    /// All replicas of @p pool, in an order that only add() and remove() change.
    const std::vector<replica_index> &members(pool_index pool) const;

    /// Takes in a report; forgets what was placed since the last one.
    void setLoad(instant now, replica_index replica, const replica_load &load);
    /// The share of its normal work that a replica gets: 0 for none, 1 for all.
    void setWeight(replica_index replica, double weight);
    /// Whether the replica gets any work.
    bool takesWork(replica_index replica) const;
    /// Replaces what the same owner told of the same pool and zone.
    void setSummary(const pool_summary &summary);
    /// Forgets the summaries of an owner that is gone.
    void dropOwner(owner_index owner);
    /// This entry has sent work that no report shows yet.
    void notePlaced(replica_index replica, std::uint32_t pieces, std::uint64_t promptTokens);

    /// The load as far as it is known; empty when neither a fresh report nor a summary covers it.
    std::optional<replica_load> estimate(instant now, replica_index replica) const;

    /// A random replica of the pool, by weight, zones with more free slots more often; empty when the pool has none.
    std::optional<replica_index> sample(pool_index pool, placement_random &random) const;
    /// A random replica of the pool, by weight alone.
    std::optional<replica_index> sampleUniform(pool_index pool, placement_random &random) const;
    /// Up to @p count different replicas of the pool as sample() gives them; all that take work when the pool is no larger.
    std::vector<replica_index> sampleSeveral(pool_index pool, std::size_t count, placement_random &random) const;
    /// The slots of all replicas of a pool.
    std::uint64_t slots(pool_index pool) const;

private:
    struct replica
    {
        replica_traits traits;
        std::optional<replica_load> load;
        instant loadAt{};
        replica_load placed; ///< By this entry since the report.
        double weight = 1.0;
        std::uint32_t positionInPool = 0;
        std::uint32_t positionInZone = 0;
        bool present = false;
    };
    struct zone_bucket
    {
        std::vector<replica_index> members;
        std::map<owner_index, pool_summary> summaries;
        std::uint64_t reported = 0; ///< Replicas that summaries cover.
        std::uint64_t freeSlots = 0;
        std::uint64_t freePieces = 0;
        std::uint64_t queuedTokens = 0;
    };
    struct pool
    {
        std::vector<replica_index> members;
        std::vector<zone_bucket> zones;
        std::uint64_t slots = 0;
    };

    pool &poolAt(pool_index index);
    zone_bucket &bucketAt(pool_index pool, zone_index zone);
    void forget(zone_bucket &bucket, owner_index owner);
    bool admits(replica_index replica, placement_random &random) const;
    std::optional<replica_index> pick(const std::vector<replica_index> &members, placement_random &random) const;
    static std::uint64_t zoneWeight(const zone_bucket &bucket);

    std::vector<replica> m_replicas;
    std::vector<replica_index> m_unused;
    std::vector<pool> m_pools;
};

} // namespace heatherroute
