#pragma once

#include <map>
#include <utility>
#include <vector>

#include "heatherroute/replica_table.h"

namespace heatherroute
{

/// What is assumed before anything was measured.
struct rate_defaults
{
    double prefillSecondsPerToken = 50e-6;
    double paceSeconds = 0.02; ///< Between tokens of an engine that runs one request.
    double paceSecondsPerRequest = 0.0005; ///< More for each further request.
    double transferSecondsPerToken = 5e-6;
    double slotHoldSeconds = 5.0; ///< Of one generation.
    double gain = 0.05; ///< Weight of a new observation in an average.

    auto operator<=>(const rate_defaults &) const = default;
};

/// An exponentially weighted average; the first observations weigh more, so that it leaves its default quickly.
class learned_mean
{
public:
    /// Takes in @p value; older ones fade by @p gain.
    void observe(double value, double gain);
    /// The average, or @p fallback when nothing was observed.
    double value(double fallback) const;

private:
    double m_value = 0.0;
    std::uint32_t m_count = 0;
};

/**
 * Rates learned from finished work: prefill, transfer and pace of output.
 *
 * Pace is a line over the number of running requests, fitted per pool by least squares with exponential forgetting
 * (Ljung, "System Identification", recursive least squares with a forgetting factor). A replica's own rate is a factor on
 * the rate of its pool, so a replica never seen starts from its pool's. Memory grows with replicas, pools and pairs of
 * zones in the inventory and not with requests. Not thread safe.
 */
class rate_book
{
public:
    static rate_book make(const rate_defaults &defaults);

    /// A prefill of @p tokens uncached tokens took @p took of computing.
    void observePrefill(pool_index pool, replica_index replica, std::uint64_t tokens, duration took);
    /// A KV cache of @p tokens tokens moved between two zones in @p took, while @p active transfers of this entry ran.
    void observeTransfer(zone_index from, zone_index to, std::uint64_t tokens, duration took, std::uint32_t active);
    /// The average time between tokens while @p running requests ran on the replica.
    void observePace(pool_index pool, replica_index replica, std::uint32_t running, duration pace);
    /// A generation held its decode slot for @p held.
    void observeSlotHold(pool_index pool, duration held);
    /// A message to the zone and back took @p roundTrip.
    void observeRoundTrip(zone_index zone, duration roundTrip);
    /// A transfer of this entry begins or ends on the link.
    void transferStarted(zone_index from, zone_index to);
    void transferEnded(zone_index from, zone_index to);
    /// The replica left: its own factors are dropped.
    void forget(replica_index replica);

    /// Seconds for one uncached prompt token.
    double prefillSecondsPerToken(pool_index pool, replica_index replica) const;
    /// Seconds to move @p tokens tokens' KV cache now, as the link is used by this entry.
    double transferSeconds(zone_index from, zone_index to, std::uint64_t tokens) const;
    /// Seconds between tokens when @p running requests run.
    double paceSeconds(pool_index pool, replica_index replica, std::uint32_t running) const;
    /// Seconds that a generation holds its slot.
    double slotHoldSeconds(pool_index pool) const;
    /// Seconds to the zone and back.
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
        learned_mean prefill;
        learned_mean hold;
        line_fit pace;
    };
    struct replica_rates
    {
        learned_mean prefillFactor;
        learned_mean paceFactor;
    };
    struct link
    {
        learned_mean secondsPerToken;
        learned_mean active;
        std::uint32_t running = 0;
    };

    explicit rate_book(const rate_defaults &defaults);
    double poolPace(pool_index pool, std::uint32_t running) const;
    pool_rates &poolAt(pool_index pool);
    replica_rates &replicaAt(replica_index replica);

    rate_defaults m_defaults;
    std::vector<pool_rates> m_pools;
    std::vector<replica_rates> m_replicas;
    std::map<std::pair<zone_index, zone_index>, link> m_links;
    std::map<zone_index, learned_mean> m_roundTrips;
};

} // namespace heatherroute
