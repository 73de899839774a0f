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

/// The size of the blocks by which the prefix cache tells prompts apart.
constexpr std::size_t kCacheBlockTokens = 64;

/**
 * The hashes of the prefixes of @p text that end at whole blocks, shortest first.
 *
 * The hash of block k is XXH3_64bits_withSeed over the block's words, each followed by one blank, seeded with the hash
 * of block k-1; the seed of the first block is 0. Thread safe.
 */
std::vector<std::uint64_t> prefixHashes(std::string_view text);

/// A change of the prefix cache, as engines publish it.
struct cache_event
{
    std::uint64_t seq = 0;
    bool stored = false; ///< False: evicted.
    std::uint64_t prefixHash = 0;
    instant at;
};

/**
 * The prompt prefixes that an engine still holds: least recently used blocks go first when memory is full.
 *
 * Not thread safe.
 */
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t limitTokens)
        : m_limitBlocks(limitTokens / kCacheBlockTokens)
    { }

    /// How many tokens at the start of a prompt with these @p hashes are held.
    std::size_t cachedTokens(const std::vector<std::uint64_t> &hashes) const;

    /// Holds the prefixes @p hashes, evicting others as needed.
    void store(instant now, const std::vector<std::uint64_t> &hashes);

    /// Blocks held now.
    std::size_t blocks() const noexcept
    {
        return m_order.size();
    }

    /// Events from @p after on which are not newer than @p until; the oldest are forgotten in time.
    std::vector<cache_event> events(std::uint64_t after, instant until) const;

private:
    void note(instant now, bool stored, std::uint64_t hash);

    std::size_t m_limitBlocks;
    std::list<std::uint64_t> m_order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_held;
    std::deque<cache_event> m_events;
    std::uint64_t m_lastSeq = 0;
};

} // namespace heatherroute::standins
