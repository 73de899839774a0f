#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "heatherroute/rate_estimator.h"
#include "heatherroute/replica_table.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// The health state of a replica.
enum class health_state : std::uint8_t {
    Healthy,
    Slow, ///< Answers much more slowly than its pool and gets less work.
    Ejected, ///< Gets no work and waits for its next probe.
    Probing, ///< A probe is in flight.
    Returning, ///< Gets a fraction of its work that grows in steps.
};

/// Returns the name used in dumps and metrics. Thread safe.
std::string_view toString(health_state value) noexcept;

/// The kind of a request failure.
enum class failure_kind : std::uint8_t {
    Failure, ///< The replica failed, refused the request without being full, or was unreachable.
    StalledTransfer, ///< A transfer made no progress. It is recorded for both ends, since either may be the cause.
};

/// Thresholds and delays of upstream_health.
struct upstream_health_settings
{
    double maxLostWeightFraction = 0.34; ///< Upper bound on the fraction of a pool's weight that is taken away, however many replicas look unhealthy.
    double ejectionThreshold = 0.5; ///< A replica is ejected when the moving average of its outcomes (0 success, 1 failure) reaches this value.
    std::uint32_t minOutcomes = 3; ///< Number of outcomes needed before a replica can be ejected or considered slow.
    double outcomeGain = 0.25; ///< Weight of the newest outcome in the moving average.
    double stalledTransferScore = 0.7; ///< Value of a stalled transfer in the moving average, where a failure counts 1.
    double slowRatio = 2.0; ///< A replica is slow when its ratio of observed to predicted time exceeds this multiple of its pool's ratio (at least 1).
    double minWeight = 0.1; ///< Minimum weight of a slow replica and initial weight of a returning one.
    duration probeDelay = std::chrono::seconds(1); ///< Delay before the first probe; doubles with each failed probe and each failure while returning.
    duration maxProbeDelay = std::chrono::seconds(30);
    duration probeTimeout = std::chrono::seconds(2); ///< A probe without a result after this time counts as failed.
    std::uint32_t successesPerStep = 3; ///< Number of successes needed before the weight of a returning replica doubles.
    duration minStepDuration = std::chrono::milliseconds(500);
    duration maxStepDuration = std::chrono::seconds(10); ///< The weight of a returning replica without traffic doubles after this time.

    auto operator<=>(const upstream_health_settings &) const = default;
};

/// A new weight to set in the replica table.
struct weight_change
{
    replica_index replica = 0;
    double weight = 1.0;

    auto operator<=>(const weight_change &) const = default;
};

/**
 * Tracks the health of replicas from the outcomes of their requests and sets the fraction of work that each replica gets.
 *
 * A replica whose requests fail is ejected and probed with exponential backoff. After a successful probe its weight grows in
 * steps that need successful requests, so that a replica that answers probes but fails requests gets little work. A replica
 * that is much slower than its pool, by the ratio of observed to predicted time, gets a lower weight. The total reduction
 * within a pool is bounded and applied to the worst replicas first: when most of a pool looks unhealthy, the cause is
 * elsewhere, and the few remaining replicas could not carry the load. This is outlier ejection with a maximum ejection
 * percentage, as documented by Envoy. Not thread safe. Instants passed in must not decrease.
 */
class upstream_health
{
public:
    static upstream_health make(const upstream_health_settings &settings);

    /// Adds a replica in the healthy state. Precondition: the replica is not known yet.
    void add(replica_index replica, pool_index pool);
    /// Removes a replica. This and the functions below ignore unknown replicas, since results may arrive after a removal.
    void remove(replica_index replica);

    /// Records a successful request. @p predicted is the time that was predicted for this request and must be positive.
    void noteSuccess(instant now, replica_index replica, duration observed, duration predicted);
    /// Records a failed request.
    void noteFailure(instant now, replica_index replica, failure_kind kind);

    /// Returns the replicas to probe now over a new connection. The result of each probe must be passed to noteProbe().
    std::vector<replica_index> dueProbes(instant now);
    void noteProbe(instant now, replica_index replica, bool succeeded);

    /// Times out probes, advances returning replicas, and returns the weights that have changed since the last call.
    std::vector<weight_change> advance(instant now);

    /// Returns the state of a replica; Healthy for an unknown one.
    health_state state(replica_index replica) const;

private:
    struct replica_health
    {
        pool_index pool = 0;
        health_state state = health_state::Healthy;
        double failureScore = 0.0;
        std::uint32_t outcomes = 0;
        moving_average ratio; ///< Ratio of observed to predicted time.
        double targetWeight = 1.0; ///< Weight before the pool's bound on reductions is applied.
        double reportedWeight = 1.0; ///< Weight last returned by advance().
        std::uint32_t failedReturns = 0;
        std::uint32_t stepSuccesses = 0;
        instant changedAt{};
        instant probeAt{};
    };
    struct pool_health
    {
        std::uint32_t replicas = 0;
        moving_average ratio;
        std::set<replica_index> reduced; ///< Replicas whose target weight or last returned weight is below one.
        bool dirty = false;
    };

    explicit upstream_health(const upstream_health_settings &settings);
    void setTargetWeight(replica_index replica, replica_health &health, double weight);
    void updateSlowness(replica_index replica, replica_health &health);
    void eject(instant now, replica_index replica, replica_health &health);
    void advanceReturn(instant now, replica_index replica, replica_health &health);
    void boundReductions(pool_health &pool, std::vector<weight_change> &changes);

    upstream_health_settings m_settings;
    std::map<replica_index, replica_health> m_replicas;
    std::map<pool_index, pool_health> m_pools;
    std::set<replica_index> m_watched; ///< Replicas that are ejected, probing or returning.
};

} // namespace heatherroute
