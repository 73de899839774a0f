#pragma once

#include <compare>
#include <map>
#include <string>

#include "heatherroute/time.h"
#include "heatherroute/upstream_instance.h"

namespace heatherroute
{

/// Bounds of an upstream_pauses.
struct pause_settings
{
    /// Longest time for which an upstream isn't asked again, whatever it named: after it, one refused request tells whether it still wants none.
    duration maxPause = std::chrono::minutes(10);

    auto operator<=>(const pause_settings &) const = default;
};

/**
 * Until when upstreams want no request from this entry.
 *
 * Load pattern: an overloaded upstream refuses requests and names a time to wait, while the answers to requests that were sent before arrive in
 * any order, with different times. The latest end holds. A pause belongs to one instance of an upstream and outlasts a lapse of its registration.
 * Pure; not thread safe. Instants must not decrease.
 */
class upstream_pauses
{
public:
    static upstream_pauses make(const pause_settings &settings);

    /// Records that @p instance wants no request for @p pause from now on. Returns whether its pause begins by that, or ends later than before.
    bool note(instant now, const upstream_instance &instance, duration pause);
    /// Returns the time until the end of the pause; zero when there is none.
    duration left(instant now, const upstream_instance &instance) const;

private:
    struct pause
    {
        std::uint64_t startedAt = 0; ///< Of the instance.
        instant until{};
    };

    explicit upstream_pauses(const pause_settings &settings);

    pause_settings m_settings;
    std::map<std::string, pause> m_pauses; ///< By the id of the upstream.
};

} // namespace heatherroute
