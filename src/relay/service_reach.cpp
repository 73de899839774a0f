#include "relay/service_reach.h"

#include <algorithm>

namespace heatherroute
{

std::string_view toString(reach_state state) noexcept
{
    switch (state) {
    case reach_state::Reached:
        return "reached";
    case reach_state::Suspected:
        return "suspected";
    case reach_state::CutOff:
        return "cut_off";
    }
    return "reached";
}

service_reach service_reach::make(const reach_settings &settings)
{
    return service_reach(settings);
}

service_reach::service_reach(const reach_settings &settings)
    : m_settings(settings)
{ }

reach_state service_reach::noteConnected(instant now, const std::string &pool, const std::string &upstream)
{
    pool_reach &known = m_pools[pool];
    const reach_state before = known.state;
    known.state = reach_state::Reached;
    known.connectedAt = now;
    known.connected[upstream] = now;
    known.failed.clear();
    known.failures = 0;
    known.hasHung = false;
    return before;
}

bool service_reach::hasConnectedSince(instant at, const std::string &pool, const std::string &upstream) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return false;
    }
    const auto connected = found->second.connected.find(upstream);
    return connected != found->second.connected.end() && connected->second > at;
}

void service_reach::noteFailed(const failed_connect &failed)
{
    pool_reach &known = m_pools[failed.pool];
    if (known.connectedAt && *known.connectedAt >= failed.startedAt) {
        return;
    }
    known.failed.insert(failed.upstream);
    known.failures += 1;
    known.hasHung = known.hasHung || !failed.isRefused;
}

void service_reach::suspect(const std::string &pool)
{
    m_pools[pool].hasHung = true;
}

std::vector<std::string> service_reach::dueChecks(instant now, const std::string &pool, const std::vector<std::string> &registered)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return {};
    }
    pool_reach &known = found->second;
    const auto isGone = [&](const std::string &id) { return std::find(registered.begin(), registered.end(), id) == registered.end(); };
    std::erase_if(known.failed, isGone);
    std::erase_if(known.connected, [&](const auto &connected) { return isGone(connected.first); });
    if (registered.empty()) {
        // Nothing is left that could be reached or not.
        known.state = reach_state::Reached;
        return {};
    }
    const bool isSuspicious = known.hasHung || known.failed.size() >= std::min(registered.size(), m_settings.refusalsToSuspect);
    if (known.state == reach_state::Reached) {
        if (!isSuspicious) {
            return {};
        }
        known.state = reach_state::Suspected;
        known.nextCheckAt = now;
    }
    const std::size_t needed = std::min(registered.size(), m_settings.upstreamsToCutOff);
    const bool haveEnoughFailed = known.failed.size() >= needed;
    if (haveEnoughFailed && known.failures >= m_settings.failuresToCutOff) {
        known.state = reach_state::CutOff;
    }
    std::vector<std::string> checks;
    if (known.state == reach_state::Suspected && !haveEnoughFailed) {
        for (const std::string &id : registered) {
            if (known.failed.size() + known.checking.size() < needed && !known.failed.contains(id) && known.checking.insert(id).second) {
                checks.push_back(id);
            }
        }
        return checks;
    }
    if (!known.checking.empty() || now < known.nextCheckAt) {
        return checks;
    }
    // In turn, since a single upstream may have failed for good.
    std::vector<std::string> order = registered;
    std::sort(order.begin(), order.end());
    const auto next = std::upper_bound(order.begin(), order.end(), known.lastChecked);
    known.lastChecked = next == order.end() ? order.front() : *next;
    known.nextCheckAt = now + m_settings.checkInterval;
    known.checking.insert(known.lastChecked);
    checks.push_back(known.lastChecked);
    return checks;
}

void service_reach::noteChecked(const std::string &pool, const std::string &upstream)
{
    if (const auto found = m_pools.find(pool); found != m_pools.end()) {
        found->second.checking.erase(upstream);
    }
}

reach_state service_reach::state(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? reach_state::Reached : found->second.state;
}

std::set<std::string> service_reach::cutOffPools() const
{
    std::set<std::string> pools;
    for (const auto &[pool, known] : m_pools) {
        if (known.state == reach_state::CutOff) {
            pools.insert(pool);
        }
    }
    return pools;
}

std::set<std::string> service_reach::unreachedPools() const
{
    std::set<std::string> pools;
    for (const auto &[pool, known] : m_pools) {
        if (known.state != reach_state::Reached) {
            pools.insert(pool);
        }
    }
    return pools;
}

} // namespace heatherroute
