#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "heatherroute/route_table.h"
#include "heatherroute/time.h"
#include "heatherroute/verdict.h"

namespace heatherroute
{

/// Limits for retries of plain requests, which are those without a prompt.
struct plain_retry_policy
{
    /// Time limit of an attempt of an idempotent request after which one more may follow, as a multiple of the latency target.
    double attemptLatencyTargets = 2.0;
    double minAttemptFraction = 0.4; ///< Minimum of that limit, as a fraction of the request's remaining time.
    std::uint32_t maxNotRun = 3; ///< Upstreams that may fail to run a request before the caller gets an error.

    auto operator<=>(const plain_retry_policy &) const = default;
};

/// The attempts of a plain request so far.
struct plain_progress
{
    std::uint32_t notRun = 0; ///< Upstreams that certainly did not run the request.
    std::uint32_t mayHaveRun = 0; ///< Upstreams that may have run the request.
    duration timeLeft{};

    auto operator<=>(const plain_progress &) const = default;
};

/// Returns the timeout of the next attempt; empty when it may take all the remaining time, as the last attempt may. Thread safe.
std::optional<duration> attemptTimeout(const plain_retry_policy &policy, const route &rule, const plain_progress &progress);

/**
 * Returns whether a request may be sent to one more upstream after an attempt that ended with @p last.
 *
 * Load pattern: an upstream is full, dead or returns errors while others are healthy. A request that certainly did not run is
 * retried; one that may have run is retried only where the route allows it to run again. Thread safe.
 */
bool mayRetry(const plain_retry_policy &policy, const route &rule, const plain_progress &progress, verdict last);

} // namespace heatherroute
