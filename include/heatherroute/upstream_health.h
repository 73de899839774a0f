#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "heatherroute/rate_book.h"
#include "heatherroute/replica_table.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// What a replica is thought to be.
enum class health_state : std::uint8_t {
    Healthy,
    Slow, ///< Answers, but much later than its pool; gets less.
    Ejected, ///< Waits for its next probe.
    Probing, ///< A probe is under way.
    Returning, ///< Gets a growing share again.
};

/// The name used in dumps and metrics. Thread safe.
std::string_view toString(health_state value) noexcept;

/// What went wrong with a request.
enum class health_sign : std::uint8_t {
    Failure, ///< The replica failed, refused without being full, or was unreachable.
    StalledTransfer, ///< A transfer made no progress; note it for both ends, since either may be the cause.
};

/// Thresholds and times.
struct upstream_health_settings
{
    double largestLostShare = 0.34; ///< Of a pool's weight, however many of its replicas look sick.
    double ejectBadness = 0.5; ///< Average of recent outcomes, 0 for a success and 1 for a failure.
    std::uint32_t fewestOutcomes = 3; ///< Before a replica can be ejected.
    double outcomeGain = 0.25; ///< Weight of the newest outcome.
    double stallBadness = 0.7; ///< Of a stalled transfer, against 1 for a failure.
    double slowRatio = 2.0; ///< Times the pool's average of observed over predicted time.
    double smallestWeight = 0.1; ///< Of a slow replica, and of one that begins to return.
    duration probeAfter = std::chrono::seconds(1); ///< Doubles with each failed return.
    duration longestProbeAfter = std::chrono::seconds(30);
    duration probeLimit = std::chrono::seconds(2); ///< A probe without a result by then has failed.
    std::uint32_t successesPerStep = 3; ///< Before the weight of a returning replica doubles.
    duration shortestStep = std::chrono::milliseconds(500);
    duration longestStep = std::chrono::seconds(10); ///< A replica without traffic takes the step then.

    auto operator<=>(const upstream_health_settings &) const = default;
};

/// A weight to set in the replica table.
struct weight_change
{
    replica_index replica = 0;
    double weight = 1.0;

    auto operator<=>(const weight_change &) const = default;
};

/**
 * Judges replicas by what their requests met and sets the share of work that each gets.
 *
 * A replica whose requests fail is ejected, probed after a pause that doubles, and taken back in steps that need successes,
 * so that a replica that answers probes but fails requests gets little. One that is much slower than its pool, measured by
 * observed over predicted time, gets less. All reductions of a pool together stay within a set share of it, the worst first:
 * when most of a pool looks sick the cause is elsewhere, and a few survivors could not carry the load. (Outlier ejection with
 * a largest share, as Envoy documents it.) Not thread safe. Instants passed in must not decrease.
 */
class upstream_health
{
public:
    static upstream_health make(const upstream_health_settings &settings);

    /// A new replica, taken to be healthy. Precondition: it is not known yet.
    void add(replica_index replica, pool_index pool);
    /// Unknown replicas are ignored, here and below, since results may come after a removal.
    void remove(replica_index replica);

    /// A request succeeded. @p predicted must be positive; it is what the prediction for this very request said.
    void noteSuccess(instant now, replica_index replica, duration observed, duration predicted);
    void noteFailure(instant now, replica_index replica, health_sign sign);

    /// Replicas to probe now over a new connection; each is to be answered by noteProbe().
    std::vector<replica_index> dueProbes(instant now);
    void noteProbe(instant now, replica_index replica, bool succeeded);

    /// Takes the steps that are due and returns the weights that differ from what was returned before.
    std::vector<weight_change> advance(instant now);

    /// Healthy for an unknown replica.
    health_state state(replica_index replica) const;

private:
    struct replica_health
    {
        pool_index pool = 0;
        health_state state = health_state::Healthy;
        double badness = 0.0;
        std::uint32_t outcomes = 0;
        learned_mean ratio; ///< Observed over predicted time.
        double wanted = 1.0; ///< Weight before the bound of the pool.
        double told = 1.0; ///< Weight last returned.
        std::uint32_t failedReturns = 0;
        std::uint32_t stepSuccesses = 0;
        instant changedAt{};
        instant probeAt{};
    };
    struct pool_health
    {
        std::uint32_t replicas = 0;
        learned_mean ratio;
        std::set<replica_index> reduced; ///< Wanted or told weight below one.
        bool dirty = false;
    };

    explicit upstream_health(const upstream_health_settings &settings);
    void setWanted(replica_index replica, replica_health &health, double weight);
    void judgePace(replica_index replica, replica_health &health);
    void eject(instant now, replica_index replica, replica_health &health);
    void step(instant now, replica_index replica, replica_health &health);
    void fit(pool_health &pool, std::vector<weight_change> &changes);

    upstream_health_settings m_settings;
    std::map<replica_index, replica_health> m_replicas;
    std::map<pool_index, pool_health> m_pools;
    std::set<replica_index> m_watched; ///< Ejected, probing or returning.
};

} // namespace heatherroute
