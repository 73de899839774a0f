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
 * The inventory that operators declare: the upstreams of the fleet, the half that each belongs to, and the rules.
 *
 * These are plain values without behaviour, shared by the reader of inventory files, the replicated configuration and the
 * placement. They are not validated here; the reader or publisher that creates them does that. All types are safe to copy and
 * to read from several threads, but must not be modified by two threads at the same time.
 */

/// The role of an upstream.
enum class upstream_kind {
    PrefillEngine, ///< A model engine that computes the KV cache of a prompt.
    DecodeEngine, ///< A model engine that generates tokens from a KV cache.
    PlainService, ///< An HTTP service to which calls are forwarded unchanged.
};

/// The state of an upstream, which decides whether it gets new work.
enum class upstream_state {
    Active, ///< Gets new work.
    Leaving, ///< Finishes its running work and gets no new work.
};

/// The priority of a request; the smaller value is served first.
enum class priority_class {
    Interactive, ///< A person waits for the answer: status checks, searches, bookings.
    Batch, ///< The answer may be delayed: reports, summaries.
};

/// One replica of a model or of a plain service, identified by `name`.
struct upstream
{
    std::string name;
    std::string address; ///< `IP:port`.
    std::string zone; ///< The availability zone of its VM.
    std::string half; ///< The half of the fleet to which it belongs.
    upstream_kind kind = upstream_kind::PlainService;
    std::string modelOrService; ///< The model of an engine, the service name of a plain service.
    std::uint32_t slots = 0; ///< Maximum number of requests that run concurrently.
    std::uint32_t pieces = 0; ///< KV-cache memory in pieces; 0 for plain services.
    std::uint32_t pieceTokens = 0; ///< Number of tokens per piece; 0 for plain services.
    upstream_state state = upstream_state::Active;
    bool checksFence = false; ///< Whether it refuses an order with an outdated fencing token.

    auto operator<=>(const upstream &) const = default;
};

/// The rule for calls below a path of a plain service; the rule with the longest matching `pathPrefix` applies.
struct service_route
{
    std::string service;
    std::string pathPrefix; ///< Starts with `/`; matches below `/svc/{service}`.
    std::vector<std::string> idempotentMethods; ///< Upper case, sorted; calls with any other method run at most once.

    auto operator<=>(const service_route &) const = default;
};

/// The share of capacity that a team gets when requests queue.
struct team_rule
{
    std::string name;
    std::uint32_t weight = 1; ///< Relative share, at least 1.
    std::uint32_t maxConcurrent = 0; ///< Maximum number of the team's requests in flight in one half; 0 means no limit.

    auto operator<=>(const team_rule &) const = default;
};

/// The limits of one model, and the version and adapters that its engines should have loaded.
struct model_rule
{
    std::string model;
    std::uint32_t maxPromptTokens = 0; ///< 0 means no limit.
    std::uint32_t maxOutputTokens = 0; ///< 0 means no limit.
    std::string version; ///< The version that engines are ordered to load; empty means that no order is sent.
    std::vector<std::string> adapters; ///< The adapters that engines are ordered to load; sorted.

    auto operator<=>(const model_rule &) const = default;
};

/// The minimum number of active upstreams of a kind that a configuration change must leave in a half.
struct capacity_floor
{
    std::string half;
    upstream_kind kind = upstream_kind::PlainService;
    std::string modelOrService;
    std::uint32_t minActive = 0;

    auto operator<=>(const capacity_floor &) const = default;
};

/// The default priority of requests that do not name one.
struct priority_default
{
    std::string modelOrService;
    priority_class priority = priority_class::Interactive;

    auto operator<=>(const priority_default &) const = default;
};

/// One rule; it replaces an earlier rule with the same `ruleKey`.
using rule = std::variant<service_route, team_rule, model_rule, capacity_floor, priority_default>;

/// The complete declaration of the fleet.
struct inventory
{
    std::vector<upstream> upstreams; ///< Sorted by name; names are unique.
    std::vector<rule> rules; ///< Sorted by `ruleKey`; keys are unique.

    bool operator==(const inventory &) const = default;
};

/// Returns the name used in inventory files, records and dumps. Thread safe.
std::string_view toString(upstream_kind value) noexcept;
/// Returns the name used in inventory files, records and dumps. Thread safe.
std::string_view toString(upstream_state value) noexcept;
/// Returns the name used in inventory files, headers and dumps. Thread safe.
std::string_view toString(priority_class value) noexcept;

/// Parses the name of a kind; returns nothing for any other text. Thread safe.
std::optional<upstream_kind> parseUpstreamKind(std::string_view text) noexcept;
/// Parses the name of a state; returns nothing for any other text. Thread safe.
std::optional<upstream_state> parseUpstreamState(std::string_view text) noexcept;
/// Parses the name of a priority class; returns nothing for any other text. Thread safe.
std::optional<priority_class> parsePriorityClass(std::string_view text) noexcept;

/// Returns the key of @p value. Of two rules with the same key, the later one replaces the earlier one. Thread safe.
std::string ruleKey(const rule &value);

} // namespace heatherroute
