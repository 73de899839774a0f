#pragma once

#include <chrono>
#include <cstdint>

namespace heatherroute
{

/**
 * The clock of the decision core.
 *
 * It never reads the system clock. The embedding program passes in every instant, so that a run can be repeated exactly.
 * Instants are monotonic within one process and have no meaning in another process.
 */
struct core_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
using instant = core_clock::time_point;

} // namespace heatherroute
