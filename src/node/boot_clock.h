#pragma once

#include <cstdint>
#include <ctime>

namespace heatherroute::node
{

/// Milliseconds of the clock that goes on while the VM is suspended, by which leases are judged. Thread safe.
inline std::int64_t bootMilliseconds() noexcept
{
    constexpr std::int64_t kPerSecond = 1000;
    constexpr std::int64_t kNanosecondsPer = 1'000'000;
    std::timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * kPerSecond + time.tv_nsec / kNanosecondsPer;
}

} // namespace heatherroute::node
