#pragma once

#include "heatherroute/peer_serialize.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/**
 * Gossip about requests that may crash upstreams.
 *
 * A request that crashes the upstream that runs it may come again at any entry, so each entry tells the others which requests
 * it had in flight on an upstream that crashed.
 */

namespace heatherroute
{

/// One run of an upstream, from its start to its end.
struct upstream_instance
{
    std::string id;
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 when unknown.

    auto operator<=>(const upstream_instance &) const = default;
};

inline constexpr std::size_t kMaxCrashReportsPerMessage = 8;
inline constexpr std::size_t kMaxInstanceIdBytes = 64;

/// What an entry has observed about one request.
struct crash_report
{
    std::uint64_t fingerprint = 0; ///< Of the request.
    upstream_instance instance; ///< The upstream that crashed with the request in flight; without an id in a report that clears the request.
    std::uint32_t ageMs = 0; ///< Time since the crash, or since the request was cleared.
    bool cleared = false; ///< An upstream has answered the request completely, so earlier crashes had other causes.

    auto operator<=>(const crash_report &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t isCleared = cleared ? 1 : 0;
        archive(fingerprint, instance.startedAt, ageMs, isCleared);
        serializeText(archive, instance.id, kMaxInstanceIdBytes);
        cleared = isCleared != 0;
    }
};

/// A message with some reports.
struct crash_reports
{
    std::vector<crash_report> reports;

    auto operator<=>(const crash_reports &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeList(archive, reports, kMaxCrashReportsPerMessage);
    }
};

} // namespace heatherroute
