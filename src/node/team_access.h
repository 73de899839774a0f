#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "heatherroute/route_table.h"
#include "heatherroute/team.h"
#include "telemetry/metrics_registry.h"

namespace heatherroute::node
{

/// Dependencies of a team_access. The defaults take the configuration as the newest one and grant every request.
struct team_access_hooks
{
    std::function<bool()> isConfigCurrent = [] { return true; }; ///< Whether the configuration is confirmed within its bound.
    std::function<bool()> isConfigOutdated = [] { return false; }; ///< Whether another entry is known to have a newer configuration.
    std::function<std::optional<duration>()> configAge = [] { return std::nullopt; }; ///< Of the last confirmation; for logs.
    /// Charges the cost of one request to the quota of its team, which stays valid until the end.
    std::function<boost::asio::awaitable<quota_verdict>(const team &, std::uint32_t cost, std::uint64_t configVersion)> charge =
        [](const team & /*caller*/, std::uint32_t /*cost*/, std::uint64_t /*configVersion*/) -> boost::asio::awaitable<quota_verdict> {
        co_return quota_verdict{};
    };
    /// Returns what was charged under @p number for a request that didn't run.
    std::function<void(const team &, std::uint32_t cost, std::uint32_t number)> refund =
        [](const team & /*caller*/, std::uint32_t /*cost*/, std::uint32_t /*number*/) {};
};

/// A request whose team is to be decided on.
struct access_question
{
    std::shared_ptr<const route_table> routes; ///< The configuration by which it was routed.
    bool isPublic = false; ///< Its route needs no key.
    std::optional<key_digest> key;
    std::optional<prompt_facts> prompt;
    std::string checkedTeam; ///< The team that another entry has found and charged; empty if none has.
    std::uint64_t sendersConfigVersion = 0; ///< Of that entry; 0 for a request of a caller.
};

/// What happens with such a request.
enum class access_outcome : std::uint8_t {
    Allowed,
    UnknownKey, ///< The newest configuration doesn't hold its key, or it has none.
    OverQuota,
    Unconfirmed, ///< This entry can't know whether the newest configuration holds its key; another one may.
    QuotaUnknown, ///< No entry that could charge it has replied.
};

/// The name used in metrics. Thread safe.
std::string_view toString(access_outcome outcome) noexcept;

/// What a request has cost its team.
struct team_charge
{
    std::uint32_t cost = 0;
    std::uint32_t number = 0; ///< As in quota_verdict.

    auto operator<=>(const team_charge &) const = default;
};

/// The decision on such a request.
struct access_decision
{
    access_outcome outcome = access_outcome::Allowed;
    std::string team; ///< Its name; empty if the request needs none, or none is known.
    std::string reason; ///< Of a refusal.
    duration wait{}; ///< Over the quota: time until the request would fit.
    std::optional<team_charge> charge;

    auto operator<=>(const access_decision &) const = default;
};

/**
 * Decides which team a request belongs to and whether it may run: once before it is placed, and again before each send.
 *
 * Load pattern: callers without keys and with removed ones, and teams whose demand exceeds their quotas. Without teams in the configuration,
 * every request is allowed. Belongs to the relay's thread and must outlive the coroutines on its executor.
 */
class team_access
{
public:
    /// @p metrics must outlive this.
    explicit team_access(metrics_registry &metrics);

    /// Replaces the hooks. To be called before the first request; all of them must be set.
    void setHooks(team_access_hooks hooks);

    /// Decides on a request that is about to be placed, and charges it to its team's quota unless another entry has. Precondition: it has routes.
    boost::asio::awaitable<access_decision> decide(access_question question);
    /// Returns whether a request of @p team with the key @p key, which was allowed before, may still be sent while @p routes is the applied
    /// configuration.
    bool maySend(const route_table &routes, std::string_view team, const key_digest &key) const;
    /// Returns the charge of a request that didn't run. @p routes: the configuration by which it was charged.
    void refund(const route_table &routes, std::string_view team, const team_charge &charge) const;
    /// Returns the age of the last confirmation of the configuration for a log line.
    std::string configAgeText() const;

private:
    access_decision identify(const access_question &question) const;
    void count(const access_decision &decision);

    metrics_registry &m_metrics;
    team_access_hooks m_hooks;
    std::set<std::string, std::less<>> m_countedTeams; ///< Those with metrics of their own.
};

} // namespace heatherroute::node
