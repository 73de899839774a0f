#include "relay/upstream_judge.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// Backoff after a failed connection; short at first, since a single lost packet may be the cause.
constexpr duration kInitialBackoff = std::chrono::milliseconds(800);
constexpr duration kMaxBackoff = std::chrono::milliseconds(4'000);

} // namespace

upstream_judge upstream_judge::make(const upstream_health_settings &settings)
{
    return upstream_judge(settings);
}

upstream_judge::upstream_judge(const upstream_health_settings &settings)
    : m_health(upstream_health::make(settings))
{ }

pool_index upstream_judge::poolOf(const registration &run)
{
    std::string name = run.service;
    if (run.phase) {
        name += *run.phase == engine_phase::Prefill ? "/prefill" : "/decode";
    }
    return m_pools.emplace(std::move(name), static_cast<pool_index>(m_pools.size())).first->second;
}

void upstream_judge::add(const registration &run)
{
    remove(run.id);
    const replica_index index = m_nextIndex++;
    m_health.add(index, poolOf(run));
    m_byId.emplace(run.id, tracked_upstream{index, 1.0, instant{}, duration::zero()});
    m_ids.emplace(index, run.id);
}

void upstream_judge::remove(const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    m_health.remove(found->second.index);
    m_ids.erase(found->second.index);
    m_byId.erase(found);
}

void upstream_judge::noteSuccess(instant now, const std::string &id, duration observed, duration predicted)
{
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        found->second.backoff = duration::zero();
        m_health.noteSuccess(now, found->second.index, observed, predicted);
    }
}

void upstream_judge::noteFailure(instant now, const std::string &id)
{
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        m_health.noteFailure(now, found->second.index, health_sign::Failure);
        applyChanges(now);
    }
}

void upstream_judge::noteUnreachable(instant now, const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end() || found->second.unreachableUntil > now) {
        return;
    }
    tracked_upstream &upstream = found->second;
    upstream.backoff = std::clamp(2 * upstream.backoff, kInitialBackoff, kMaxBackoff);
    upstream.unreachableUntil = now + upstream.backoff;
    m_health.noteFailure(now, upstream.index, health_sign::Failure);
    applyChanges(now);
}

bool upstream_judge::isReachable(instant now, const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() || found->second.unreachableUntil <= now;
}

void upstream_judge::noteProbe(instant now, const std::string &id, bool succeeded)
{
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        m_health.noteProbe(now, found->second.index, succeeded);
    }
}

std::vector<std::string> upstream_judge::advance(instant now)
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

void upstream_judge::applyChanges(instant now)
{
    for (const weight_change &change : m_health.advance(now)) {
        if (const auto found = m_ids.find(change.replica); found != m_ids.end()) {
            m_byId.at(found->second).weight = change.weight;
        }
    }
}

double upstream_judge::weight(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? 1.0 : found->second.weight;
}

std::string upstream_judge::stateOf(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? "unknown" : std::string(toString(m_health.state(found->second.index)));
}

} // namespace heatherroute
