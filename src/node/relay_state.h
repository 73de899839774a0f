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
#include "heatherroute/peer_message.h"
#include "heatherroute/route_table.h"
#include "node/core_time.h"
#include "node/crash_monitor.h"
#include "node/engine_placements.h"
#include "node/reach_monitor.h"
#include "node/stream_origins.h"
#include "node/team_access.h"
#include "node/team_quotas.h"
#include "node/upstream_permits.h"
#include "relay/call_time_estimate.h"
#include "relay/engine_scheduler.h"
#include "relay/fleet_retry_budget.h"
#include "relay/phase_planner.h"
#include "relay/platform_dialect.h"
#include "relay/request_forwarding.h"
#include "relay/retry_after.h"
#include "relay/send_permission.h"
#include "relay/stop_plan.h"
#include "relay/store_gossip.h"
#include "relay/stream_time_estimate.h"
#include "relay/upstream_health_tracker.h"
#include "relay/upstream_pauses.h"
#include "relay/upstream_registry.h"
#include "relay/version_history.h"
#include "telemetry/metrics_registry.h"

namespace heatherroute::node
{

/// Reasons for refusing a request whose upstreams all ask to wait.
inline constexpr const char *kAtLimitReason = "upstreams_at_limit";
inline constexpr const char *kPausingReason = "upstreams_pausing"; ///< None of them is only at its limit.

/// The reason for refusing a request that would be cut by the planned stop of this entry.
inline constexpr const char *kStoppingReason = "stopping";

/// The failure of a call that wasn't made, since its upstream pauses or takes no work any more.
inline constexpr const char *kNotSentReason = "not sent: the upstream pauses or leaves";

/// The reason for refusing a request whose key isn't confirmed any more when it is about to be sent, and the failure of a call that wasn't made
/// for that.
inline constexpr const char *kKeyNotConfirmedReason = "key_not_confirmed";

/// Timeouts of the relay.
struct relay_timing
{
    /// Timeout for connecting to an upstream; allows for several round trips between availability zones.
    std::chrono::milliseconds connectTimeout{150};
    /// Timeout for an engine's answer to a reservation, an order or a report request.
    std::chrono::milliseconds engineCallTimeout{400};
    /// Minimum progress timeout of a call that passes a request to an upstream.
    std::chrono::milliseconds minProgressTimeout{5};
};

/**
 * State that all requests of an entry share: the configuration, the upstreams and the decision modules.
 *
 * Belongs to the relay's thread.
 */
struct relay_state
{
    relay_state(boost::asio::any_io_executor relayExecutor,
                platform_dialect relayDialect,
                retry_limit limit,
                std::string name,
                std::string zone,
                std::uint64_t incarnation,
                std::uint64_t seed,
                std::uint32_t sharedPlacementEntries = 0);

    /// Returns whether a request may be sent to @p run now, and otherwise why not and when.
    send_permission permissionFor(const registration &run) const;
    /// Returns the upstreams of @p runs that requests may be sent to now, with their weights and loads.
    std::vector<upstream_candidate> candidates(const std::vector<const registration *> &runs) const;
    /// Returns the upstreams of @p runs that would be candidates if they hadn't asked this entry to wait, by a limit or a pause.
    std::vector<registration> askingToWait(const std::vector<const registration *> &runs) const;
    /// Returns the time until one of @p runs, which ask to wait, may get a request. Precondition: there is a run.
    duration waitFor(const std::vector<registration> &runs) const;
    /// Returns when a caller should come back that is refused because all of @p runs ask to wait. Zero without any run.
    duration nextReturn(const std::string &service, const std::vector<registration> &runs);
    /// Returns the reason for a refusal because all of @p runs ask to wait.
    const char *waitReason(const std::vector<registration> &runs) const;

    /// Records what the head of an answer of @p run says about the upstream itself: its instance, limit, pause and whether it leaves. Every
    /// answer of an upstream comes through here. @p requestId: of the caller's request; empty for a call of the router itself.
    void observeAnswer(const registration &run, instant sentAt, const net::http_answer &head, std::string_view requestId);
    /// Performs a call of the router itself to @p run and observes its answer. While the upstream pauses, nothing is sent, and the result is a
    /// failure.
    boost::asio::awaitable<net::http_result> callUpstream(registration run, net::http_call call);
    /// Records a call to @p run that ended without an answer. It counts as a failed connection if nothing was sent, otherwise as
    /// a failed request; a call that was not made counts for nothing.
    /// Prepares @p call, which is about to connect to @p run, so that the outcome becomes known to the decisions about connections.
    void beginConnect(const registration &run, net::http_call &call);
    void noteFailedCall(const registration &run, const net::http_result &result);
    /// Consumes one retry of the fleet's budget for @p service and counts it. Returns false when none is left.
    bool tryRetry(const std::string &service);
    /// Counts a request for @p service that was kept from upstreams by its quarantine.
    void countQuarantineRefusal(const std::string &service);
    /// Returns the phase planner of @p service; it is created on first use.
    phase_planner &plannerOf(const std::string &service);
    /// Records that this entry orders the engine @p run to change to phase @p to, and announces it to the other entries. The
    /// current phase as @p to cancels the change.
    void announcePhaseMove(const registration &run, engine_phase to);
    /// Passes a change of an upstream on to the decision modules, the other entries and the log.
    void onUpstreamChange(const registration &run, upstream_change change);
    /// Records that the engine @p run is ordered to change to phase @p to. Its current phase as @p to cancels the change.
    void notePhaseMove(const registration &run, engine_phase to);
    void log(log_level level, std::string event, std::vector<log_field> fields) const;
    /// Returns a random sample, uniform between 0 and 1.
    double sampleUniform();
    /// Returns the average latency of plain requests at @p service, or a default before the first one has finished.
    duration expectedPlainLatency(const std::string &service) const;
    /// Adds the latency of a finished plain request to the average of @p service.
    void notePlainLatency(const std::string &service, duration took);

    /// Whether @p call may be sent to an upstream of @p service now, or would be cut by the planned stop of this entry. @p before: time that passes
    /// before the upstream begins with it.
    bool mayBegin(const std::string &service, const call_length &call, duration before = duration::zero()) const;
    /// Records how long an upstream of @p service took for a complete answer.
    void noteCallTime(const std::string &service, route_kind kind, duration took);
    /// Records a complete stream of @p service, see stream_time_estimate::note().
    void noteStreamTime(const std::string &service, duration firstAfter, duration took, std::uint64_t events);
    /// Returns the Retry-After delay of a request that another entry can serve at once.
    std::optional<duration> retryElsewhereAfter(duration timeLeft);

    boost::asio::any_io_executor executor;
    platform_dialect dialect;
    std::string entryName;
    relay_timing timing;
    retry_after_settings retryAfterSettings;
    std::function<void(log_line)> writeLog;
    /// Records what this entry has observed of crashes in the platform's store; deletes the record when there is nothing.
    std::function<void(crash_evidence)> recordCrashes;
    /// Records origins of streams in the platform's store. @p waited: how long the first of them has waited at this entry.
    std::function<void(std::vector<stream_origin>, duration waited)> recordOrigins;
    std::function<void()> readUpstreams; ///< Begins to read the registrations of upstreams.
    std::function<void(bool withVersions)> readOrigins; ///< Begins to read the records of origins, also with a summary of versions.
    /// Sends a message to the entry with the peer address, or to all other entries if it is empty.
    std::function<void(peer_body, std::optional<std::string> peerAddress)> sendToEntries;
    std::shared_ptr<const route_table> routes; ///< Null before the first configuration.
    std::mt19937_64 random;
    store_gossip gossip;
    upstream_health_tracker health;
    upstream_registry registry;
    upstream_pauses pauses;
    version_history versions;
    fleet_retry_budget retryBudget;
    engine_scheduler scheduler;
    std::map<std::string, phase_planner> planners; ///< Phase planners by service.
    std::map<std::string, moving_average> plainLatencies; ///< Average latency in seconds, by service.
    std::shared_ptr<net::memory_budget> memory; ///< Shared by all connections and calls to upstreams.
    std::map<std::string, std::size_t> inFlight; ///< Number of this entry's plain requests in flight, by upstream id.
    metrics_registry metrics;
    team_access access;
    crash_monitor crashes;
    upstream_permits permits;
    team_quotas quotas;
    stream_origins origins;
    engine_placements placements;
    reach_monitor reach;
    request_forwarding forwarding;
    stop_plan stop = stop_plan::make({}); ///< Of this entry; its instants are those of bootNow().

private:
    void logMalformedPause(const registration &run, const std::string &value);
    crash_monitor_hooks crashHooks();
    upstream_permits_hooks permitHooks();
    team_quotas_hooks quotaHooks();
    stream_origins_hooks originHooks();
    engine_placements_hooks placementHooks();
    reach_monitor_hooks reachHooks();

    std::map<std::pair<std::string, route_kind>, call_time_estimate> m_callTimes; ///< By service and kind.
    std::map<std::string, stream_time_estimate> m_streamTimes; ///< By service.
    std::map<std::string, std::string> m_malformedPauses; ///< The last malformed time of an upstream, by id, so that each is logged once.
};

} // namespace heatherroute::node
