#include "heatherroute/prefix_index.h"

#include <algorithm>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr std::size_t kHoldersPerBlock = 4;
/// Maximum number of leading blocks of a prompt that are recorded or looked up.
constexpr std::size_t kBlocksPerLookup = 64;

} // namespace

prefix_index::prefix_index(std::size_t capacity)
    : m_capacity(capacity)
{ }

prefix_index prefix_index::make(std::size_t capacity)
{
    HR_ASSERT(capacity > 0);
    return prefix_index(capacity);
}

bool prefix_index::acceptEvent(replica_index replica, std::uint64_t sequence)
{
    replica_events &events = m_replicas[replica];
    if (events.seen && sequence <= events.lastSequence) {
        return false;
    }
    if (events.seen && sequence != events.lastSequence + 1) {
        events.missedEvents = true;
        events.generation += 1;
    }
    events.seen = true;
    events.lastSequence = sequence;
    return true;
}

void prefix_index::stored(replica_index replica, std::uint64_t sequence, std::uint64_t prefixHash)
{
    if (acceptEvent(replica, sequence)) {
        insert(replica, prefixHash);
    }
}

void prefix_index::evicted(replica_index replica, std::uint64_t sequence, std::uint64_t prefixHash)
{
    if (!acceptEvent(replica, sequence)) {
        return;
    }
    const auto found = m_blocks.find(prefixHash);
    if (found == m_blocks.end()) {
        return;
    }
    std::erase_if(found->second->holders, [&](const holder &each) { return each.replica == replica; });
    if (found->second->holders.empty()) {
        m_recent.erase(found->second);
        m_blocks.erase(found);
    }
}

void prefix_index::notePlaced(replica_index replica, const std::vector<std::uint64_t> &prefixHashes)
{
    const std::size_t count = std::min(prefixHashes.size(), kBlocksPerLookup);
    // The shortest prefix is inserted last, because it is shared by the most prompts and must be evicted last.
    for (std::size_t index = count; index > 0; --index) {
        insert(replica, prefixHashes[index - 1]);
    }
}

bool prefix_index::needsResync(replica_index replica) const
{
    const auto found = m_replicas.find(replica);
    return found != m_replicas.end() && found->second.missedEvents;
}

void prefix_index::resync(replica_index replica, std::uint64_t sequence, const std::vector<std::uint64_t> &prefixHashes)
{
    replica_events &events = m_replicas[replica];
    events.generation += 1;
    events.missedEvents = false;
    events.seen = true;
    events.lastSequence = sequence;
    for (const std::uint64_t hash : prefixHashes) {
        insert(replica, hash);
    }
}

void prefix_index::forget(replica_index replica)
{
    replica_events &events = m_replicas[replica];
    const std::uint64_t next = events.generation + 1;
    events = replica_events{};
    events.generation = next;
}

std::vector<prefix_hit> prefix_index::lookup(const std::vector<std::uint64_t> &prefixHashes) const
{
    std::vector<prefix_hit> hits;
    const std::size_t count = std::min(prefixHashes.size(), kBlocksPerLookup);
    for (std::size_t index = 0; index < count; ++index) {
        const auto found = m_blocks.find(prefixHashes[index]);
        if (found == m_blocks.end()) {
            break;
        }
        if (index == 0) {
            for (const holder &each : found->second->holders) {
                if (isCurrent(each)) {
                    hits.push_back({each.replica, 1});
                }
            }
            continue;
        }
        bool extended = false;
        for (prefix_hit &hit : hits) {
            if (hit.blocks == index && isHeldBy(*found->second, hit.replica)) {
                hit.blocks += 1;
                extended = true;
            }
        }
        if (!extended) {
            break;
        }
    }
    std::stable_sort(hits.begin(), hits.end(), [](const prefix_hit &a, const prefix_hit &b) { return a.blocks > b.blocks; });
    return hits;
}

std::size_t prefix_index::size() const noexcept
{
    return m_recent.size();
}

void prefix_index::insert(replica_index replica, std::uint64_t hash)
{
    auto found = m_blocks.find(hash);
    if (found == m_blocks.end()) {
        m_recent.push_front(block{hash, {}});
        found = m_blocks.emplace(hash, m_recent.begin()).first;
    } else {
        m_recent.splice(m_recent.begin(), m_recent, found->second);
    }
    auto &holders = found->second->holders;
    std::erase_if(holders, [&](const holder &each) { return each.replica == replica || !isCurrent(each); });
    if (holders.size() == kHoldersPerBlock) {
        holders.erase(holders.begin());
    }
    holders.push_back({replica, m_replicas[replica].generation});
    if (m_recent.size() > m_capacity) {
        m_blocks.erase(m_recent.back().hash);
        m_recent.pop_back();
    }
}

bool prefix_index::isHeldBy(const block &known, replica_index replica) const
{
    return std::any_of(known.holders.begin(), known.holders.end(), [&](const holder &each) { return each.replica == replica && isCurrent(each); });
}

bool prefix_index::isCurrent(const holder &known) const
{
    const auto found = m_replicas.find(known.replica);
    return found != m_replicas.end() && found->second.generation == known.generation;
}

} // namespace heatherroute
