#include "heatherroute/router_core.h"

#include <algorithm>
#include <type_traits>

#include "core/cancel_queue.h"
#include "core/config_flow.h"
#include "core/core_context.h"
#include "core/engine_selector.h"
#include "core/generation_flow.h"
#include "core/load_flow.h"
#include "core/service_flow.h"
#include "core/state_dump.h"
#include "core/upstream_table.h"
#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr duration kRetryAfterStop = std::chrono::seconds(1);

} // namespace

class router_core::impl
{
public:
    impl(core_options options, std::unique_ptr<config_replica> replica)
        : m_context(std::move(options))
        , m_configuration(m_context, m_upstreams, std::move(replica))
        , m_cancels(m_context)
        , m_engines(m_context, m_upstreams)
        , m_loads(m_context, m_upstreams, m_engines)
        , m_generations(m_context, m_upstreams, m_engines, m_cancels)
        , m_services(m_context, m_upstreams, [this](const service_requested &request) { return isIdempotent(request); })
    { }

    std::vector<core_action> handle(instant now, core_event event)
    {
        HR_ASSERT(now >= m_context.now());
        m_context.begin(now);
        std::visit([this](auto &typed) { on(typed); }, event);
        endIfStopped();
        return m_context.takeActions();
    }

private:
    void on(tick &)
    {
        m_configuration.onTick();
        m_loads.onTick();
        m_generations.onTick();
        m_services.onTick();
        m_cancels.onTick();
    }

    void on(generation_requested &event)
    {
        if (admits(event.caller)) {
            m_generations.onRequest(std::move(event));
        }
    }

    void on(service_requested &event)
    {
        if (admits(event.caller)) {
            m_services.onRequest(std::move(event));
        }
    }

    void on(entries_requested &event)
    {
        m_context.emit(answer_document{event.caller, 200, dumpEntries(m_context.options(), m_stopping)});
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

    void on(stop_requested &)
    {
        if (m_stopping) {
            cutAll("a second stop was asked for");
            return;
        }
        m_stopping = true;
        m_stopBy = m_context.now() + m_context.options().stopLimit;
        m_context.log(log_level::Info, "stopping", {{"in_flight", std::to_string(inFlight())}});
    }

    void on(dump_requested &event)
    {
        const core_counts counts{m_generations.size(), m_services.size(), m_cancels.size(), m_stopping};
        const config_replica &replica = m_configuration.replica();
        const config_status status = config_status::make(replica, m_context.now());
        m_context.emit(answer_document{event.caller, 200, dumpState(m_context.options(), counts, status, m_upstreams)});
    }

    void on(owner_requested &event)
    {
        const upstream_table::entry *known = m_upstreams.find(event.upstreamName);
        if (known == nullptr) {
            m_context.emit(fail_caller{event.caller, 404, "unknown_upstream", "no such upstream in this half", verdict::NotRun, std::nullopt});
            return;
        }
        m_context.emit(answer_document{event.caller, 200, dumpUpstream(*known)});
    }

    void on(log_read &event)
    {
        m_configuration.onLogRead(event);
    }

    void on(log_forgotten &event)
    {
        m_configuration.onLogForgotten(event);
    }

    void on(log_unavailable &event)
    {
        m_configuration.onLogUnavailable(event);
    }

    void on(load_reported &event)
    {
        m_loads.onReported(event);
    }

    bool admits(caller_id caller)
    {
        if (m_configuration.replica().isCutOff(m_context.now())) {
            m_context.emit(fail_caller{caller, 503, "configuration_unknown", "this entry cannot tell its configuration now", verdict::NotRun, kRetryAfterStop});
            return false;
        }
        if (m_stopping) {
            m_context.emit(fail_caller{caller, 503, "entry_stopping", "this entry takes no new work", verdict::NotRun, kRetryAfterStop});
            return false;
        }
        if (inFlight() >= m_context.options().maxRequests) {
            m_context.emit(fail_caller{caller, 503, "entry_full", "too many requests in flight at this entry", verdict::NotRun, kRetryAfterStop});
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

    void cutAll(const std::string &why)
    {
        m_context.log(log_level::Warning, "requests_cut", {{"count", std::to_string(inFlight())}, {"reason", why}});
        m_generations.cutAll();
        m_services.cutAll();
    }

    void endIfStopped()
    {
        if (!m_stopping || m_ended) {
            return;
        }
        if (m_context.now() >= m_stopBy && inFlight() > 0) {
            cutAll("the stop took too long");
        }
        if (inFlight() > 0 || (m_cancels.size() > 0 && m_context.now() < m_stopBy)) {
            return;
        }
        m_ended = true;
        m_context.log(log_level::Info, "stopped", {});
        m_context.emit(stop_process{0});
    }

    core_context m_context;
    upstream_table m_upstreams;
    config_flow m_configuration;
    cancel_queue m_cancels;
    engine_selector m_engines;
    load_flow m_loads;
    generation_flow m_generations;
    service_flow m_services;
    bool m_stopping = false;
    bool m_ended = false;
    instant m_stopBy{};
};

std::unique_ptr<router_core> router_core::make(core_options options, last_reason *reason)
{
    if (options.entryName.empty() || options.half.empty()) {
        setReason(reason, "an entry needs a name and a half");
        return nullptr;
    }
    auto replica = config_replica::make(options.configuration, options.seed, reason);
    if (!replica) {
        return nullptr;
    }
    return std::unique_ptr<router_core>(new router_core(std::make_unique<impl>(std::move(options), std::move(replica))));
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
