#pragma once

#include <compare>
#include <optional>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Bounds of the delay after which rejected callers may retry.
struct retry_after_settings
{
    duration minDelay = std::chrono::milliseconds(300); ///< After a shorter delay, the cause of the rejection still exists.
    duration maxDelay = std::chrono::milliseconds(4'500); ///< About the length of a burst.
    duration spread = std::chrono::seconds(1); ///< Over which returns are spread after a longer wait than the maximum delay.
    double usableFraction = 0.33; ///< Maximum delay as a fraction of the caller's time left; callers don't wait for longer.

    auto operator<=>(const retry_after_settings &) const = default;
};

/**
 * Returns the delay after which a rejected caller should retry.
 *
 * Load pattern: a burst beyond the capacity of the upstreams causes many rejections within a second or two; if all callers
 * retried at the same time, they would be rejected again. As the random number @p sample goes from 0 to 1, the delay goes
 * evenly from @p wait (how long the cause is expected to last), or the minimum delay if that is longer, to the longest delay
 * that the caller can use. A wait beyond the maximum delay moves that up. Empty when the caller has no time for a retry. Thread safe.
 */
std::optional<duration> retryAfterDelay(const retry_after_settings &settings, duration wait, duration timeLeft, double sample);

} // namespace heatherroute
