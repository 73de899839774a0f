#include "relay/upstream_health_tracker.h"

namespace heatherroute
{

upstream_health_tracker upstream_health_tracker::make(const upstream_health_settings &settings)
{
    return upstream_health_tracker(settings);
}

upstream_health_tracker::upstream_health_tracker(const upstream_health_settings &settings)
    : m_health(upstream_health::make(settings))
    , m_connects(connect_backoff::make({}))
{ }

pool_index upstream_health_tracker::poolIndexOf(const registration &run)
{
    return m_pools.emplace(nameOf(poolOf(run)), static_cast<pool_index>(m_pools.size())).first->second;
}

void upstream_health_tracker::add(const registration &run)
{
    remove(run.id);
    const replica_index index = m_nextIndex++;
    m_health.add(index, poolIndexOf(run));
    m_byId.emplace(run.id, tracked_upstream{index, 1.0});
    m_ids.emplace(index, run.id);
}

void upstream_health_tracker::remove(const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    m_health.remove(found->second.index);
    m_connects.forget(id);
    m_ids.erase(found->second.index);
    m_byId.erase(found);
}

void upstream_health_tracker::noteSuccess(instant now, const std::string &id, duration observed, duration predicted)
{
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        m_connects.noteAnswered(id);
        m_health.noteSuccess(now, found->second.index, observed, predicted);
    }
}

void upstream_health_tracker::noteFailure(instant now, const std::string &id)
{
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        m_health.noteFailure(now, found->second.index, failure_kind::Failure);
        applyChanges(now);
    }
}

void upstream_health_tracker::noteUnreachable(instant now, const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end() || !m_connects.noteUnreachable(now, id)) {
        return;
    }
    m_health.noteFailure(now, found->second.index, failure_kind::Failure);
    applyChanges(now);
}

void upstream_health_tracker::noteUnconnected(instant now, const std::string &id)
{
    if (m_byId.contains(id)) {
        m_connects.noteUnreachable(now, id);
    }
}

void upstream_health_tracker::noteTried(instant now, const std::string &id)
{
    m_connects.noteTried(now, id);
}

void upstream_health_tracker::noteConnected(instant now, const std::string &id)
{
    m_connects.noteConnected(now, id);
}

void upstream_health_tracker::endBackoff(const std::string &id)
{
    m_connects.forget(id);
}

bool upstream_health_tracker::isReachable(instant now, const std::string &id) const
{
    return m_connects.isReachable(now, id);
}

void upstream_health_tracker::noteProbe(instant now, const std::string &id, bool succeeded)
{
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        m_health.noteProbe(now, found->second.index, succeeded);
    }
}

std::vector<std::string> upstream_health_tracker::advance(instant now)
{
    std::vector<std::string> probes;
    for (const replica_index index : m_health.dueProbes(now)) {
        if (const auto found = m_ids.find(index); found != m_ids.end()) {
            probes.push_back(found->second);
        }
    }
    applyChanges(now);
    return probes;
}

void upstream_health_tracker::applyChanges(instant now)
{
    for (const weight_change &change : m_health.advance(now)) {
        if (const auto found = m_ids.find(change.replica); found != m_ids.end()) {
            m_byId.at(found->second).weight = change.weight;
        }
    }
}

double upstream_health_tracker::weight(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? 1.0 : found->second.weight;
}

std::string upstream_health_tracker::stateOf(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? "unknown" : std::string(toString(m_health.state(found->second.index)));
}

} // namespace heatherroute
