#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "heatherroute/crash_report.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// A request that was in flight on an upstream in its crash.
struct crash_suspect
{
    std::vector<std::uint64_t> parts; ///< Fingerprints of the shared parts of its prompt, in order.
    std::uint32_t ranMs = 0; ///< From its sending to the crash.
    bool observedHere = false; ///< Sent by this entry.

    auto operator<=>(const crash_suspect &) const = default;
};

/// Tells one crash from others.
struct crash_identity
{
    instant at{};
    upstream_instance instance;

    auto operator<=>(const crash_identity &) const = default;
};

/// A crash of an upstream, as far as the entries know.
struct known_crash
{
    crash_identity identity;
    std::map<std::uint64_t, crash_suspect> suspects; ///< By the fingerprint of the request.

    auto operator<=>(const known_crash &) const = default;
};

} // namespace heatherroute
