#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/team.h"

namespace heatherroute
{

/// How often a request may be executed.
enum class route_kind : std::uint8_t {
    Idempotent, ///< May be executed more than once.
    NonIdempotent, ///< Executed at most once per attempt of the caller.
    Stream, ///< Answered by a stream of events; executed at most once unless the route is resumable.
};

/// The name used in logs, dumps and metrics. Thread safe.
std::string_view toString(route_kind kind) noexcept;

/// A service that receives a weighted share of a route's traffic.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const route_target &) const = default;
};

/// A rule that maps requests to services.
struct route
{
    std::string name;
    std::string host; ///< Lower case.
    std::string pathPrefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::NonIdempotent;
    std::chrono::milliseconds timeout{}; ///< Maximum time that a caller is kept waiting.
    std::chrono::milliseconds latencyTarget{}; ///< Target for the time to the answer, or to the first event of a stream.
    std::optional<std::chrono::milliseconds> eventIntervalTarget; ///< Target for the longest interval between two events of a stream.
    std::uint32_t maxUpstreams = 1; ///< Maximum number of upstreams that may execute one request.
    std::uint32_t priority = 0; ///< 0 is served first.
    bool resumable = false; ///< A broken stream may be resumed on another upstream.
    bool generates = false; ///< Requests declare their prompts and are served by prefill and decode engines.
    std::vector<route_target> targets;
    bool isPublic = false; ///< Requests need no API key, although the configuration has teams.

    auto operator<=>(const route &) const = default;
};

/// Configuration of the engines of one service.
struct engine_spec
{
    std::uint32_t slots = 0;
    std::uint32_t memoryTokens = 0; ///< KV cache capacity of one engine.
    std::chrono::milliseconds handleLifetime{}; ///< How long a computed KV cache is kept until it is fetched.
    std::chrono::milliseconds phaseSwitchTime{}; ///< Time that an engine needs to switch between prefill and decode.
    std::chrono::milliseconds maxReservationLifetime{}; ///< Maximum lifetime of a memory reservation.

    auto operator<=>(const engine_spec &) const = default;
};

/// Configuration of one service.
struct service_spec
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Maximum connections to one upstream, from all callers together.
    std::optional<engine_spec> engine; ///< Empty for a plain service, which runs no engines.

    auto operator<=>(const service_spec &) const = default;
};

/// Size limits and timeouts for requests of callers.
struct caller_bounds
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    std::chrono::milliseconds headerTimeout{};
    std::chrono::milliseconds idleTimeout{};

    auto operator<=>(const caller_bounds &) const = default;
};

/**
 * A complete configuration of routes and services at one version.
 *
 * Immutable value; safe to share between threads.
 */
class route_table
{
public:
    /// Creates the table of configuration @p version. Of two routes with the same host and prefix, or two services of one name, the
    /// later one counts. Thread safe.
    ///
    /// Without @p teams, requests need no API key. Of two teams with one name, or that hold the same key, the earlier one keeps it.
    static route_table make(std::uint64_t version,
                            std::vector<route> routes,
                            std::vector<service_spec> services,
                            caller_bounds bounds,
                            std::optional<std::vector<team>> teams = std::nullopt);

    std::uint64_t version() const noexcept
    {
        return m_version;
    }
    const caller_bounds &bounds() const noexcept
    {
        return m_bounds;
    }
    /// Returns the route of @p host with the longest prefix of @p path; null when none matches. Thread safe.
    const route *find(std::string_view host, std::string_view path) const;
    /// Returns the service called @p name; null when there is none. Thread safe.
    const service_spec *service(std::string_view name) const;
    /// Returns all services by name. Thread safe.
    const std::map<std::string, service_spec, std::less<>> &services() const noexcept
    {
        return m_services;
    }
    /// Returns whether callers need API keys on the routes that aren't public. Thread safe.
    bool requiresKeys() const noexcept
    {
        return m_requiresKeys;
    }
    /// Returns the team called @p name; null when there is none. Thread safe.
    const team *findTeam(std::string_view name) const;
    /// Returns the team that holds the key with @p digest; null when there is none. Thread safe.
    const team *teamOfKey(const key_digest &digest) const;
    /// Returns all teams by name. Thread safe.
    const std::map<std::string, team, std::less<>> &teams() const noexcept
    {
        return m_teams;
    }
    /// Returns the number of routes. Thread safe.
    std::size_t size() const noexcept;

    bool operator==(const route_table &) const = default;

private:
    route_table() = default;

    std::uint64_t m_version = 0;
    caller_bounds m_bounds;
    std::map<std::string, std::map<std::string, route, std::less<>>, std::less<>> m_hosts; ///< Routes by prefix, by host.
    std::map<std::string, service_spec, std::less<>> m_services;
    bool m_requiresKeys = false;
    std::map<std::string, team, std::less<>> m_teams;
    std::map<key_digest, std::string> m_teamByKey;
};

/**
 * Picks a target of @p rule at random, with a probability proportional to its weight.
 *
 * @p sample is a random number, uniform in [0, 1). Returns null when all weights are 0. Thread safe.
 */
const route_target *pickTarget(const route &rule, double sample);

} // namespace heatherroute
