#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "heatherroute/route_table.h"
#include "heatherroute/time.h"
#include "heatherroute/verdict.h"

namespace heatherroute
{

/// When plain requests are repeated.
struct plain_policy
{
    double firstTryTargets = 2.0; ///< A first try of an idempotent request may take so many latency targets.
    double firstTryPart = 0.4; ///< At least this part of its time.
    std::uint32_t mostUnrun = 3; ///< Upstreams asked in vain before the caller is told.

    auto operator<=>(const plain_policy &) const = default;
};

/// What has become of a plain request so far.
struct plain_progress
{
    std::uint32_t unrun = 0; ///< Upstreams that certainly did not run it.
    std::uint32_t ran = 0; ///< Upstreams that may have run it.
    duration timeLeft{};

    auto operator<=>(const plain_progress &) const = default;
};

/// How long the next try may take; empty when it may take all the time left. Thread safe.
std::optional<duration> limitOfTry(const plain_policy &policy, const route &from, const plain_progress &progress);

/**
 * Whether a request may go to one more upstream after a try that ended as @p last.
 *
 * Load pattern: an upstream is full, dead or answers with errors while others are well. A request that certainly did not run
 * goes on; one that may have run goes on only where the route allows it to run again. Thread safe.
 */
bool mayTryAgain(const plain_policy &policy, const route &from, const plain_progress &progress, verdict last);

} // namespace heatherroute
