#include "heatherroute/upstream_health.h"

#include <algorithm>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr double kRatioGain = 0.1;
constexpr double kPoolRatioGain = 0.02;
constexpr std::uint32_t kMaxDelayDoublings = 16;
constexpr double kRoundingSlack = 1e-9;
/// Probes of replicas that were ejected at the same time are spread over this many steps, which add up to a quarter of the delay.
constexpr std::uint32_t kProbeSpreadSteps = 16;

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
    health.failureScore -= m_settings.outcomeGain * health.failureScore;
    const double ratio = ratioOf(observed, predicted);
    health.ratio.observe(ratio, kRatioGain);
    m_pools.at(health.pool).ratio.observe(ratio, kPoolRatioGain);
    if (health.state == health_state::Returning) {
        health.stepSuccesses += 1;
        advanceReturn(now, replica, health);
    } else if (health.state == health_state::Healthy || health.state == health_state::Slow) {
        updateSlowness(replica, health);
    }
}

void upstream_health::noteFailure(instant now, replica_index replica, failure_kind kind)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end()) {
        return;
    }
    replica_health &health = found->second;
    const double value = kind == failure_kind::StalledTransfer ? m_settings.stalledTransferScore : 1.0;
    health.outcomes += 1;
    health.failureScore += m_settings.outcomeGain * (value - health.failureScore);
    const bool serving = health.state == health_state::Healthy || health.state == health_state::Slow;
    if (health.state == health_state::Returning) {
        health.failedReturns = std::min(health.failedReturns + 1, kMaxDelayDoublings);
        eject(now, replica, health);
    } else if (serving && health.outcomes >= m_settings.minOutcomes && health.failureScore >= m_settings.ejectionThreshold) {
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
        health.failedReturns = std::min(health.failedReturns + 1, kMaxDelayDoublings);
        eject(now, replica, health);
        return;
    }
    health.state = health_state::Returning;
    health.changedAt = now;
    health.stepSuccesses = 0;
    health.failureScore = 0.0;
    health.ratio = {};
    setTargetWeight(replica, health, m_settings.minWeight);
}

std::vector<weight_change> upstream_health::advance(instant now)
{
    const std::vector<replica_index> watched(m_watched.begin(), m_watched.end());
    for (const replica_index replica : watched) {
        replica_health &health = m_replicas.at(replica);
        if (health.state == health_state::Probing && now - health.changedAt >= m_settings.probeTimeout) {
            noteProbe(now, replica, false);
        } else if (health.state == health_state::Returning) {
            advanceReturn(now, replica, health);
        }
    }
    std::vector<weight_change> changes;
    for (auto &[index, pool] : m_pools) {
        if (pool.dirty) {
            boundReductions(pool, changes);
        }
    }
    return changes;
}

health_state upstream_health::state(replica_index replica) const
{
    const auto found = m_replicas.find(replica);
    return found == m_replicas.end() ? health_state::Healthy : found->second.state;
}

void upstream_health::setTargetWeight(replica_index replica, replica_health &health, double weight)
{
    if (health.targetWeight == weight) {
        return;
    }
    health.targetWeight = weight;
    pool_health &pool = m_pools.at(health.pool);
    pool.dirty = true;
    pool.reduced.insert(replica);
}

void upstream_health::updateSlowness(replica_index replica, replica_health &health)
{
    const double poolRatio = std::max(1.0, m_pools.at(health.pool).ratio.value(1.0));
    const double relative = health.ratio.value(1.0) / poolRatio;
    if (health.outcomes < m_settings.minOutcomes || relative <= m_settings.slowRatio) {
        health.state = health_state::Healthy;
        setTargetWeight(replica, health, 1.0);
        return;
    }
    health.state = health_state::Slow;
    setTargetWeight(replica, health, std::max(m_settings.minWeight, 1.0 / relative));
}

void upstream_health::eject(instant now, replica_index replica, replica_health &health)
{
    duration delay = m_settings.probeDelay;
    for (std::uint32_t doubling = 0; doubling < health.failedReturns && delay < m_settings.maxProbeDelay; ++doubling) {
        delay *= 2;
    }
    delay = std::min(delay, m_settings.maxProbeDelay);
    health.state = health_state::Ejected;
    health.changedAt = now;
    health.probeAt = now + delay + delay * (replica % kProbeSpreadSteps) / (4 * kProbeSpreadSteps);
    m_watched.insert(replica);
    setTargetWeight(replica, health, 0.0);
}

void upstream_health::advanceReturn(instant now, replica_index replica, replica_health &health)
{
    const duration elapsed = now - health.changedAt;
    const bool stepCompleted = health.stepSuccesses >= m_settings.successesPerStep && elapsed >= m_settings.minStepDuration;
    if (!stepCompleted && elapsed < m_settings.maxStepDuration) {
        return;
    }
    health.changedAt = now;
    health.stepSuccesses = 0;
    const double nextWeight = std::min(1.0, health.targetWeight * 2.0);
    setTargetWeight(replica, health, nextWeight);
    if (nextWeight == 1.0) {
        health.state = health_state::Healthy;
        health.failedReturns = 0;
        health.outcomes = 0;
        m_watched.erase(replica);
    }
}

void upstream_health::boundReductions(pool_health &pool, std::vector<weight_change> &changes)
{
    pool.dirty = false;
    std::vector<std::pair<double, replica_index>> worstFirst;
    for (const replica_index replica : pool.reduced) {
        worstFirst.emplace_back(m_replicas.at(replica).targetWeight, replica);
    }
    std::sort(worstFirst.begin(), worstFirst.end());
    const double allowed = m_settings.maxLostWeightFraction * pool.replicas;
    double lost = 0.0;
    for (const auto &[targetWeight, replica] : worstFirst) {
        replica_health &health = m_replicas.at(replica);
        const double weight = std::max(targetWeight, 1.0 - (allowed - lost));
        const double boundedWeight = std::clamp(weight, 0.0, 1.0);
        lost += 1.0 - boundedWeight;
        if (health.reportedWeight != boundedWeight) {
            health.reportedWeight = boundedWeight;
            changes.push_back({replica, boundedWeight});
        }
        if (targetWeight == 1.0) {
            pool.reduced.erase(replica);
        }
    }
    HR_INVARIANT("a pool keeps a set share of its weight", lost <= allowed + kRoundingSlack);
}

} // namespace heatherroute
