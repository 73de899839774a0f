#pragma once

#include <compare>
#include <cstdint>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Why an entry sends no request to an upstream now.
enum class hold_reason : std::uint8_t {
    None,
    Backoff, ///< It could not be connected to.
    Pause, ///< It wants no request from this entry for a while.
    Limit, ///< It is at its limit of requests a second.
};

/// Whether an entry may send a request to an upstream now.
struct send_permission
{
    hold_reason reason = hold_reason::None;
    duration wait{}; ///< Until it may send one; zero if it may now. Not known for a backoff.

    auto operator<=>(const send_permission &) const = default;

    bool isGranted() const noexcept
    {
        return reason == hold_reason::None;
    }
    /// Whether the upstream itself has asked this entry to wait, so that it isn't faulty.
    bool isAskedToWait() const noexcept
    {
        return reason == hold_reason::Pause || reason == hold_reason::Limit;
    }
};

/**
 * Joins what is known of one upstream. @p pauseLeft: until the end of its pause; @p limitWait: until there is a permit.
 *
 * Load pattern: an upstream may name a limit and a pause at the same time, and both must have passed. Thread safe.
 */
constexpr send_permission joinPermission(bool isReachable, duration pauseLeft, duration limitWait) noexcept
{
    if (!isReachable) {
        return {hold_reason::Backoff, duration::zero()};
    }
    if (pauseLeft > duration::zero() && pauseLeft >= limitWait) {
        return {hold_reason::Pause, pauseLeft};
    }
    if (limitWait > duration::zero()) {
        return {hold_reason::Limit, limitWait};
    }
    return {};
}

} // namespace heatherroute
