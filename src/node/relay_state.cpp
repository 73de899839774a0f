#include "node/relay_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "node/boot_clock.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// The decision of a head hook that collects the body in the result.
asio::awaitable<bool> collectBody()
{
    co_return false;
}

constexpr double kPlainLatencyGain = 0.1; ///< Weight of the latest sample in the moving average of plain request latency.
/// For a request that another entry can serve at once; long enough for the caller to leave this one.
constexpr retry_after_settings kElsewhereRetryAfter{std::chrono::milliseconds(10), std::chrono::milliseconds(50), std::chrono::milliseconds(0), 0.33};
constexpr double kDefaultPlainSeconds = 0.02; ///< Assumed latency of plain requests before the first sample.

} // namespace

relay_state::relay_state(boost::asio::any_io_executor relayExecutor,
                         platform_dialect relayDialect,
                         retry_limit limit,
                         std::string name,
                         std::string zone,
                         std::uint64_t incarnation,
                         std::uint64_t seed,
                         std::uint32_t sharedPlacementEntries)
    : executor(std::move(relayExecutor))
    , dialect(std::move(relayDialect))
    , entryName(std::move(name))
    , random(seed)
    , gossip(store_gossip::make({}))
    , health(upstream_health_tracker::make({}))
    , registry(upstream_registry::make({}, [this](const registration &run, upstream_change change) { onUpstreamChange(run, change); }))
    , pauses(upstream_pauses::make({}))
    , versions(version_history::make({}))
    , retryBudget(fleet_retry_budget::make(limit))
    , scheduler(engine_scheduler::make({}))
    , memory(net::memory_budget::make(net::budgetLimitsFor(net::systemMemoryBytes())))
    , access(metrics)
    , crashes(executor, crashHooks())
    , permits(executor, permitHooks(), entryName, seed)
    , quotas(executor, quotaHooks(), entryName, incarnation)
    , origins(executor, originHooks(), entryName)
    , placements(executor, placementHooks(), entryName, sharedPlacementEntries, seed)
    , reach(executor, reachHooks(), incarnation)
    , forwarding(request_forwarding::make({}, std::move(zone)))
{ }

engine_placements_hooks relay_state::placementHooks()
{
    engine_placements_hooks hooks;
    hooks.log = [this](log_level level, std::string event, std::vector<log_field> fields) { log(level, std::move(event), std::move(fields)); };
    hooks.send = [this](const engine_placement_message &message, std::string peerAddress) {
        if (sendToEntries) {
            sendToEntries(bodyOf(message), std::move(peerAddress));
        }
    };
    hooks.enginesOf = [this](const std::string &service, engine_phase phase) {
        const service_spec *spec = routes ? routes->service(service) : nullptr;
        const std::uint32_t memory = spec != nullptr && spec->engine ? spec->engine->memoryTokens : 0;
        std::vector<placement_engine> engines;
        for (const upstream_candidate &candidate : candidates(registry.usable(service, phase))) {
            engines.push_back({candidate.run->id, candidate.run->slots, memory, candidate.weight});
        }
        return engines;
    };
    hooks.count = [this](const std::string &outcome) {
        metrics.counter("heatherroute_engine_placements_total", "Requests for engines from the coordinators of pools, by outcome.", {{"outcome", outcome}})
            .value += 1;
    };
    hooks.showWaiting = [this](std::uint32_t priority, std::size_t waiting) {
        metrics
            .gauge("heatherroute_engine_placements_waiting",
                   "Requests for engines that wait at this entry as the coordinator, by priority.",
                   {{"priority", std::to_string(priority)}})
            .value = static_cast<double>(waiting);
    };
    hooks.showBusiest = [this](const std::string &pool, double share) {
        metrics.gauge("heatherroute_engine_busiest_share", "Share of its capacity in use at the busiest engine of a coordinated pool.", {{"pool", pool}})
            .value = share;
    };
    return hooks;
}

reach_monitor_hooks relay_state::reachHooks()
{
    reach_monitor_hooks hooks;
    hooks.log = [this](log_level level, std::string event, std::vector<log_field> fields) { log(level, std::move(event), std::move(fields)); };
    hooks.upstreamsOf = [this](const upstream_pool &pool) {
        std::vector<registration> upstreams;
        for (const registration *run : pool.phase ? registry.usable(pool.service, *pool.phase) : registry.usable(pool.service)) {
            upstreams.push_back(*run);
        }
        return upstreams;
    };
    hooks.send = [this](const entry_reach &statement, std::optional<std::string> peerAddress) {
        if (sendToEntries) {
            sendToEntries(statement, std::move(peerAddress));
        }
    };
    hooks.onCheckFailed = [this](const registration &run) { health.noteUnconnected(coreNow(), run.id); };
    hooks.onReachedAgain = [this](const upstream_pool &pool) {
        for (const registration *run : pool.phase ? registry.usable(pool.service, *pool.phase) : registry.usable(pool.service)) {
            health.endBackoff(run->id);
        }
    };
    return hooks;
}

stream_origins_hooks relay_state::originHooks()
{
    stream_origins_hooks hooks;
    hooks.send = [this](const stream_origin_message &message, std::string peerAddress) {
        if (sendToEntries) {
            sendToEntries(bodyOf(message), std::move(peerAddress));
        }
    };
    hooks.onlyVersion = [this](const sought_stream &sought) {
        return versions.onlyVersion(coreNow(), sought.askedAt, sought.service, registry.softwareVersions(sought.service), sought.window);
    };
    hooks.mayBeOnly = [this](const std::string &service) { return registry.softwareVersions(service).size() == 1; };
    hooks.readUpstreams = [this] {
        if (readUpstreams) {
            readUpstreams();
        }
    };
    hooks.record = [this](std::vector<stream_origin> origins, duration waited) {
        if (recordOrigins) {
            recordOrigins(std::move(origins), waited);
        }
    };
    hooks.hasSeveralVersions = [this](const std::string &service, duration window) { return versions.hasSeveral(coreNow(), service, window); };
    hooks.countRecord = [this](const std::string &outcome) {
        metrics.counter("heatherroute_stream_records_total", "Streams whose record in the store was requested at once, by outcome.", {{"outcome", outcome}})
            .value += 1;
    };
    hooks.hasShortHistory = [this](duration window) { return versions.currentTime(coreNow()) < window; };
    hooks.readRecords = [this](bool withVersions) {
        if (readOrigins) {
            readOrigins(withVersions);
        }
    };
    return hooks;
}

upstream_permits_hooks relay_state::permitHooks()
{
    upstream_permits_hooks hooks;
    hooks.log = [this](log_level level, std::string event, std::vector<log_field> fields) { log(level, std::move(event), std::move(fields)); };
    hooks.send = [this](const rate_limit_message &message, std::optional<std::string> peerAddress) {
        if (sendToEntries) {
            sendToEntries(bodyOf(message), std::move(peerAddress));
        }
    };
    hooks.count = [this](const std::string &outcome) {
        metrics.counter("heatherroute_permits_total", "Permits asked for calls to upstreams with a limit, by outcome.", {{"outcome", outcome}}).value += 1;
    };
    return hooks;
}

team_quotas_hooks relay_state::quotaHooks()
{
    team_quotas_hooks hooks;
    hooks.log = [this](log_level level, std::string event, std::vector<log_field> fields) { log(level, std::move(event), std::move(fields)); };
    hooks.send = [this](const team_quota_message &message, std::string peerAddress) {
        if (sendToEntries) {
            sendToEntries(bodyOf(message), std::move(peerAddress));
        }
    };
    hooks.count = [this](const std::string &team, const std::string &outcome) {
        metrics.counter("heatherroute_quota_total", "Requests charged to the quotas of teams, by team and outcome.", {{"team", team}, {"outcome", outcome}})
            .value += 1;
    };
    return hooks;
}

crash_monitor_hooks relay_state::crashHooks()
{
    crash_monitor_hooks hooks;
    hooks.log = [this](log_level level, std::string event, std::vector<log_field> fields) { log(level, std::move(event), std::move(fields)); };
    hooks.record = [this](crash_evidence evidence) {
        if (recordCrashes) {
            recordCrashes(std::move(evidence));
        }
    };
    hooks.isGone = [this](const upstream_instance &instance) {
        const registration *run = registry.find(instance.id);
        const bool isReplaced = run != nullptr && run->startedAt > instance.startedAt;
        return isReplaced || (run == nullptr && registry.isComplete() && registry.isAuthoritative(coreNow()));
    };
    return hooks;
}

void relay_state::onUpstreamChange(const registration &run, upstream_change change)
{
    crashes.onUpstreamChange(run, change);
    permits.noteInstance(run);
    origins.noteInstance(run);
    if (change == upstream_change::Removed) {
        versions.noteRemoved(coreNow(), run);
    } else {
        versions.noteRegistered(coreNow(), run);
    }
    if (change == upstream_change::Removed) {
        health.remove(run.id);
        permits.noteRemoved(run.id);
        m_malformedPauses.erase(run.id);
    } else if (change == upstream_change::Added || change == upstream_change::Restarted || change == upstream_change::Phase) {
        health.add(run);
    }
    if ((change == upstream_change::Draining || change == upstream_change::Leaving) && run.phase == engine_phase::Prefill) {
        plannerOf(run.service).noteLeaving(coreNow());
    }
    // Upstreams of the initial snapshot aren't announced, because every entry starts with a snapshot of its own.
    if (registry.isComplete() && isSeenInStore(change)) {
        gossip.noteChange(coreNow(), {run, change == upstream_change::Removed, std::nullopt});
    }
    log(log_level::Info,
        "upstream_changed",
        {upstreamField(run.id),
         {"change", toString(change)},
         {"service", run.service},
         {"software_version", run.softwareVersion},
         {"address", run.address},
         {"started_at", std::to_string(run.startedAt)},
         {"sequence", std::to_string(run.sequence)}});
}

void relay_state::announcePhaseMove(const registration &run, engine_phase to)
{
    notePhaseMove(run, to);
    upstream_update update;
    update.run = run;
    update.movingTo = to;
    gossip.noteUrgentChange(coreNow(), std::move(update));
}

void relay_state::notePhaseMove(const registration &run, engine_phase to)
{
    const instant now = coreNow();
    registry.onMoving(now, run.id, to);
    if (run.phase == to) {
        plannerOf(run.service).cancelMove(run.id);
    } else {
        plannerOf(run.service).noteMoving(now, run.id, to);
    }
}

send_permission relay_state::permissionFor(const registration &run) const
{
    const instant now = coreNow();
    return joinPermission(health.isReachable(now, run.id), pauses.left(now, {run.id, run.startedAt}), permits.waitFor(run));
}

std::vector<upstream_candidate> relay_state::candidates(const std::vector<const registration *> &runs) const
{
    std::vector<upstream_candidate> result;
    result.reserve(runs.size());
    for (const registration *run : runs) {
        if (!permissionFor(*run).isGranted()) {
            continue;
        }
        const auto found = inFlight.find(run->id);
        result.push_back({run, health.weight(run->id), found == inFlight.end() ? 0.0 : static_cast<double>(found->second)});
    }
    return result;
}

std::vector<registration> relay_state::askingToWait(const std::vector<const registration *> &runs) const
{
    std::vector<registration> result;
    for (const registration *run : runs) {
        if (permissionFor(*run).isAskedToWait()) {
            result.push_back(*run);
        }
    }
    return result;
}

duration relay_state::waitFor(const std::vector<registration> &runs) const
{
    duration shortest = duration::max();
    for (const registration &run : runs) {
        shortest = std::min(shortest, permissionFor(run).wait);
    }
    return shortest;
}

duration relay_state::nextReturn(const std::string &service, const std::vector<registration> &runs)
{
    std::vector<registration> limited;
    std::copy_if(
        runs.begin(), runs.end(), std::back_inserter(limited), [this](const registration &run) { return permissionFor(run).reason == hold_reason::Limit; });
    if (!limited.empty()) {
        return permits.nextReturn(service, limited);
    }
    return runs.empty() ? duration::zero() : waitFor(runs);
}

const char *relay_state::waitReason(const std::vector<registration> &runs) const
{
    const bool arePausing = std::all_of(runs.begin(), runs.end(), [this](const registration &run) { return permissionFor(run).reason == hold_reason::Pause; });
    return arePausing ? kPausingReason : kAtLimitReason;
}

void relay_state::observeAnswer(const registration &run, instant sentAt, const net::http_answer &head, std::string_view requestId)
{
    const answer_facts facts = dialect.readAnswer(head, run.id);
    if (facts.wrongInstance) {
        registry.onDisplaced(run.id);
        return;
    }
    const bool isOfRequest = !requestId.empty() && facts.requestId == requestId;
    permits.noteAnswer(run, sentAt, facts, isOfRequest);
    const upstream_instance instance{run.id, run.startedAt};
    if (facts.leaving) {
        registry.onLeaving(instance);
    }
    if (facts.malformedPause) {
        logMalformedPause(run, *facts.malformedPause);
    }
    if (facts.pause && pauses.note(coreNow(), instance, *facts.pause)) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(pauses.left(coreNow(), instance));
        log(log_level::Info, "upstream_pauses", {upstreamField(run.id), {"for_ms", std::to_string(left.count())}});
    }
}

void relay_state::logMalformedPause(const registration &run, const std::string &value)
{
    constexpr std::size_t kMaxKept = 256;
    if (m_malformedPauses.size() > kMaxKept) {
        m_malformedPauses.clear();
    }
    std::string &known = m_malformedPauses[run.id];
    if (known != value) {
        known = value;
        log(log_level::Warning, "upstream_pause_malformed", {upstreamField(run.id), {"value", value}});
    }
}

asio::awaitable<net::http_result> relay_state::callUpstream(registration run, net::http_call call)
{
    const instant sentAt = coreNow();
    if (pauses.left(sentAt, {run.id, run.startedAt}) > duration::zero()) {
        co_return net::http_result{std::nullopt, {verdict::NotRun, kNotSentReason}};
    }
    beginConnect(run, call);
    const auto exchange = net::http_exchange::make(executor, std::move(call));
    const net::http_exchange::head_hook observe = [this, run, sentAt](const net::http_answer &head) {
        observeAnswer(run, sentAt, head, {});
        return collectBody();
    };
    const net::http_exchange::body_hook ignore = [](std::string_view) -> asio::awaitable<void> { co_return; };
    net::http_result result = co_await exchange->run(observe, ignore);
    if (result.notConnected) {
        reach.noteFailed(run, sentAt, result.refused);
    }
    co_return result;
}

void relay_state::beginConnect(const registration &run, net::http_call &call)
{
    health.noteTried(coreNow(), run.id);
    call.onConnected = [this, run] {
        health.noteConnected(coreNow(), run.id);
        reach.noteConnected(run);
    };
}

void relay_state::noteFailedCall(const registration &run, const net::http_result &result)
{
    if (result.failure.reason == kNotSentReason || result.failure.reason == kKeyNotConfirmedReason) {
        return;
    }
    const instant startedAt(std::chrono::duration_cast<duration>(result.startedAt.time_since_epoch()));
    if (result.notConnected && reach.hasConnectedSince(run, startedAt)) {
        return;
    }
    if (!reach.isReached(poolOf(run))) {
        // This entry may have lost its own links, which says nothing about the upstream.
        health.noteUnconnected(coreNow(), run.id);
        return;
    }
    if (result.refused) {
        crashes.noteRefused(run);
    }
    if (result.failure.outcome == verdict::NotRun) {
        health.noteUnreachable(coreNow(), run.id);
    } else {
        health.noteFailure(coreNow(), run.id);
    }
}

bool relay_state::tryRetry(const std::string &service)
{
    const bool granted = retryBudget.tryRetry(coreNow(), service);
    const std::string outcome = granted ? "granted" : "refused";
    metrics.counter("heatherroute_retries_total", "Retries asked of the fleet's retry budget.", {{"outcome", outcome}, {"service", service}}).value += 1;
    return granted;
}

void relay_state::countQuarantineRefusal(const std::string &service)
{
    metrics.counter("heatherroute_quarantine_refusals_total", "Requests kept from upstreams by their quarantine.", {{"service", service}}).value += 1;
}

phase_planner &relay_state::plannerOf(const std::string &service)
{
    return planners.try_emplace(service, phase_planner::make({})).first->second;
}

void relay_state::log(log_level level, std::string event, std::vector<log_field> fields) const
{
    if (writeLog) {
        writeLog({level, std::move(event), std::move(fields)});
    }
}

double relay_state::sampleUniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

duration relay_state::expectedPlainLatency(const std::string &service) const
{
    const auto found = plainLatencies.find(service);
    const double seconds = found == plainLatencies.end() ? kDefaultPlainSeconds : found->second.value(kDefaultPlainSeconds);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void relay_state::notePlainLatency(const std::string &service, duration took)
{
    plainLatencies[service].observe(std::chrono::duration<double>(took).count(), kPlainLatencyGain);
}

bool relay_state::mayBegin(const std::string &service, const call_length &call, duration before) const
{
    if (!stop.isStopping()) {
        return true;
    }
    observed_call_times observed;
    if (const auto known = m_callTimes.find({service, call.kind}); known != m_callTimes.end()) {
        observed.usual = known->second.upperBound();
    }
    if (const auto known = m_streamTimes.find(service); known != m_streamTimes.end()) {
        observed.atMost = known->second.upperBound(call.maxOutputTokens);
    }
    return stop.mayBegin(bootNow(), std::min(before + timeNeededFor(call, observed), call.timeLeft));
}

void relay_state::noteStreamTime(const std::string &service, duration firstAfter, duration took, std::uint64_t events)
{
    const auto [known, isNew] = m_streamTimes.try_emplace(service, stream_time_estimate::make({}));
    known->second.note(firstAfter, took, events);
}

void relay_state::noteCallTime(const std::string &service, route_kind kind, duration took)
{
    const auto [known, isNew] = m_callTimes.try_emplace({service, kind}, call_time_estimate::make({}));
    known->second.note(took);
}

std::optional<duration> relay_state::retryElsewhereAfter(duration timeLeft)
{
    return retryAfterDelay(kElsewhereRetryAfter, duration::zero(), timeLeft, sampleUniform());
}

} // namespace heatherroute::node
