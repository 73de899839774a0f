#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heatherroute
{

/**
 * What operators declare: the upstreams of the fleet, the half each belongs to, and the rules on top.
 *
 * These are plain values without behaviour, so that the reader of inventory files, the replicated configuration and the
 * placement share one vocabulary. A value is valid when its reader or publisher has checked it; nothing is checked here.
 * All types are safe to copy and to read from several threads; none may be changed by two threads at once.
 */

/// The job of an upstream.
enum class upstream_kind {
    PrefillEngine, ///< A model engine that computes the KV cache of a prompt.
    DecodeEngine, ///< A model engine that generates tokens from a KV cache.
    PlainService, ///< An HTTP service that is passed calls as they are.
};

/// Whether an upstream may get new work.
enum class upstream_state {
    Active, ///< Gets new work.
    Leaving, ///< Finishes what it runs and gets no new work.
};

/// The class of a request; the smaller value is served first.
enum class priority_class {
    Interactive, ///< A person waits: status checks, searches, bookings.
    Batch, ///< May wait: reports, summaries.
};

/// One replica of a model or of a plain service; `name` is its key.
struct upstream
{
    std::string name;
    std::string address; ///< `IP:port`.
    std::string zone; ///< The availability zone of its VM.
    std::string half; ///< The half of the fleet that it belongs to.
    upstream_kind kind = upstream_kind::PlainService;
    std::string modelOrService; ///< The model of an engine, the service name of a plain service.
    std::uint32_t slots = 0; ///< Requests that run at once.
    std::uint32_t pieces = 0; ///< KV-cache memory in pieces; 0 for plain services.
    std::uint32_t pieceTokens = 0; ///< Tokens of one piece; 0 for plain services.
    upstream_state state = upstream_state::Active;
    bool checksFence = false; ///< Whether it refuses an order with an old fencing number.

    auto operator<=>(const upstream &) const = default;
};

/// How calls below a path of a plain service are treated; the longest matching `pathPrefix` applies.
struct service_route
{
    std::string service;
    std::string pathPrefix; ///< Starts with `/`; matches below `/svc/{service}`.
    std::vector<std::string> idempotentMethods; ///< Upper case, sorted; calls in any other method run at most once.

    auto operator<=>(const service_route &) const = default;
};

/// The share of one team when requests queue.
struct team_rule
{
    std::string name;
    std::uint32_t weight = 1; ///< Relative share, at least 1.
    std::uint32_t maxConcurrent = 0; ///< Requests of the team in flight in one half; 0 means no limit.

    auto operator<=>(const team_rule &) const = default;
};

/// The limits of one model and what its engines should have loaded.
struct model_rule
{
    std::string model;
    std::uint32_t maxPromptTokens = 0; ///< 0 means no limit.
    std::uint32_t maxOutputTokens = 0; ///< 0 means no limit.
    std::string version; ///< The version engines are ordered to; empty means that no order is given.
    std::vector<std::string> adapters; ///< Adapters engines are ordered to load; sorted.

    auto operator<=>(const model_rule &) const = default;
};

/// The number of active upstreams of a kind below which a half must not fall by a change of configuration.
struct capacity_floor
{
    std::string half;
    upstream_kind kind = upstream_kind::PlainService;
    std::string modelOrService;
    std::uint32_t minActive = 0;

    auto operator<=>(const capacity_floor &) const = default;
};

/// The priority of requests that name none.
struct priority_default
{
    std::string modelOrService;
    priority_class priority = priority_class::Interactive;

    auto operator<=>(const priority_default &) const = default;
};

/// One rule; `ruleKey` tells which older rule it replaces.
using rule = std::variant<service_route, team_rule, model_rule, capacity_floor, priority_default>;

/// All that operators declare about the fleet.
struct inventory
{
    std::vector<upstream> upstreams; ///< Sorted by name; names are unique.
    std::vector<rule> rules; ///< Sorted by `ruleKey`; keys are unique.

    bool operator==(const inventory &) const = default;
};

/// The name used in inventory files, records and dumps. Thread safe.
std::string_view toString(upstream_kind value) noexcept;
/// The name used in inventory files, records and dumps. Thread safe.
std::string_view toString(upstream_state value) noexcept;
/// The name used in inventory files, headers and dumps. Thread safe.
std::string_view toString(priority_class value) noexcept;

/// The kind that @p text names; empty for any other text. Thread safe.
std::optional<upstream_kind> parseUpstreamKind(std::string_view text) noexcept;
/// The state that @p text names; empty for any other text. Thread safe.
std::optional<upstream_state> parseUpstreamState(std::string_view text) noexcept;
/// The class that @p text names; empty for any other text. Thread safe.
std::optional<priority_class> parsePriorityClass(std::string_view text) noexcept;

/// The key of @p value: two rules with the same key replace each other. Thread safe.
std::string ruleKey(const rule &value);

} // namespace heatherroute
