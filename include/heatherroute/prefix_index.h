#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "heatherroute/replica_table.h"

namespace heatherroute
{

/// How many leading blocks of a prompt a replica is believed to have cached.
struct prefix_hit
{
    replica_index replica = 0;
    std::uint32_t blocks = 0;

    auto operator<=>(const prefix_hit &) const = default;
};

/**
 * What is believed about the prefix caches of prefill engines.
 *
 * Cache events come late and with gaps, so everything here is a hint: it steers a choice and nothing relies on it. An
 * event after a gap marks the replica for a resync and makes what was known of it void, because evictions may have been
 * missed. Own placements are noted at once, since events about them come late. The least recently used blocks are
 * forgotten beyond the capacity, and each block remembers a few replicas only. Not thread safe.
 */
class prefix_index
{
public:
    /// An index of at most @p capacity blocks.
    static prefix_index make(std::size_t capacity);

    /// The engine stored the block that ends the prefix with this hash.
    void stored(replica_index replica, std::uint64_t sequence, std::uint64_t prefixHash);
    /// The engine evicted it.
    void evicted(replica_index replica, std::uint64_t sequence, std::uint64_t prefixHash);
    /// This entry sent a prompt with these prefix hashes, shortest first, to the replica.
    void notePlaced(replica_index replica, const std::vector<std::uint64_t> &prefixHashes);

    /// Whether events of the replica were missed since the last resync().
    bool needsResync(replica_index replica) const;
    /// Replaces all that is known of the replica; @p sequence is the last event that @p prefixHashes include.
    void resync(replica_index replica, std::uint64_t sequence, const std::vector<std::uint64_t> &prefixHashes);
    /// The replica restarted or left.
    void forget(replica_index replica);

    /// The replicas with the longest cached prefixes of the prompt, longest first; few.
    std::vector<prefix_hit> lookup(const std::vector<std::uint64_t> &prefixHashes) const;

    /// Blocks known.
    std::size_t size() const noexcept;

private:
    struct holder
    {
        replica_index replica = 0;
        std::uint64_t generation = 0;
    };
    struct block
    {
        std::uint64_t hash = 0;
        std::vector<holder> holders; ///< Most recent last.
    };
    struct replica_events
    {
        std::uint64_t generation = 1;
        std::uint64_t lastSequence = 0;
        bool seen = false;
        bool gap = false;
    };

    explicit prefix_index(std::size_t capacity);
    /// Whether the event is new.
    bool advance(replica_index replica, std::uint64_t sequence);
    void put(replica_index replica, std::uint64_t hash);
    bool holds(const block &known, replica_index replica) const;
    bool valid(const holder &known) const;

    std::size_t m_capacity;
    std::list<block> m_recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_blocks;
    std::map<replica_index, replica_events> m_replicas;
};

} // namespace heatherroute
