#include "heatherroute/router_core.h"

#include <algorithm>
#include <type_traits>

#include "core/cancel_queue.h"
#include "core/config_exchange.h"
#include "core/config_handler.h"
#include "core/core_context.h"
#include "core/crash_handler.h"
#include "core/engine_selector.h"
#include "core/entry_directory.h"
#include "core/generation_handler.h"
#include "core/load_poller.h"
#include "core/membership_handler.h"
#include "core/owner_directory.h"
#include "core/service_handler.h"
#include "core/state_dump.h"
#include "core/upstream_table.h"
#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr duration kRetryAfterRejected = std::chrono::seconds(1);
constexpr duration kSummaryInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxLoadPermille = 1000;

} // namespace

class router_core::impl
{
public:
    impl(core_options options, std::unique_ptr<config_replica> replica, std::unique_ptr<membership> group)
        : m_context(std::move(options))
        , m_configuration(m_context, m_upstreams, std::move(replica))
        , m_exchange(m_context, m_configuration)
        , m_members(m_context, std::move(group), [this](const member_change &change) { onMember(change); })
        , m_cancels(m_context)
        , m_engines(m_context, m_upstreams)
        , m_loads(m_context, m_upstreams, m_engines)
        , m_crashes(m_context)
        , m_generations(m_context, m_upstreams, m_engines, m_cancels, m_crashes)
        , m_services(m_context, m_upstreams, m_crashes, [this](const service_requested &request) { return isIdempotent(request); })
    {
        m_upstreams.setAdmissionCheck([this] { return !isCutOff(); });
        m_configuration.setPullHandler([this](const request_from_peer &request) { m_exchange.pull(request); });
        m_configuration.setUpstreamHook([this](const std::string &name, const upstream *config) { m_owners.setUpstream(name, config); });
        m_owners.setMember(m_members.self());
    }

    std::vector<core_action> handle(instant now, core_event event)
    {
        HR_ASSERT(now >= m_context.now());
        m_context.begin(now);
        std::visit([this](auto &typed) { on(typed); }, event);
        stopIfDrained();
        return m_context.takeActions();
    }

private:
    void on(tick &)
    {
        m_members.onTick();
        m_exchange.onTick();
        m_configuration.onTick();
        publishSummary();
        logCutOffChange();
        m_loads.onTick();
        m_generations.onTick();
        m_services.onTick();
        m_cancels.onTick();
        m_crashes.onTick();
    }

    void on(generation_requested &event)
    {
        if (admitOrReject(event.caller)) {
            m_generations.onRequest(std::move(event));
        }
    }

    void on(service_requested &event)
    {
        if (admitOrReject(event.caller)) {
            m_services.onRequest(std::move(event));
        }
    }

    void on(entries_requested &event)
    {
        const member self = m_members.self();
        std::vector<const member *> known;
        for (const auto &[id, other] : m_members.others()) {
            known.push_back(&other);
        }
        if (!m_stopping && !isCutOff()) {
            known.push_back(&self);
        }
        std::vector<const member *> listed = entriesFor({event.callerHost, event.zone}, m_context.options().half, known);
        if (listed.empty() && !m_stopping) {
            listed.push_back(&self);
        }
        m_context.emit(answer_document{event.caller, 200, dumpEntries(m_context.options(), listed)});
    }

    void on(caller_gone &event)
    {
        m_generations.onCallerGone(event.caller);
        m_services.onCallerGone(event.caller);
    }

    void on(prefill_finished &event)
    {
        m_generations.onPrefillFinished(event);
    }

    void on(tokens_received &event)
    {
        m_generations.onTokens(event);
    }

    void on(decode_finished &event)
    {
        m_generations.onDecodeFinished(event);
    }

    void on(service_answered &event)
    {
        m_services.onAnswered(std::move(event));
    }

    void on(attempt_failed &event)
    {
        if (!m_generations.onAttemptFailed(event)) {
            m_services.onAttemptFailed(event);
        }
    }

    void on(cancel_finished &event)
    {
        m_cancels.onFinished(event);
    }

    void on(stop_requested &event)
    {
        const bool secondSignal = event.origin == stop_origin::Signal && m_stopSignalled;
        m_stopSignalled = m_stopSignalled || event.origin == stop_origin::Signal;
        if (secondSignal) {
            abortAll("a second stop signal was received");
        }
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stopDeadline = m_context.now() + m_context.options().stopLimit;
        m_members.leave();
        m_owners.setMember(m_members.self());
        m_context.log(log_level::Info, "stopping", {{"in_flight", std::to_string(inFlight())}});
    }

    void on(dump_requested &event)
    {
        const core_counts counts{m_generations.size(), m_services.size(), m_cancels.size(), m_stopping};
        const config_replica &replica = m_configuration.replica();
        const config_status status = config_status::make(replica, m_context.now());
        m_context.emit(answer_document{event.caller, 200, dumpState(m_context.options(), counts, status, m_upstreams, memberStatus())});
    }

    void on(owner_requested &event)
    {
        const std::optional<std::string> half = m_owners.halfOf(event.upstreamName);
        const upstream_table::entry *known = m_upstreams.find(event.upstreamName);
        if (!half && known == nullptr) {
            m_context.emit(fail_caller{event.caller, 404, "unknown_upstream", "no such upstream", verdict::NotRun, std::nullopt});
            return;
        }
        const upstream_owner_info info{event.upstreamName, half, m_owners.ownerOf(event.upstreamName)};
        m_context.emit(answer_document{event.caller, 200, dumpUpstream(info, known)});
    }

    void on(peer_received &event)
    {
        m_members.onMessage(event);
        m_exchange.onMessage(event);
        m_crashes.onMessage(event);
    }

    void on(vms_listed &event)
    {
        m_members.onVms(event);
    }

    void onMember(const member_change &change)
    {
        m_owners.setMember(change.now);
        m_exchange.onMember(change);
        m_crashes.onMember(change);
    }

    bool isCutOff() const
    {
        return m_configuration.replica().isCutOff(m_context.now());
    }

    void publishSummary()
    {
        if (m_context.now() < m_nextSummary) {
            return;
        }
        m_nextSummary = m_context.now() + kSummaryInterval;
        const config_state &state = m_configuration.replica().state();
        node_summary summary;
        summary.configRevision = state.revision().value_or(0);
        summary.configDigest = state.digest();
        const std::size_t maxRequests = std::max<std::size_t>(m_context.options().maxRequests, 1);
        summary.loadPermille = static_cast<std::uint32_t>(std::min(inFlight() * kMaxLoadPermille / maxRequests, kMaxLoadPermille));
        m_members.setSummary(summary);
    }

    void logCutOffChange()
    {
        const bool cutOff = isCutOff();
        if (cutOff == m_wasCutOff) {
            return;
        }
        m_wasCutOff = cutOff;
        m_context.log(cutOff ? log_level::Warning : log_level::Info, cutOff ? "cut_off" : "not_cut_off", {});
    }

    std::vector<member_status> memberStatus() const
    {
        std::vector<member_status> result;
        if (m_members.group() == nullptr) {
            return result;
        }
        for (member &known : m_members.group()->dump().members) {
            member_status status{std::move(known), std::nullopt, std::nullopt};
            if (const auto position = m_exchange.positionOf(status.known.id)) {
                status.configNext = position->second;
                status.configAge = m_context.now() - position->first;
            }
            result.push_back(std::move(status));
        }
        return result;
    }

    void on(log_read &event)
    {
        m_configuration.onLogRead(event);
    }

    void on(log_truncated &event)
    {
        m_configuration.onLogTruncated(event);
    }

    void on(log_unavailable &event)
    {
        m_configuration.onLogUnavailable(event);
    }

    void on(load_reported &event)
    {
        m_loads.onReported(event);
    }

    void on(upstream_checked &event)
    {
        m_crashes.onChecked(event);
        m_generations.onChecked(event.upstreamName);
    }

    bool admitOrReject(caller_id caller)
    {
        if (isCutOff()) {
            m_context.emit(
                fail_caller{caller, 503, "configuration_unknown", "this entry cannot tell its configuration now", verdict::NotRun, kRetryAfterRejected});
            return false;
        }
        if (m_stopping) {
            m_context.emit(fail_caller{caller, 503, "entry_stopping", "this entry takes no new work", verdict::NotRun, kRetryAfterRejected});
            return false;
        }
        if (inFlight() >= m_context.options().maxRequests) {
            m_context.emit(fail_caller{caller, 503, "entry_full", "too many requests in flight at this entry", verdict::NotRun, kRetryAfterRejected});
            return false;
        }
        return true;
    }

    bool isIdempotent(const service_requested &request) const
    {
        const service_route *best = nullptr;
        for (const auto &[key, written] : m_configuration.replica().state().rules()) {
            const auto *route = std::get_if<service_route>(&written.value);
            const bool matches = route != nullptr && route->service == request.service && request.path.starts_with(route->pathPrefix);
            if (matches && (best == nullptr || route->pathPrefix.size() > best->pathPrefix.size())) {
                best = route;
            }
        }
        if (best == nullptr) {
            return false;
        }
        return std::binary_search(best->idempotentMethods.begin(), best->idempotentMethods.end(), request.method);
    }

    std::size_t inFlight() const noexcept
    {
        return m_generations.size() + m_services.size();
    }

    void abortAll(const std::string &reason)
    {
        m_context.log(log_level::Warning, "requests_aborted", {{"count", std::to_string(inFlight())}, {"reason", reason}});
        m_generations.abortAll();
        m_services.abortAll();
    }

    void stopIfDrained()
    {
        if (!m_stopping || m_stopped) {
            return;
        }
        if (m_context.now() >= m_stopDeadline && inFlight() > 0) {
            abortAll("the graceful stop exceeded its time limit");
        }
        if (inFlight() > 0 || (m_cancels.size() > 0 && m_context.now() < m_stopDeadline)) {
            return;
        }
        m_stopped = true;
        m_members.depart();
        m_context.log(log_level::Info, "stopped", {});
        m_context.emit(stop_process{0});
    }

    core_context m_context;
    upstream_table m_upstreams;
    config_handler m_configuration;
    owner_directory m_owners;
    config_exchange m_exchange;
    membership_handler m_members;
    cancel_queue m_cancels;
    engine_selector m_engines;
    load_poller m_loads;
    crash_handler m_crashes;
    generation_handler m_generations;
    service_handler m_services;
    bool m_stopping = false;
    bool m_stopSignalled = false;
    bool m_stopped = false;
    bool m_wasCutOff = true;
    instant m_nextSummary{};
    instant m_stopDeadline{};
};

std::unique_ptr<router_core> router_core::make(core_options options, last_reason *reason)
{
    if (options.entryName.empty() || options.half.empty()) {
        setReason(reason, "the entry name and the half must not be empty");
        return nullptr;
    }
    auto replica = config_replica::make(options.configuration, options.seed, reason);
    if (!replica) {
        return nullptr;
    }
    std::unique_ptr<membership> group;
    if (!options.peerAddress.empty()) {
        group = membership::make(options.membership, selfOf(options), options.seed, reason);
        if (!group) {
            return nullptr;
        }
    }
    return std::unique_ptr<router_core>(new router_core(std::make_unique<impl>(std::move(options), std::move(replica), std::move(group))));
}

router_core::router_core(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

router_core::~router_core() = default;

std::vector<core_action> router_core::handle(instant now, core_event event)
{
    return m_impl->handle(now, std::move(event));
}

} // namespace heatherroute
