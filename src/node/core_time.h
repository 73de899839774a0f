#pragma once

#include <chrono>

#include "heatherroute/time.h"

namespace heatherroute::node
{

/// The current time of the monotonic clock as an instant of the core. Thread safe.
inline instant coreNow() noexcept
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace heatherroute::node
