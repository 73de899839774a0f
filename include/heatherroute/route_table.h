#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute
{

/// How often a request may run.
enum class route_kind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once per try of the caller.
    Stream, ///< Answered by events; runs at most once unless the route is resumable.
};

/// The name used in logs, dumps and metrics. Thread safe.
std::string_view toString(route_kind kind) noexcept;

/// A service that a route leads to, with its share of the traffic.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const route_target &) const = default;
};

/// One rule that leads requests to services.
struct route
{
    std::string name;
    std::string host; ///< Lower case.
    std::string pathPrefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::NonIdempotent;
    std::chrono::milliseconds timeout{}; ///< The longest time to keep a caller waiting.
    std::chrono::milliseconds latencyTarget{}; ///< To the answer, or to the first event of a stream.
    std::optional<std::chrono::milliseconds> pauseTarget; ///< The longest pause between two events of a stream.
    std::uint32_t maxUpstreams = 1; ///< On how many upstreams one request may run.
    std::uint32_t priority = 0; ///< 0 comes first.
    bool resumable = false; ///< A broken stream may go on at another upstream.
    bool generates = false; ///< Its requests declare prompts and are served by prefill and decode engines.
    std::vector<route_target> targets;

    auto operator<=>(const route &) const = default;
};

/// What is set for the engines of one service.
struct engine_spec
{
    std::uint32_t slots = 0;
    std::uint32_t memoryTokens = 0; ///< KV cache that one engine holds.
    std::chrono::milliseconds handleLifetime{}; ///< How long a computed KV cache waits to be fetched.
    std::chrono::milliseconds phaseSwitch{}; ///< How long a change between prefill and decode takes.
    std::chrono::milliseconds maxReservation{}; ///< The longest lifetime of a memory reservation.

    auto operator<=>(const engine_spec &) const = default;
};

/// What is set for one service.
struct service_spec
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Of one upstream, from all callers.
    std::optional<engine_spec> engine; ///< Empty for a plain service.

    auto operator<=>(const service_spec &) const = default;
};

/// What callers may send and how long they may take.
struct caller_bounds
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    std::chrono::milliseconds headerTimeout{};
    std::chrono::milliseconds idleTimeout{};

    auto operator<=>(const caller_bounds &) const = default;
};

/**
 * A whole configuration of routes and services at one version.
 *
 * Immutable value; safe to share between threads.
 */
class route_table
{
public:
    /// Takes @p routes, @p services and @p bounds of configuration @p version. Thread safe.
    static route_table make(std::uint64_t version, std::vector<route> routes, std::vector<service_spec> services, caller_bounds bounds);

    std::uint64_t version() const noexcept
    {
        return m_version;
    }
    const caller_bounds &bounds() const noexcept
    {
        return m_bounds;
    }
    /// The route of @p host with the longest prefix that begins @p path; null when none matches. Thread safe.
    const route *find(std::string_view host, std::string_view path) const;
    /// The service of that name; null when there is none. Thread safe.
    const service_spec *service(std::string_view name) const;
    /// All services by name. Thread safe.
    const std::map<std::string, service_spec, std::less<>> &services() const noexcept
    {
        return m_services;
    }
    /// The number of routes. Thread safe.
    std::size_t size() const noexcept;

    bool operator==(const route_table &) const = default;

private:
    route_table() = default;

    std::uint64_t m_version = 0;
    caller_bounds m_bounds;
    std::map<std::string, std::map<std::string, route, std::less<>>, std::less<>> m_hosts; ///< Routes by prefix, by host.
    std::map<std::string, service_spec, std::less<>> m_services;
};

/// The target of @p from that @p draw picks by weight, where @p draw is uniform in [0, 1). Null when no target has weight. Thread safe.
const route_target *pickTarget(const route &from, double draw);

} // namespace heatherroute
