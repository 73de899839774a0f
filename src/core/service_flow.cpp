#include "core/service_flow.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr unsigned kMaxTries = 3;
constexpr duration kRetryAfter = std::chrono::seconds(1);

} // namespace

service_flow::service_flow(core_context &context, upstream_table &upstreams, idempotency_hook isIdempotent)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_isIdempotent(std::move(isIdempotent))
{ }

void service_flow::onRequest(service_requested request)
{
    const caller_id caller = request.caller;
    if (!m_upstreams.serves(upstream_kind::PlainService, request.service)) {
        m_context.emit(fail_caller{caller, 404, "unknown_service", "no upstream serves this service", verdict::NotRun, std::nullopt});
        return;
    }
    call work;
    work.deadline = m_context.now() + request.traits.deadline.value_or(m_context.options().defaultDeadline);
    work.idempotent = m_isIdempotent(request);
    work.request = std::move(request);
    const upstream_table::entry *target = choose(work);
    if (target == nullptr) {
        m_context.emit(fail_caller{caller, 503, "no_capacity", "no upstream of this service has room now", verdict::NotRun, kRetryAfter});
        return;
    }
    call &stored = m_calls.emplace(caller, std::move(work)).first->second;
    m_timers.set(caller, stored.deadline);
    start(stored, *target);
}

const upstream_table::entry *service_flow::choose(const call &work) const
{
    const upstream_table::entry *best = nullptr;
    for (const upstream_table::entry *candidate : m_upstreams.candidates(upstream_kind::PlainService, work.request.service)) {
        const bool avoided = std::find(work.avoid.begin(), work.avoid.end(), candidate->config.name) != work.avoid.end();
        if (avoided || candidate->used.slots >= candidate->config.slots) {
            continue;
        }
        if (best == nullptr || candidate->used.slots < best->used.slots) {
            best = candidate;
        }
    }
    return best;
}

void service_flow::start(call &work, const upstream_table::entry &target)
{
    ++work.tries;
    work.upstreamName = target.config.name;
    m_upstreams.take(work.upstreamName, 0);
    work.attempt = m_context.nextAttempt();
    m_attempts[work.attempt] = work.request.caller;
    m_context.emit(start_service_call{work.attempt,
                                      target.config.address,
                                      work.request.method,
                                      work.request.path,
                                      work.request.contentType,
                                      work.request.body,
                                      work.request.traits.idempotencyKey,
                                      work.deadline - m_context.now()});
}

void service_flow::onAnswered(service_answered event)
{
    call *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return;
    }
    m_context.log(log_level::Info,
                  "service_call_finished",
                  {requestIdField(work->request.traits.requestName),
                   upstreamField(work->upstreamName),
                   {"status", std::to_string(event.status)},
                   verdictField(verdict::Ran)});
    m_context.emit(finish_service_call{work->request.caller, event.status, std::move(event.contentType), std::move(event.body)});
    finish(*work);
}

bool service_flow::onAttemptFailed(const attempt_failed &event)
{
    call *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return false;
    }
    work->outcome = combine(work->outcome, event.outcome);
    work->avoid.push_back(work->upstreamName);
    const bool mayRepeat = work->outcome == verdict::NotRun || work->idempotent;
    const upstream_table::entry *target = mayRepeat && work->tries < kMaxTries ? choose(*work) : nullptr;
    if (target == nullptr) {
        fail(*work, 502, "upstream_failed", event.reason);
        return true;
    }
    m_attempts.erase(work->attempt);
    m_upstreams.giveBack(work->upstreamName, 0);
    start(*work, *target);
    return true;
}

void service_flow::onCallerGone(caller_id caller)
{
    const auto found = m_calls.find(caller);
    if (found != m_calls.end()) {
        finish(found->second);
    }
}

void service_flow::onTick()
{
    for (const caller_id caller : m_timers.takeDue(m_context.now())) {
        call &work = m_calls.at(caller);
        work.outcome = combine(work.outcome, verdict::MayHaveRun);
        fail(work, 504, "deadline_exceeded", "the request's deadline has passed");
    }
}

void service_flow::fail(call &work, unsigned status, const std::string &code, const std::string &message)
{
    m_context.log(log_level::Warning,
                  "service call failed",
                  {requestIdField(work.request.traits.requestName), upstreamField(work.upstreamName), {"code", code}, verdictField(work.outcome)});
    m_context.emit(fail_caller{work.request.caller, status, code, message, work.outcome, kRetryAfter});
    finish(work);
}

void service_flow::finish(call &work)
{
    const caller_id caller = work.request.caller;
    m_context.emit(abandon_attempt{work.attempt});
    m_attempts.erase(work.attempt);
    m_upstreams.giveBack(work.upstreamName, 0);
    m_timers.erase(caller);
    m_calls.erase(caller);
}

void service_flow::cutAll()
{
    while (!m_calls.empty()) {
        call &work = m_calls.begin()->second;
        work.outcome = combine(work.outcome, verdict::MayHaveRun);
        fail(work, 503, "entry_stopped", "the entry ends before the answer is complete");
    }
}

std::size_t service_flow::size() const noexcept
{
    return m_calls.size();
}

service_flow::call *service_flow::findByAttempt(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &m_calls.at(found->second);
}

} // namespace heatherroute
