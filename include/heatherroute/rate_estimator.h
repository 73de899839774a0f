#pragma once

#include <map>
#include <utility>
#include <vector>

#include "heatherroute/replica_table.h"

namespace heatherroute
{

/// The rates assumed before anything has been observed.
struct rate_defaults
{
    double prefillSecondsPerToken = 50e-6;
    double tokenIntervalSeconds = 0.02; ///< Time between tokens on an engine that runs one request.
    double tokenIntervalSecondsPerRequest = 0.0005; ///< Increase of the token interval for each additional request.
    double transferSecondsPerToken = 5e-6;
    double slotHoldSeconds = 5.0; ///< Time for which one generation holds its decode slot.
    double gain = 0.05; ///< Weight of a new observation in a moving average.

    auto operator<=>(const rate_defaults &) const = default;
};

/// An exponentially weighted moving average. The first observations have a larger weight, so that it converges quickly.
class moving_average
{
public:
    /// Adds an observation, which gets at least the weight @p gain.
    void observe(double value, double gain);
    /// Returns the average, or @p fallback when nothing has been observed.
    double value(double fallback) const;

private:
    double m_value = 0.0;
    std::uint32_t m_count = 0;
};

/**
 * Estimates the rates of prefill, KV-cache transfer and token output from finished work.
 *
 * The token interval is modelled as a linear function of the number of running requests, fitted per pool by least squares
 * with exponential forgetting (Ljung, "System Identification", recursive least squares with a forgetting factor). The rate of
 * a replica is a factor on the rate of its pool, so a replica without observations starts with the rate of its pool. Memory
 * use depends on the number of replicas, pools and zone pairs in the inventory, but not on the number of requests. Not thread
 * safe.
 */
class rate_estimator
{
public:
    static rate_estimator make(const rate_defaults &defaults);

    /// Records that a prefill of @p tokens uncached tokens took @p elapsed to compute.
    void observePrefill(pool_index pool, replica_index replica, std::uint64_t tokens, duration elapsed);
    /// Records the transfer of a KV cache of @p tokens tokens between two zones in @p elapsed, while this entry had @p active
    /// transfers on that link.
    void observeTransfer(zone_index from, zone_index to, std::uint64_t tokens, duration elapsed, std::uint32_t active);
    /// Records the average time between tokens while @p running requests ran on the replica.
    void observeTokenInterval(pool_index pool, replica_index replica, std::uint32_t running, duration tokenInterval);
    /// Records that a generation held its decode slot for @p held.
    void observeSlotHold(pool_index pool, duration held);
    /// Records the round-trip time of a message to the zone.
    void observeRoundTrip(zone_index zone, duration roundTrip);
    /// Counts a transfer of this entry that starts on the link between two zones.
    void transferStarted(zone_index from, zone_index to);
    /// Counts the end of a transfer. Precondition: a transfer on the link was started and has not ended.
    void transferEnded(zone_index from, zone_index to);
    /// Discards the factors of a replica that has left.
    void forget(replica_index replica);

    /// Returns the prefill time of one uncached prompt token, in seconds.
    double prefillSecondsPerToken(pool_index pool, replica_index replica) const;
    /// Returns the time to transfer the KV cache of @p tokens tokens, in seconds, given this entry's current use of the link.
    double transferSeconds(zone_index from, zone_index to, std::uint64_t tokens) const;
    /// Returns the time between tokens when @p running requests run, in seconds.
    double tokenIntervalSeconds(pool_index pool, replica_index replica, std::uint32_t running) const;
    /// Returns the time for which a generation holds its decode slot, in seconds.
    double slotHoldSeconds(pool_index pool) const;
    /// Returns the round-trip time to the zone, in seconds.
    double roundTripSeconds(zone_index zone) const;

private:
    struct line_fit
    {
        double weight = 0.0;
        double sumX = 0.0;
        double sumY = 0.0;
        double sumXX = 0.0;
        double sumXY = 0.0;
    };
    struct pool_rates
    {
        moving_average prefill;
        moving_average slotHold;
        line_fit tokenInterval;
    };
    struct replica_rates
    {
        moving_average prefillFactor;
        moving_average tokenIntervalFactor;
    };
    struct link
    {
        moving_average secondsPerToken;
        moving_average active;
        std::uint32_t running = 0;
    };

    explicit rate_estimator(const rate_defaults &defaults);
    double poolTokenIntervalSeconds(pool_index pool, std::uint32_t running) const;
    pool_rates &poolAt(pool_index pool);
    replica_rates &replicaAt(replica_index replica);

    rate_defaults m_defaults;
    std::vector<pool_rates> m_pools;
    std::vector<replica_rates> m_replicas;
    std::map<std::pair<zone_index, zone_index>, link> m_links;
    std::map<zone_index, moving_average> m_roundTrips;
};

} // namespace heatherroute
