#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Whether this entry can connect to the upstreams of a pool.
enum class reach_state : std::uint8_t {
    Reached,
    Suspected, ///< A connection attempt failed, and none has succeeded since it began. Others are being checked.
    CutOff, ///< Connection attempts to several upstreams, or to all of them, failed.
};

/// The name used in logs. Thread safe.
std::string_view toString(reach_state state) noexcept;

/// Thresholds and delays of a service_reach.
struct reach_settings
{
    /// Upstreams that refuse connections until the pool is suspected; all if there are fewer. A refusal costs little time, and a single crashed
    /// upstream refuses.
    std::size_t refusalsToSuspect = 2;
    std::size_t upstreamsToCutOff = 16; ///< Upstreams that can't be connected to until this entry counts as cut off; all if there are fewer.
    std::size_t failuresToCutOff = 2; ///< Failed attempts until then, also in a smaller pool, since a single lost packet makes one fail.
    duration checkInterval = std::chrono::milliseconds(400); ///< Between two checks while cut off.

    auto operator<=>(const reach_settings &) const = default;
};

/// An attempt to connect to an upstream of a pool that has failed.
struct failed_connect
{
    std::string pool;
    std::string upstream;
    instant startedAt{};
    bool isRefused = false; ///< The upstream's host has refused it.

    auto operator<=>(const failed_connect &) const = default;
};

/**
 * Tells an entry that has lost its links to a pool of upstreams from upstreams that have failed.
 *
 * Load pattern: an entry is cut off from all upstreams of a service while its callers still reach it. Connections hang or are refused, and
 * each request that tries one upstream after the other loses its time. A failed attempt is evidence only if no connection to the pool has been
 * established since it began, so a single failed upstream among busy ones changes nothing. The first such attempt leads to checks of other
 * upstreams, which are connected to without a request; while cut off, one upstream at a time is checked. One established connection ends it.
 * Pure; not thread safe. Instants must not decrease.
 */
class service_reach
{
public:
    static service_reach make(const reach_settings &settings);

    /// Records that a connection to @p upstream of @p pool was established. Returns the state before.
    reach_state noteConnected(instant now, const std::string &pool, const std::string &upstream);
    /// Returns whether a connection to @p upstream was established after @p at, so that an attempt which began then and failed says nothing.
    bool hasConnectedSince(instant at, const std::string &pool, const std::string &upstream) const;
    /// Records a failed attempt to connect. To be followed by dueChecks().
    void noteFailed(const failed_connect &failed);
    /// Lets other upstreams of @p pool be checked, since another pool behind the same links isn't reached. To be followed by dueChecks().
    void suspect(const std::string &pool);
    /// Updates the state of @p pool, whose usable upstreams are @p registered, and returns those to check now; each must be followed by
    /// noteChecked(). To be called regularly while the pool isn't reached.
    std::vector<std::string> dueChecks(instant now, const std::string &pool, const std::vector<std::string> &registered);
    /// Records that the check of @p upstream has ended; its result is recorded as that of any other attempt.
    void noteChecked(const std::string &pool, const std::string &upstream);

    reach_state state(const std::string &pool) const;
    /// Returns the pools that this entry is cut off from, ordered by name.
    std::set<std::string> cutOffPools() const;
    /// Returns the pools that aren't reached, ordered by name.
    std::set<std::string> unreachedPools() const;

private:
    struct pool_reach
    {
        reach_state state = reach_state::Reached;
        std::optional<instant> connectedAt; ///< The last established connection.
        std::map<std::string, instant> connected; ///< As above, by upstream.
        std::set<std::string> failed; ///< Upstreams that could not be connected to since then.
        std::size_t failures = 0; ///< Failed attempts since then.
        bool hasHung = false; ///< One of them got no answer, or there is another reason for a suspicion.
        std::set<std::string> checking;
        std::string lastChecked;
        instant nextCheckAt{};
    };

    explicit service_reach(const reach_settings &settings);

    reach_settings m_settings;
    std::map<std::string, pool_reach> m_pools;
};

} // namespace heatherroute
