#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/stream_origin_message.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Bounds of a stream_origin_table.
struct stream_origin_settings
{
    std::size_t maxStreams = 100'000; ///< Beyond this number the origins that expire first are dropped.
    duration maxLife = std::chrono::minutes(2); ///< Longest time for which an origin is kept.

    auto operator<=>(const stream_origin_settings &) const = default;
};

/**
 * The origins of streams that this entry has begun, or that other entries asked it to remember.
 *
 * Load pattern: thousands of streams a second, each kept until its caller can't come back any more. Not thread safe. Instants must not
 * decrease.
 */
class stream_origin_table
{
public:
    static stream_origin_table make(const stream_origin_settings &settings);

    /// Remembers @p origin, unless a later revision is known.
    void note(instant now, const stream_origin &origin);
    /// Returns the origin of a stream; empty when it isn't known.
    std::optional<stream_origin> find(instant now, std::uint64_t stream) const;
    /// Drops the origins that have expired.
    void expire(instant now);
    /// Returns all origins.
    std::vector<stream_origin> all(instant now) const;
    std::size_t size() const noexcept
    {
        return m_origins.size();
    }

private:
    using text_index = std::uint16_t;
    struct kept_origin
    {
        instant expiresAt{};
        std::uint32_t revision = 0;
        text_index service = 0;
        text_index version = 0;
    };

    explicit stream_origin_table(const stream_origin_settings &settings);
    std::optional<text_index> indexOf(const std::string &text);
    stream_origin originOf(instant now, std::uint64_t stream, const kept_origin &kept) const;
    void drop(std::uint64_t stream);

    stream_origin_settings m_settings;
    std::unordered_map<std::uint64_t, kept_origin> m_origins; ///< By stream.
    std::multimap<instant, std::uint64_t> m_byExpiry;
    std::vector<std::string> m_texts; ///< Names of services and versions, which many origins share.
    std::unordered_map<std::string, text_index> m_textIndices;
};

/// Returns the hash by which the entries know a stream, from the id of the caller's attempt that began it. Thread safe.
std::uint64_t streamHashOf(const std::string &attemptId);

/**
 * Returns the @p count members of @p members that should remember the origin of a stream, the first one first.
 *
 * Rendezvous hashing, as in ownership: entries with the same members agree without a message, and members that are lost leave the others in
 * their order. Members that stop are left out. Thread safe.
 */
std::vector<const member *> originKeepers(std::uint64_t stream, const std::vector<member> &members, std::size_t count);

} // namespace heatherroute
