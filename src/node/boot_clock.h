#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

#include "heatherroute/time.h"

namespace heatherroute::node
{

/// Milliseconds since boot. Includes the time for which the VM was suspended, so that a lease also expires while its holder is
/// suspended. Thread safe.
inline std::int64_t bootMilliseconds() noexcept
{
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
    std::timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * kMillisecondsPerSecond + time.tv_nsec / kNanosecondsPerMillisecond;
}

/// The same clock as an instant, for deadlines that pass while the VM is suspended. Not to be mixed with coreNow(). Thread safe.
inline instant bootNow() noexcept
{
    return instant(std::chrono::milliseconds(bootMilliseconds()));
}

} // namespace heatherroute::node
