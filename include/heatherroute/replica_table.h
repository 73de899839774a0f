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

/// Indices assigned by the embedding program, except replica_index, which the table assigns. A pool is the set of replicas of
/// one model and kind that one half may use.
using pool_index = std::uint16_t;
using zone_index = std::uint16_t;
using owner_index = std::uint32_t;
using replica_index = std::uint32_t;

/// The random number generator of a placement; seeded by the embedding program.
using placement_random = std::mt19937_64;

/// Returns a random number below @p bound, the same on every platform. Precondition: @p bound is positive.
std::uint64_t randomBelow(placement_random &random, std::uint64_t bound);

/// The properties of a replica that do not change while it is in the inventory. Names are kept by the embedding program, so that this stays small.
struct replica_traits
{
    pool_index pool = 0;
    zone_index zone = 0;
    owner_index owner = 0;
    std::uint32_t slots = 0;
    std::uint32_t pieces = 0;

    auto operator<=>(const replica_traits &) const = default;
};

/// The last known load of a replica; it lags behind the actual load.
struct replica_load
{
    std::uint32_t busySlots = 0;
    std::uint32_t usedPieces = 0;
    std::uint64_t queuedTokens = 0; ///< Prompt tokens that wait for a prefill or are being prefilled.

    auto operator<=>(const replica_load &) const = default;
};

/// The last summary from one owner about its replicas of one pool in one zone; it lags behind the actual load.
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
 * A placement must cost the same with thirteen replicas as with thousands, so sampling a random replica of a pool, with a
 * preference for zones with more free slots, takes time that depends only on the number of zones. The load comes from
 * reports of a replica and, for replicas without a fresh report, from the summaries of their owners. Work that this entry
 * has placed since the last report is added. Not thread safe.
 */
class replica_table
{
public:
    /// Adds a replica. The index of a removed replica may be reused.
    replica_index add(const replica_traits &traits);
    /// Removes a replica, which is not sampled any more. Precondition: @p replica is in the table.
    void remove(replica_index replica);
    /// Returns whether @p replica is in the table.
    bool contains(replica_index replica) const noexcept;
    /// Returns the traits of @p replica. Precondition: @p replica is in the table.
    const replica_traits &traits(replica_index replica) const;
    /// Returns all replicas of @p pool, in an order that only add() and remove() change.
    const std::vector<replica_index> &members(pool_index pool) const;

    /// Records a load report and resets the work placed since the previous one.
    void setLoad(instant now, replica_index replica, const replica_load &load);
    /// Sets the fraction of its normal work that a replica gets: 0 for none, 1 for all.
    void setWeight(replica_index replica, double weight);
    /// Returns whether the replica gets any work.
    bool acceptsWork(replica_index replica) const;
    /// Replaces the previous summary of the same owner, pool and zone.
    void setSummary(const pool_summary &summary);
    /// Removes all summaries of an owner that has left.
    void removeOwner(owner_index owner);
    /// Records work that this entry has sent to the replica and that no report includes yet.
    void notePlaced(replica_index replica, std::uint32_t pieces, std::uint64_t promptTokens);

    /// Returns the estimated load; nothing when neither a fresh report nor a summary covers the replica.
    std::optional<replica_load> estimate(instant now, replica_index replica) const;

    /// Samples a replica of the pool by weight, with a preference for zones with more free slots. Returns nothing only when no replica of the
    /// pool accepts work, or, with weights between 0 and 1, when the weights of all of them happened to reject it.
    std::optional<replica_index> sample(pool_index pool, placement_random &random) const;
    /// Samples a replica of the pool by weight alone; returns nothing in the same cases as sample().
    std::optional<replica_index> sampleUniform(pool_index pool, placement_random &random) const;
    /// Samples up to @p count different replicas as sample() does. Considers every replica of a pool of at most @p count replicas.
    std::vector<replica_index> sampleSeveral(pool_index pool, std::size_t count, placement_random &random) const;
    /// Returns the total number of slots of all replicas of a pool.
    std::uint64_t slots(pool_index pool) const;

private:
    struct replica
    {
        replica_traits traits;
        std::optional<replica_load> load;
        instant loadAt{};
        replica_load placedSinceReport; ///< Load that this entry has placed since the last report.
        double weight = 1.0;
        std::uint32_t positionInPool = 0;
        std::uint32_t positionInZone = 0;
        bool present = false;
    };
    struct zone_bucket
    {
        std::vector<replica_index> members;
        std::map<owner_index, pool_summary> summaries;
        std::uint64_t reported = 0; ///< Number of replicas that the summaries cover.
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
    void removeSummary(zone_bucket &bucket, owner_index owner);
    bool acceptsByWeight(replica_index replica, placement_random &random) const;
    std::optional<replica_index> pick(const std::vector<replica_index> &members, placement_random &random) const;
    static std::uint64_t zoneWeight(const zone_bucket &bucket);

    std::vector<replica> m_replicas;
    std::vector<replica_index> m_freeIndices;
    std::vector<pool> m_pools;
};

} // namespace heatherroute
