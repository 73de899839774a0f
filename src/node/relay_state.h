#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "heatherroute/log_line.h"
#include "heatherroute/route_table.h"
#include "node/core_time.h"
#include "relay/engine_desk.h"
#include "relay/news_board.h"
#include "relay/phase_planner.h"
#include "relay/platform_dialect.h"
#include "relay/retry_pool.h"
#include "relay/return_time.h"
#include "relay/upstream_judge.h"
#include "relay/upstream_registry.h"
#include "telemetry/metrics_registry.h"

namespace heatherroute::node
{

/// Times of the relay itself.
struct relay_timing
{
    /// Longest time to establish a connection to an upstream; several round trips between zones.
    std::chrono::milliseconds connectTimeout{150};
    /// Longest time for an engine to answer a reservation, an order or a report.
    std::chrono::milliseconds engineCallTimeout{400};
    /// Time left below which a request isn't sent to an upstream any more.
    std::chrono::milliseconds leastTime{5};
};

/**
 * What all requests of one entry share on the relay's thread: configuration, upstreams and the modules that decide.
 *
 * Belongs to the relay's thread.
 */
struct relay_state
{
    relay_state(boost::asio::any_io_executor relayExecutor, platform_dialect relayDialect, retry_limit limit, std::uint64_t seed);

    /// Those of @p runs that can be connected to, as far as is known.
    std::vector<upstream_candidate> candidates(const std::vector<const registration *> &runs) const;
    /// A try at @p id failed before the request ran (@p ran tells) or after.
    void noteFailedTry(const std::string &id, verdict ran);
    /// The planner of the engines of @p service.
    phase_planner &plannerOf(const std::string &service);
    /// This entry sends the engine @p run to phase @p to, or to none when that is its present one; the other entries are told.
    void announceMove(const registration &run, engine_phase to);
    /// Tells the modules that decide, the other entries and the log.
    void onUpstreamChange(const registration &run, upstream_change change);
    /// Takes in that an engine is sent to another phase, or stays.
    void noteMove(const registration &run, engine_phase to);
    void log(log_level level, std::string event, std::vector<log_field> fields) const;
    double draw();
    /// The average time of a plain request at @p service; a default before any was seen.
    duration expectedPlain(const std::string &service) const;
    void notePlain(const std::string &service, duration took);

    boost::asio::any_io_executor executor;
    platform_dialect dialect;
    relay_timing timing;
    return_settings returns;
    std::function<void(log_line)> writeLog;
    std::shared_ptr<const route_table> routes; ///< Null before the first configuration.
    std::mt19937_64 random;
    news_board news;
    upstream_judge judge;
    upstream_registry registry;
    retry_pool retries;
    engine_desk desk;
    std::map<std::string, phase_planner> planners; ///< By service.
    std::map<std::string, learned_mean> plainTimes; ///< Seconds by service.
    std::map<std::string, std::size_t> inFlight; ///< Plain requests of this entry by upstream id.
    metrics_registry metrics;
    std::string entryName;
};

} // namespace heatherroute::node
