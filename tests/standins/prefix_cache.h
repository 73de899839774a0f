#pragma once

#include "heatherroute/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace heatherroute::standins
{

/// The block size of the prefix cache; prompts are compared in whole blocks.
constexpr std::size_t kCacheBlockTokens = 64;

/**
 * The hashes of the prefixes of @p text that end on a block boundary, shortest first.
 *
 * The hash of block k is XXH3_64bits_withSeed over the block's words, each followed by one blank, seeded with the hash
 * of block k-1; the seed of the first block is 0. Thread safe.
 */
std::vector<std::uint64_t> prefixHashes(std::string_view text);

/// A change of the prefix cache, as the engine publishes it.
struct cache_event
{
    std::uint64_t seq = 0;
    bool stored = false; ///< True if the block was stored, false if it was evicted.
    std::uint64_t prefixHash = 0;
    instant at;
};

/**
 * The prompt prefixes that an engine holds. Evicts the least recently used blocks when the cache is full.
 *
 * Not thread safe.
 */
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t maxTokens)
        : m_maxBlocks(maxTokens / kCacheBlockTokens)
    { }

    /// The number of cached tokens at the start of a prompt with the prefix hashes @p hashes.
    std::size_t cachedTokens(const std::vector<std::uint64_t> &hashes) const;

    /// Stores the prefixes @p hashes and evicts others as needed.
    void store(instant now, const std::vector<std::uint64_t> &hashes);

    /// The number of blocks in the cache.
    std::size_t blocks() const noexcept
    {
        return m_blocksByUse.size();
    }

    /// The events with a sequence number above @p after that are not newer than @p until. Only the latest 20000 events are kept.
    std::vector<cache_event> events(std::uint64_t after, instant until) const;

private:
    void addEvent(instant now, bool stored, std::uint64_t hash);

    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_blocksByUse; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blockPositions;
    std::deque<cache_event> m_events;
    std::uint64_t m_lastSeq = 0;
};

} // namespace heatherroute::standins
