#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "heatherroute/replica_table.h"

namespace heatherroute
{

/// The number of leading blocks of a prompt that a replica is expected to have cached.
struct prefix_hit
{
    replica_index replica = 0;
    std::uint32_t blocks = 0;

    auto operator<=>(const prefix_hit &) const = default;
};

/**
 * An estimate of the contents of the prefix caches of prefill engines.
 *
 * Cache events arrive late and some are lost, so the index is only a hint for placement and correctness does not depend on
 * it. An event after a gap in the sequence invalidates all blocks of the replica, because evictions may have been missed, and
 * marks the replica for a resync. Placements of this entry are recorded immediately, since their events arrive late. When the
 * index exceeds its capacity, the least recently used block is removed. Each block stores only a few replicas. Not thread
 * safe.
 */
class prefix_index
{
public:
    /// Creates an index of at most @p capacity blocks. Precondition: @p capacity is positive.
    static prefix_index make(std::size_t capacity);

    /// Processes the event that the engine stored the last block of the prefix with this hash.
    void stored(replica_index replica, std::uint64_t sequence, std::uint64_t prefixHash);
    /// Processes the event that the engine evicted that block.
    void evicted(replica_index replica, std::uint64_t sequence, std::uint64_t prefixHash);
    /// Records that this entry sent a prompt with these prefix hashes, shortest prefix first, to the replica.
    void notePlaced(replica_index replica, const std::vector<std::uint64_t> &prefixHashes);

    /// Returns whether events of the replica have been missed since the last resync().
    bool needsResync(replica_index replica) const;
    /// Replaces all blocks of the replica. @p sequence is the last event that is included in @p prefixHashes.
    void resync(replica_index replica, std::uint64_t sequence, const std::vector<std::uint64_t> &prefixHashes);
    /// Invalidates all blocks of a replica that has restarted or left.
    void forget(replica_index replica);

    /// Returns a few replicas that have cached a prefix of the prompt, the longest prefix first.
    std::vector<prefix_hit> lookup(const std::vector<std::uint64_t> &prefixHashes) const;

    /// Returns the number of blocks in the index.
    std::size_t size() const noexcept;

private:
    /// A replica that holds a block, valid while its generation equals the one in replica_events. A new generation there invalidates all
    /// blocks of the replica at once.
    struct holder
    {
        replica_index replica = 0;
        std::uint64_t generation = 0;
    };
    struct block
    {
        std::uint64_t hash = 0;
        std::vector<holder> holders; ///< The most recent holder is last.
    };
    struct replica_events
    {
        std::uint64_t generation = 1;
        std::uint64_t lastSequence = 0;
        bool seen = false;
        bool missedEvents = false;
    };

    explicit prefix_index(std::size_t capacity);
    /// Advances the event sequence of a replica; returns whether the event is new.
    bool acceptEvent(replica_index replica, std::uint64_t sequence);
    void insert(replica_index replica, std::uint64_t hash);
    bool isHeldBy(const block &known, replica_index replica) const;
    bool isCurrent(const holder &known) const;

    std::size_t m_capacity;
    std::list<block> m_recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_blocks;
    std::map<replica_index, replica_events> m_replicas;
};

} // namespace heatherroute
