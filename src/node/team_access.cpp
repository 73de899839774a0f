#include "node/team_access.h"

#include <chrono>
#include <utility>

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// Teams with metrics of their own. Metrics are never removed, and configurations may name new teams at any time.
constexpr std::size_t kMaxCountedTeams = 64;

} // namespace

std::string_view toString(access_outcome outcome) noexcept
{
    switch (outcome) {
    case access_outcome::Allowed:
        return "allowed";
    case access_outcome::UnknownKey:
        return "unknown_key";
    case access_outcome::OverQuota:
        return "over_quota";
    case access_outcome::Unconfirmed:
        return "unconfirmed";
    case access_outcome::QuotaUnknown:
        return "quota_unknown";
    }
    return "unknown";
}

team_access::team_access(metrics_registry &metrics)
    : m_metrics(metrics)
{ }

void team_access::setHooks(team_access_hooks hooks)
{
    m_hooks = std::move(hooks);
}

asio::awaitable<access_decision> team_access::decide(access_question question)
{
    access_decision decision = identify(question);
    const bool needsNoTeam = decision.outcome == access_outcome::Allowed && decision.team.empty();
    if (needsNoTeam) {
        co_return decision;
    }
    const team *caller = decision.outcome == access_outcome::Allowed ? question.routes->findTeam(decision.team) : nullptr;
    if (caller != nullptr && caller->quota && question.checkedTeam.empty()) {
        const std::uint32_t cost = costOf(*caller->quota, question.prompt);
        const quota_verdict verdict = co_await m_hooks.charge(*caller, cost, question.routes->version());
        if (verdict.outcome == quota_outcome::Granted) {
            decision.charge = team_charge{cost, verdict.number};
        } else {
            const bool isExceeded = verdict.outcome == quota_outcome::Exceeded;
            decision.outcome = isExceeded ? access_outcome::OverQuota : access_outcome::QuotaUnknown;
            decision.reason = isExceeded ? "over_quota" : "quota_unknown";
            decision.wait = verdict.wait;
        }
    }
    count(decision);
    co_return decision;
}

access_decision team_access::identify(const access_question &question) const
{
    const route_table &routes = *question.routes;
    const bool isOlderThanSenders = question.sendersConfigVersion > routes.version();
    if (!routes.requiresKeys() || question.isPublic) {
        // An older configuration without the team would hide from upstreams whose request it is.
        if (!question.checkedTeam.empty() && isOlderThanSenders) {
            return {access_outcome::Unconfirmed, {}, "config_outdated", {}, {}};
        }
        return {};
    }
    if (!m_hooks.isConfigCurrent()) {
        return {access_outcome::Unconfirmed, {}, "config_not_current", {}, {}};
    }
    const team *caller = question.key ? routes.teamOfKey(*question.key) : nullptr;
    const bool isAsSenderFound = question.checkedTeam.empty() || (caller != nullptr && caller->name == question.checkedTeam);
    if (caller != nullptr && (isAsSenderFound || !isOlderThanSenders)) {
        return {access_outcome::Allowed, caller->name, {}, {}, {}};
    }
    if (isOlderThanSenders || m_hooks.isConfigOutdated()) {
        return {access_outcome::Unconfirmed, {}, "config_outdated", {}, {}};
    }
    return {access_outcome::UnknownKey, {}, question.key ? "unknown_key" : "no_key", {}, {}};
}

bool team_access::maySend(const route_table &routes, std::string_view team, const key_digest &key) const
{
    if (!routes.requiresKeys()) {
        return true;
    }
    const auto *holder = routes.teamOfKey(key);
    return m_hooks.isConfigCurrent() && holder != nullptr && holder->name == team;
}

void team_access::refund(const route_table &routes, std::string_view team, const team_charge &charge) const
{
    if (const auto *caller = routes.findTeam(team)) {
        m_hooks.refund(*caller, charge.cost, charge.number);
    }
}

std::string team_access::configAgeText() const
{
    const auto age = m_hooks.configAge();
    return age ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) : "unknown";
}

void team_access::count(const access_decision &decision)
{
    std::string label = decision.team.empty() ? "none" : decision.team;
    if (!m_countedTeams.contains(label)) {
        if (m_countedTeams.size() < kMaxCountedTeams) {
            m_countedTeams.insert(label);
        } else {
            label = "other";
        }
    }
    const std::string outcome(toString(decision.outcome));
    m_metrics
        .counter("heatherroute_team_requests_total", "Requests on routes that need an API key, by team and decision.", {{"team", label}, {"outcome", outcome}})
        .value += 1;
}

} // namespace heatherroute::node
