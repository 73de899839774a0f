#pragma once

#include "heatherroute/peer_serialize.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
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

/// An attempt at an upstream that has stopped responding. If the upstream turns out to have ended, the attempt was in flight in its crash.
struct open_attempt
{
    std::uint64_t fingerprint = 0; ///< Of the request.
    upstream_instance instance;
    std::uint32_t ageMs = 0; ///< Time since the upstream was found silent.

    auto operator<=>(const open_attempt &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, instance.startedAt, ageMs);
        serializeText(archive, instance.id, kMaxInstanceIdBytes);
    }
};

/// What the entries have to remember about one request while they restart.
struct crash_evidence
{
    std::vector<crash_report> crashes;
    std::vector<open_attempt> open;

    auto operator<=>(const crash_evidence &) const = default;

    bool isEmpty() const noexcept
    {
        return crashes.empty() && open.empty();
    }
};

/// Tells an observation from others, whatever its age.
struct observation_key
{
    std::uint64_t fingerprint = 0;
    upstream_instance instance;
    bool isOpen = false;

    auto operator<=>(const observation_key &) const = default;
};

/// Returns the keys of all of @p evidence. Thread safe.
std::set<observation_key> keysOf(const crash_evidence &evidence);

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

/// A message with some open attempts.
struct open_attempts
{
    std::vector<open_attempt> reports;

    auto operator<=>(const open_attempts &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeList(archive, reports, kMaxCrashReportsPerMessage);
    }
};

/// Any message about crashes.
using crash_message = std::variant<crash_reports, open_attempts>;

} // namespace heatherroute
