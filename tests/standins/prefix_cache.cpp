#include "standins/prefix_cache.h"

#include <xxhash.h>

namespace heatherroute::standins
{

namespace
{

constexpr std::size_t kMaxEvents = 20000;

}

std::vector<std::uint64_t> prefixHashes(std::string_view text)
{
    constexpr std::string_view kBlanks = " \n\t\r";
    std::vector<std::uint64_t> hashes;
    std::string block;
    std::size_t words = 0;
    std::size_t begin = text.find_first_not_of(kBlanks);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(kBlanks, begin), text.size());
        block.append(text.substr(begin, end - begin));
        block += ' ';
        if (++words == kCacheBlockTokens) {
            hashes.push_back(XXH3_64bits_withSeed(block.data(), block.size(), hashes.empty() ? 0 : hashes.back()));
            block.clear();
            words = 0;
        }
        begin = text.find_first_not_of(kBlanks, end);
    }
    return hashes;
}

std::size_t prefix_cache::cachedTokens(const std::vector<std::uint64_t> &hashes) const
{
    std::size_t blocks = 0;
    while (blocks < hashes.size() && m_blockPositions.count(hashes[blocks]) != 0) {
        ++blocks;
    }
    return blocks * kCacheBlockTokens;
}

void prefix_cache::store(instant now, const std::vector<std::uint64_t> &hashes)
{
    const std::size_t fitting = std::min(hashes.size(), m_maxBlocks);
    // Stores the longest prefix first, so that a prefix is always more recently used than its continuations and is evicted after them.
    for (std::size_t index = fitting; index-- > 0;) {
        const auto hash = hashes[index];
        if (const auto found = m_blockPositions.find(hash); found != m_blockPositions.end()) {
            m_blocksByUse.splice(m_blocksByUse.begin(), m_blocksByUse, found->second);
            continue;
        }
        if (m_blocksByUse.size() >= m_maxBlocks) {
            addEvent(now, false, m_blocksByUse.back());
            m_blockPositions.erase(m_blocksByUse.back());
            m_blocksByUse.pop_back();
        }
        m_blocksByUse.push_front(hash);
        m_blockPositions[hash] = m_blocksByUse.begin();
        addEvent(now, true, hash);
    }
}

std::vector<cache_event> prefix_cache::events(std::uint64_t after, instant until) const
{
    std::vector<cache_event> result;
    for (const auto &event : m_events) {
        if (event.seq > after && event.at <= until) {
            result.push_back(event);
        }
    }
    return result;
}

void prefix_cache::addEvent(instant now, bool stored, std::uint64_t hash)
{
    m_events.push_back({++m_lastSeq, stored, hash, now});
    if (m_events.size() > kMaxEvents) {
        m_events.pop_front();
    }
}

} // namespace heatherroute::standins
