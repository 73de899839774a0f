#pragma once

#include "heatherroute/peer_serialize.h"
#include "heatherroute/request_fingerprint.h"
#include "heatherroute/upstream_instance.h"

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

inline constexpr std::size_t kMaxCrashReportsPerMessage = 8;
inline constexpr std::size_t kMaxPartReportsPerMessage = 4; ///< Reports with the parts of prompts.
inline constexpr std::size_t kMaxCompletedPartsPerMessage = 64;
inline constexpr std::size_t kMaxInstanceIdBytes = 64;

/// What an entry has observed about one request.
struct crash_report
{
    std::uint64_t fingerprint = 0; ///< Of the request.
    upstream_instance instance; ///< The upstream that crashed with the request in flight; without an id in a report that clears the request.
    std::uint32_t ageMs = 0; ///< Time since the crash, or since the request was cleared.
    bool cleared = false; ///< An upstream has answered the request completely, so earlier crashes had other causes.
    std::uint32_t ranMs = 0; ///< Time from the sending of the request to the crash.
    std::vector<std::uint64_t> parts = {}; ///< Fingerprints of the shared parts of the request's prompt, in order.

    auto operator<=>(const crash_report &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t isCleared = cleared ? 1 : 0;
        archive(fingerprint, instance.startedAt, ageMs, isCleared);
        serializeText(archive, instance.id, kMaxInstanceIdBytes);
        cleared = isCleared != 0;
    }

    /// As above, with the parts.
    template<typename Archive>
    void serializeWithParts(Archive &archive)
    {
        serialize(archive);
        archive(ranMs);
        serializeNumbers(archive, parts, kMaxSharedParts);
    }
};

/// An attempt at an upstream that has stopped responding, or of a suspect. If the upstream turns out to have ended, the attempt was in
/// flight in its crash.
struct open_attempt
{
    std::uint64_t fingerprint = 0; ///< Of the request.
    upstream_instance instance;
    std::uint32_t ageMs = 0; ///< Time since the upstream was found silent.
    std::uint32_t ranMs = 0; ///< Time from the sending of the request to then; 0 for an attempt that has just begun.
    std::vector<std::uint64_t> parts = {}; ///< Fingerprints of the shared parts of the request's prompt, in order.

    auto operator<=>(const open_attempt &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, instance.startedAt, ageMs, ranMs);
        serializeText(archive, instance.id, kMaxInstanceIdBytes);
        serializeNumbers(archive, parts, kMaxSharedParts);
    }
};

/// A part of prompts that was in a request which an upstream answered completely.
struct completed_part
{
    std::uint64_t part = 0;
    std::uint32_t ageMs = 0; ///< Time since the end of the last such answer.

    auto operator<=>(const completed_part &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(part, ageMs);
    }
};

/// What the entries have to remember about one request while they restart.
struct crash_evidence
{
    std::vector<crash_report> crashes;
    std::vector<open_attempt> open;
    std::vector<crash_report> cleared = {}; ///< Reports that clear requests. The records of other entries may still hold the crashes before.

    auto operator<=>(const crash_evidence &) const = default;

    bool isEmpty() const noexcept
    {
        return crashes.empty() && open.empty() && cleared.empty();
    }
};

/// Tells an observation from others, whatever its age.
struct observation_key
{
    std::uint64_t fingerprint = 0;
    upstream_instance instance;
    bool isOpen = false;
    std::vector<std::uint64_t> parts;
    bool isCleared = false;

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

/// A message with some reports on requests whose prompts have shared parts. None of them clears a request.
struct part_crash_reports
{
    std::vector<crash_report> reports;

    auto operator<=>(const part_crash_reports &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        const std::size_t length = detail::serializeLength(archive, reports.size(), kMaxPartReportsPerMessage);
        reports.resize(length);
        for (crash_report &report : reports) {
            report.serializeWithParts(archive);
        }
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
        serializeList(archive, reports, kMaxPartReportsPerMessage);
    }
};

/// A message with some parts that were in complete answers.
struct completed_parts
{
    std::vector<completed_part> reports;

    auto operator<=>(const completed_parts &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeList(archive, reports, kMaxCompletedPartsPerMessage);
    }
};

/// Any message about crashes.
using crash_message = std::variant<crash_reports, part_crash_reports, open_attempts, completed_parts>;

} // namespace heatherroute
