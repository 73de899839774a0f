#include "heatherroute/upstream_health.h"

#include <algorithm>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr double kRatioGain = 0.1;
constexpr double kPoolRatioGain = 0.02;
constexpr std::uint32_t kLargestDoubling = 16;
constexpr double kRoundingSlack = 1e-9;
/// Probes of replicas ejected together are spread over a part of the pause.
constexpr std::uint32_t kProbeSpread = 16;

double ratioOf(duration observed, duration predicted)
{
    return static_cast<double>(observed.count()) / static_cast<double>(predicted.count());
}

} // namespace

std::string_view toString(health_state value) noexcept
{
    switch (value) {
    case health_state::Healthy:
        return "healthy";
    case health_state::Slow:
        return "slow";
    case health_state::Ejected:
        return "ejected";
    case health_state::Probing:
        return "probing";
    case health_state::Returning:
        return "returning";
    }
    return "healthy";
}

upstream_health::upstream_health(const upstream_health_settings &settings)
    : m_settings(settings)
{ }

upstream_health upstream_health::make(const upstream_health_settings &settings)
{
    return upstream_health(settings);
}

void upstream_health::add(replica_index replica, pool_index pool)
{
    replica_health added;
    added.pool = pool;
    const bool isNew = m_replicas.emplace(replica, added).second;
    HR_ASSERT(isNew);
    m_pools[pool].replicas += 1;
    m_pools[pool].dirty = true;
}

void upstream_health::remove(replica_index replica)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end()) {
        return;
    }
    pool_health &pool = m_pools.at(found->second.pool);
    pool.replicas -= 1;
    pool.reduced.erase(replica);
    pool.dirty = true;
    m_watched.erase(replica);
    m_replicas.erase(found);
}

void upstream_health::noteSuccess(instant now, replica_index replica, duration observed, duration predicted)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end()) {
        return;
    }
    HR_ASSERT(predicted > duration::zero());
    replica_health &health = found->second;
    health.outcomes += 1;
    health.badness -= m_settings.outcomeGain * health.badness;
    const double ratio = ratioOf(observed, predicted);
    health.ratio.observe(ratio, kRatioGain);
    m_pools.at(health.pool).ratio.observe(ratio, kPoolRatioGain);
    if (health.state == health_state::Returning) {
        health.stepSuccesses += 1;
        step(now, replica, health);
    } else if (health.state == health_state::Healthy || health.state == health_state::Slow) {
        judgePace(replica, health);
    }
}

void upstream_health::noteFailure(instant now, replica_index replica, health_sign sign)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end()) {
        return;
    }
    replica_health &health = found->second;
    const double value = sign == health_sign::StalledTransfer ? m_settings.stallBadness : 1.0;
    health.outcomes += 1;
    health.badness += m_settings.outcomeGain * (value - health.badness);
    const bool serving = health.state == health_state::Healthy || health.state == health_state::Slow;
    if (health.state == health_state::Returning) {
        health.failedReturns = std::min(health.failedReturns + 1, kLargestDoubling);
        eject(now, replica, health);
    } else if (serving && health.outcomes >= m_settings.fewestOutcomes && health.badness >= m_settings.ejectBadness) {
        eject(now, replica, health);
    }
}

std::vector<replica_index> upstream_health::dueProbes(instant now)
{
    std::vector<replica_index> due;
    for (const replica_index replica : m_watched) {
        replica_health &health = m_replicas.at(replica);
        if (health.state == health_state::Ejected && health.probeAt <= now) {
            health.state = health_state::Probing;
            health.changedAt = now;
            due.push_back(replica);
        }
    }
    return due;
}

void upstream_health::noteProbe(instant now, replica_index replica, bool succeeded)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end() || found->second.state != health_state::Probing) {
        return;
    }
    replica_health &health = found->second;
    if (!succeeded) {
        health.failedReturns = std::min(health.failedReturns + 1, kLargestDoubling);
        eject(now, replica, health);
        return;
    }
    health.state = health_state::Returning;
    health.changedAt = now;
    health.stepSuccesses = 0;
    health.badness = 0.0;
    health.ratio = {};
    setWanted(replica, health, m_settings.smallestWeight);
}

std::vector<weight_change> upstream_health::advance(instant now)
{
    const std::vector<replica_index> watched(m_watched.begin(), m_watched.end());
    for (const replica_index replica : watched) {
        replica_health &health = m_replicas.at(replica);
        if (health.state == health_state::Probing && now - health.changedAt >= m_settings.probeLimit) {
            noteProbe(now, replica, false);
        } else if (health.state == health_state::Returning) {
            step(now, replica, health);
        }
    }
    std::vector<weight_change> changes;
    for (auto &[index, pool] : m_pools) {
        if (pool.dirty) {
            fit(pool, changes);
        }
    }
    return changes;
}

health_state upstream_health::state(replica_index replica) const
{
    const auto found = m_replicas.find(replica);
    return found == m_replicas.end() ? health_state::Healthy : found->second.state;
}

void upstream_health::setWanted(replica_index replica, replica_health &health, double weight)
{
    if (health.wanted == weight) {
        return;
    }
    health.wanted = weight;
    pool_health &pool = m_pools.at(health.pool);
    pool.dirty = true;
    pool.reduced.insert(replica);
}

void upstream_health::judgePace(replica_index replica, replica_health &health)
{
    const double usual = std::max(1.0, m_pools.at(health.pool).ratio.value(1.0));
    const double relative = health.ratio.value(1.0) / usual;
    if (health.outcomes < m_settings.fewestOutcomes || relative <= m_settings.slowRatio) {
        health.state = health_state::Healthy;
        setWanted(replica, health, 1.0);
        return;
    }
    health.state = health_state::Slow;
    setWanted(replica, health, std::max(m_settings.smallestWeight, 1.0 / relative));
}

void upstream_health::eject(instant now, replica_index replica, replica_health &health)
{
    duration pause = m_settings.probeAfter;
    for (std::uint32_t doubling = 0; doubling < health.failedReturns && pause < m_settings.longestProbeAfter; ++doubling) {
        pause *= 2;
    }
    pause = std::min(pause, m_settings.longestProbeAfter);
    health.state = health_state::Ejected;
    health.changedAt = now;
    health.probeAt = now + pause + pause * (replica % kProbeSpread) / (4 * kProbeSpread);
    m_watched.insert(replica);
    setWanted(replica, health, 0.0);
}

void upstream_health::step(instant now, replica_index replica, replica_health &health)
{
    const duration passed = now - health.changedAt;
    const bool earned = health.stepSuccesses >= m_settings.successesPerStep && passed >= m_settings.shortestStep;
    if (!earned && passed < m_settings.longestStep) {
        return;
    }
    health.changedAt = now;
    health.stepSuccesses = 0;
    const double next = std::min(1.0, health.wanted * 2.0);
    setWanted(replica, health, next);
    if (next == 1.0) {
        health.state = health_state::Healthy;
        health.failedReturns = 0;
        health.outcomes = 0;
        m_watched.erase(replica);
    }
}

void upstream_health::fit(pool_health &pool, std::vector<weight_change> &changes)
{
    pool.dirty = false;
    std::vector<std::pair<double, replica_index>> worstFirst;
    for (const replica_index replica : pool.reduced) {
        worstFirst.emplace_back(m_replicas.at(replica).wanted, replica);
    }
    std::sort(worstFirst.begin(), worstFirst.end());
    const double allowed = m_settings.largestLostShare * pool.replicas;
    double lost = 0.0;
    for (const auto &[wanted, replica] : worstFirst) {
        replica_health &health = m_replicas.at(replica);
        const double weight = std::max(wanted, 1.0 - (allowed - lost));
        const double given = std::clamp(weight, 0.0, 1.0);
        lost += 1.0 - given;
        if (health.told != given) {
            health.told = given;
            changes.push_back({replica, given});
        }
        if (wanted == 1.0) {
            pool.reduced.erase(replica);
        }
    }
    HR_INVARIANT("a pool keeps a set share of its weight", lost <= allowed + kRoundingSlack);
}

} // namespace heatherroute
