#include "heatherroute/rate_estimator.h"

#include <algorithm>
#include <cmath>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 20.0;
constexpr double kMinObservations = 4.0;
constexpr double kDefaultRoundTripSeconds = 0.002;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void moving_average::observe(double value, double gain)
{
    m_count = std::min<std::uint32_t>(m_count + 1, 1U << 20);
    const double effectiveGain = std::max(gain, 1.0 / m_count);
    m_value += effectiveGain * (value - m_value);
}

double moving_average::value(double fallback) const
{
    return m_count == 0 ? fallback : m_value;
}

rate_estimator::rate_estimator(const rate_defaults &defaults)
    : m_defaults(defaults)
{ }

rate_estimator rate_estimator::make(const rate_defaults &defaults)
{
    HR_ASSERT(defaults.gain > 0.0 && defaults.gain <= 1.0);
    return rate_estimator(defaults);
}

void rate_estimator::observePrefill(pool_index pool, replica_index replica, std::uint64_t tokens, duration elapsed)
{
    if (tokens == 0) {
        return;
    }
    const double perToken = seconds(elapsed) / static_cast<double>(tokens);
    moving_average &mean = poolAt(pool).prefill;
    mean.observe(perToken, m_defaults.gain);
    const double expected = mean.value(m_defaults.prefillSecondsPerToken);
    if (expected > 0.0) {
        replicaAt(replica).prefillFactor.observe(std::clamp(perToken / expected, kMinFactor, kMaxFactor), m_defaults.gain);
    }
}

void rate_estimator::observeTransfer(zone_index from, zone_index to, std::uint64_t tokens, duration elapsed, std::uint32_t active)
{
    if (tokens == 0) {
        return;
    }
    link &used = m_links[{from, to}];
    used.secondsPerToken.observe(seconds(elapsed) / static_cast<double>(tokens), m_defaults.gain);
    used.active.observe(active, m_defaults.gain);
}

void rate_estimator::observeTokenInterval(pool_index pool, replica_index replica, std::uint32_t running, duration tokenInterval)
{
    line_fit &fit = poolAt(pool).tokenInterval;
    const double forgettingFactor = 1.0 - m_defaults.gain / 4.0;
    const double x = running;
    const double y = seconds(tokenInterval);
    fit.weight = fit.weight * forgettingFactor + 1.0;
    fit.sumX = fit.sumX * forgettingFactor + x;
    fit.sumY = fit.sumY * forgettingFactor + y;
    fit.sumXX = fit.sumXX * forgettingFactor + x * x;
    fit.sumXY = fit.sumXY * forgettingFactor + x * y;
    const double expected = poolTokenIntervalSeconds(pool, running);
    if (expected > 0.0) {
        replicaAt(replica).tokenIntervalFactor.observe(std::clamp(y / expected, kMinFactor, kMaxFactor), m_defaults.gain);
    }
}

void rate_estimator::observeSlotHold(pool_index pool, duration held)
{
    poolAt(pool).slotHold.observe(seconds(held), m_defaults.gain);
}

void rate_estimator::observeRoundTrip(zone_index zone, duration roundTrip)
{
    m_roundTrips[zone].observe(seconds(roundTrip), m_defaults.gain);
}

void rate_estimator::transferStarted(zone_index from, zone_index to)
{
    m_links[{from, to}].running += 1;
}

void rate_estimator::transferEnded(zone_index from, zone_index to)
{
    link &used = m_links[{from, to}];
    HR_ASSERT(used.running > 0);
    used.running -= 1;
}

void rate_estimator::forget(replica_index replica)
{
    if (replica < m_replicas.size()) {
        m_replicas[replica] = {};
    }
}

double rate_estimator::prefillSecondsPerToken(pool_index pool, replica_index replica) const
{
    const double base = pool < m_pools.size() ? m_pools[pool].prefill.value(m_defaults.prefillSecondsPerToken) : m_defaults.prefillSecondsPerToken;
    return replica < m_replicas.size() ? base * m_replicas[replica].prefillFactor.value(1.0) : base;
}

double rate_estimator::transferSeconds(zone_index from, zone_index to, std::uint64_t tokens) const
{
    const auto found = m_links.find({from, to});
    if (found == m_links.end()) {
        return m_defaults.transferSecondsPerToken * static_cast<double>(tokens);
    }
    const link &used = found->second;
    // The observed rate already includes the sharing of the link at that time, so only the change in use is applied.
    const double sharing = (used.running + 1.0) / std::max(1.0, used.active.value(1.0));
    return used.secondsPerToken.value(m_defaults.transferSecondsPerToken) * static_cast<double>(tokens) * std::max(0.5, sharing);
}

double rate_estimator::tokenIntervalSeconds(pool_index pool, replica_index replica, std::uint32_t running) const
{
    const double base = poolTokenIntervalSeconds(pool, running);
    return replica < m_replicas.size() ? base * m_replicas[replica].tokenIntervalFactor.value(1.0) : base;
}

double rate_estimator::slotHoldSeconds(pool_index pool) const
{
    return pool < m_pools.size() ? m_pools[pool].slotHold.value(m_defaults.slotHoldSeconds) : m_defaults.slotHoldSeconds;
}

double rate_estimator::roundTripSeconds(zone_index zone) const
{
    const auto found = m_roundTrips.find(zone);
    return found == m_roundTrips.end() ? kDefaultRoundTripSeconds : found->second.value(kDefaultRoundTripSeconds);
}

double rate_estimator::poolTokenIntervalSeconds(pool_index pool, std::uint32_t running) const
{
    const double additionalRequests = running > 0 ? running - 1.0 : 0.0;
    const double defaultSeconds = m_defaults.tokenIntervalSeconds + m_defaults.tokenIntervalSecondsPerRequest * additionalRequests;
    if (pool >= m_pools.size() || m_pools[pool].tokenInterval.weight < kMinObservations) {
        return defaultSeconds;
    }
    const line_fit &fit = m_pools[pool].tokenInterval;
    const double meanX = fit.sumX / fit.weight;
    const double meanY = fit.sumY / fit.weight;
    const double spread = fit.sumXX / fit.weight - meanX * meanX;
    double slope = m_defaults.tokenIntervalSecondsPerRequest;
    if (spread > 0.5) {
        slope = std::max(0.0, (fit.sumXY / fit.weight - meanX * meanY) / spread);
    }
    return std::max(meanY * kMinFactor, meanY + slope * (running - meanX));
}

rate_estimator::pool_rates &rate_estimator::poolAt(pool_index pool)
{
    if (pool >= m_pools.size()) {
        m_pools.resize(pool + std::size_t{1});
    }
    return m_pools[pool];
}

rate_estimator::replica_rates &rate_estimator::replicaAt(replica_index replica)
{
    if (replica >= m_replicas.size()) {
        m_replicas.resize(replica + std::size_t{1});
    }
    return m_replicas[replica];
}

} // namespace heatherroute
