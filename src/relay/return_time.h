#pragma once

#include <compare>
#include <optional>

#include "heatherroute/time.h"

namespace heatherroute
{

/// When refused callers may come back.
struct return_settings
{
    duration soonest = std::chrono::milliseconds(300); ///< Less than this and the cause is still there.
    duration latest = std::chrono::milliseconds(4'500); ///< About the length of a burst.
    double usablePart = 0.33; ///< Of a caller's time left; callers don't wait for longer.

    auto operator<=>(const return_settings &) const = default;
};

/**
 * How long a refused caller should stay away.
 *
 * Load pattern: a burst beyond what the upstreams can take refuses many callers within a second or two; if all came back at
 * the same time they would be refused again. The time is spread evenly between @p draw 0 and 1, from @p wait (how long the
 * cause is expected to last) to the latest time that the caller can use. Empty when the caller has no time to come back.
 * Thread safe.
 */
std::optional<duration> returnAfter(const return_settings &settings, duration wait, duration timeLeft, double draw);

} // namespace heatherroute
