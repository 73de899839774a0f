#include "relay/stream_origin_table.h"

#include <algorithm>
#include <limits>

#include "heatherroute/ownership.h"

#include <xxhash.h>

namespace heatherroute
{

stream_origin_table stream_origin_table::make(const stream_origin_settings &settings)
{
    return stream_origin_table(settings);
}

stream_origin_table::stream_origin_table(const stream_origin_settings &settings)
    : m_settings(settings)
{ }

std::optional<stream_origin_table::text_index> stream_origin_table::indexOf(const std::string &text)
{
    if (const auto found = m_textIndices.find(text); found != m_textIndices.end()) {
        return found->second;
    }
    if (m_texts.size() > std::numeric_limits<text_index>::max()) {
        return std::nullopt;
    }
    const auto index = static_cast<text_index>(m_texts.size());
    m_texts.push_back(text);
    m_textIndices.emplace(text, index);
    return index;
}

void stream_origin_table::note(instant now, const stream_origin &origin)
{
    expire(now);
    const auto found = m_origins.find(origin.stream);
    if (found != m_origins.end() && found->second.revision > origin.revision) {
        return;
    }
    const auto service = indexOf(origin.service);
    const auto version = indexOf(origin.version);
    if (!service || !version) {
        return;
    }
    instant expiresAt = now + std::min<duration>(std::chrono::milliseconds(origin.lifeMs), m_settings.maxLife);
    if (found != m_origins.end()) {
        expiresAt = std::max(expiresAt, found->second.expiresAt);
        drop(origin.stream);
    } else if (m_origins.size() >= m_settings.maxStreams) {
        drop(m_byExpiry.begin()->second);
    }
    m_origins.emplace(origin.stream, kept_origin{expiresAt, origin.revision, *service, *version});
    m_byExpiry.emplace(expiresAt, origin.stream);
}

void stream_origin_table::drop(std::uint64_t stream)
{
    const auto found = m_origins.find(stream);
    const auto [first, last] = m_byExpiry.equal_range(found->second.expiresAt);
    m_byExpiry.erase(std::find_if(first, last, [stream](const auto &entry) { return entry.second == stream; }));
    m_origins.erase(found);
}

stream_origin stream_origin_table::originOf(instant now, std::uint64_t stream, const kept_origin &kept) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(kept.expiresAt - now).count();
    return {stream, kept.revision, static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)), m_texts[kept.service], m_texts[kept.version]};
}

std::optional<stream_origin> stream_origin_table::find(instant now, std::uint64_t stream) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || found->second.expiresAt <= now) {
        return std::nullopt;
    }
    return originOf(now, stream, found->second);
}

void stream_origin_table::expire(instant now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        m_origins.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
    if (m_origins.empty()) {
        m_texts.clear();
        m_textIndices.clear();
    }
}

std::vector<stream_origin> stream_origin_table::all(instant now) const
{
    std::vector<stream_origin> result;
    result.reserve(m_origins.size());
    for (const auto &[stream, kept] : m_origins) {
        if (kept.expiresAt > now) {
            result.push_back(originOf(now, stream, kept));
        }
    }
    return result;
}

std::uint64_t streamHashOf(const std::string &attemptId)
{
    return XXH3_64bits(attemptId.data(), attemptId.size());
}

std::vector<const member *> originKeepers(std::uint64_t stream, const std::vector<member> &members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const member *>> scored;
    for (const member &one : members) {
        if (canOwn(one.state)) {
            scored.emplace_back(rendezvousScore(stream, rendezvousHash(one.id.name)), &one);
        }
    }
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    std::partial_sort(scored.begin(), end, scored.end(), std::greater<>());
    std::vector<const member *> result;
    for (auto each = scored.begin(); each != end; ++each) {
        result.push_back(each->second);
    }
    return result;
}

} // namespace heatherroute
