#include "core/service_handler.h"

#include <algorithm>

#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace
{

constexpr unsigned kAttemptLimit = 3;
constexpr duration kRetryAfter = std::chrono::seconds(1);
constexpr unsigned kFirstClientError = 400;

} // namespace

service_handler::service_handler(core_context &context, upstream_table &upstreams, crash_handler &crashes, idempotency_hook isIdempotent)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_crashes(crashes)
    , m_isIdempotent(std::move(isIdempotent))
    , m_keys(idempotency_limits{})
{ }

void service_handler::onRequest(service_requested request)
{
    const caller_id caller = request.caller;
    if (!m_upstreams.serves(upstream_kind::PlainService, request.service)) {
        m_context.emit(fail_caller{caller, 404, "unknown_service", "no upstream serves this service", verdict::NotRun, std::nullopt});
        return;
    }
    const request_fingerprints fingerprints{fingerprintOf({{}, request.method, request.service, request.path, request.body}), {}};
    if (const duration left = m_crashes.admit(fingerprints).refusedFor; left > duration::zero()) {
        m_context.emit(fail_caller{caller, 503, "quarantined", "upstreams have crashed under this request", verdict::NotRun, left});
        return;
    }
    call work;
    work.fingerprints = fingerprints;
    work.deadline = m_context.now() + request.traits.deadline.value_or(m_context.options().defaultDeadline);
    work.idempotent = m_isIdempotent(request);
    work.request = std::move(request);
    if (!claimKey(work)) {
        return;
    }
    const upstream_table::entry *target = chooseUpstream(work);
    if (target == nullptr) {
        settleKey(work);
        m_context.emit(fail_caller{caller, 503, "no_capacity", "no upstream of this service has room now", verdict::NotRun, kRetryAfter});
        return;
    }
    call &stored = m_calls.emplace(caller, std::move(work)).first->second;
    m_timers.set(caller, stored.deadline);
    start(stored, *target);
}

bool service_handler::claimKey(call &work)
{
    const request_traits &traits = work.request.traits;
    if (work.idempotent || traits.idempotencyKey.empty()) {
        return true;
    }
    idempotency_key key{traits.team, work.request.service, traits.idempotencyKey};
    const key_state known = m_keys.claim(m_context.now(), key, fingerprintOf({{}, work.request.method, {}, work.request.path, work.request.body}));
    if (known != key_state::New) {
        answerDuplicate(work.request.caller, key, known);
        return false;
    }
    work.key = std::move(key);
    return true;
}

void service_handler::answerDuplicate(caller_id caller, const idempotency_key &key, key_state known)
{
    if (const stored_answer *kept = m_keys.answer(key); known == key_state::Answered && kept != nullptr) {
        m_context.emit(finish_service_call{caller, kept->status, kept->contentType, kept->body});
        return;
    }
    if (known == key_state::TableFull) {
        m_context.emit(fail_caller{caller, 503, "keys_full", "no more idempotency keys can be remembered now", verdict::NotRun, kRetryAfter});
        return;
    }
    if (known == key_state::OtherRequest) {
        m_context.emit(fail_caller{caller, 422, "key_reused", "the idempotency key belongs to a different request", verdict::NotRun, std::nullopt});
        return;
    }
    if (known == key_state::AnswerDropped) {
        m_context.emit(fail_caller{caller, 409, "already_ran", "the request ran; its answer is no longer known", verdict::Ran, std::nullopt});
        return;
    }
    const std::string code = known == key_state::InFlight ? "in_progress" : "outcome_unknown";
    m_context.emit(fail_caller{caller, 409, code, "an earlier request with this key may have run", verdict::MayHaveRun, std::nullopt});
}

void service_handler::settleKey(call &work)
{
    if (!work.key) {
        return;
    }
    if (work.outcome == verdict::NotRun) {
        m_keys.release(*work.key);
    } else {
        m_keys.recordUnknown(m_context.now(), *work.key);
    }
    work.key.reset();
}

const upstream_table::entry *service_handler::chooseUpstream(const call &work) const
{
    const upstream_table::entry *best = nullptr;
    for (const upstream_table::entry *candidate : m_upstreams.candidates(m_context.now(), upstream_kind::PlainService, work.request.service)) {
        const bool excluded = std::find(work.excludedUpstreams.begin(), work.excludedUpstreams.end(), candidate->config.name) != work.excludedUpstreams.end();
        if (excluded || candidate->used.slots >= candidate->config.slots) {
            continue;
        }
        if (best == nullptr || candidate->used.slots < best->used.slots) {
            best = candidate;
        }
    }
    return best;
}

void service_handler::start(call &work, const upstream_table::entry &target)
{
    work.sentAt = m_context.now();
    ++work.attempts;
    work.upstreamName = target.config.name;
    m_upstreams.reserve(work.upstreamName, 0);
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

void service_handler::onAnswered(service_answered event)
{
    call *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return;
    }
    m_upstreams.connects().noteAnswered(work->upstreamName);
    m_context.log(log_level::Info,
                  "service_call_finished",
                  {requestIdField(work->request.traits.requestName),
                   upstreamField(work->upstreamName),
                   {"status", std::to_string(event.status)},
                   verdictField(verdict::Ran)});
    if (event.status < kFirstClientError) {
        // An upstream may answer with an error without running the request.
        m_crashes.onCompleted(work->fingerprints);
    }
    if (work->key) {
        m_keys.recordAnswer(m_context.now(), *work->key, {event.status, event.contentType, event.body});
        work->key.reset();
    }
    m_context.emit(finish_service_call{work->request.caller, event.status, std::move(event.contentType), std::move(event.body)});
    finish(*work);
}

bool service_handler::onAttemptFailed(const attempt_failed &event)
{
    call *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return false;
    }
    work->outcome = combine(work->outcome, event.outcome);
    work->excludedUpstreams.push_back(work->upstreamName);
    const upstream_table::entry *failed = m_upstreams.find(work->upstreamName);
    m_crashes.onAttemptFailed(work->upstreamName, failed != nullptr ? failed->config.address : std::string(), work->fingerprints, work->sentAt, event);
    if (event.failure == attempt_failure::Unreachable) {
        m_upstreams.connects().noteUnreachable(m_context.now(), work->upstreamName);
        --work->attempts; // The number of upstreams bounds such attempts.
    }
    const bool inTime = m_context.now() < work->deadline;
    const bool isQuarantined = m_crashes.quarantinedFor(work->fingerprints) > duration::zero();
    const bool mayRetry = (work->outcome == verdict::NotRun || work->idempotent) && !isQuarantined;
    const upstream_table::entry *target = mayRetry && inTime && work->attempts < kAttemptLimit ? chooseUpstream(*work) : nullptr;
    if (target == nullptr) {
        fail(*work, 502, "upstream_failed", event.reason);
        return true;
    }
    m_attempts.erase(work->attempt);
    m_upstreams.release(work->upstreamName, 0);
    start(*work, *target);
    return true;
}

void service_handler::onCallerGone(caller_id caller)
{
    const auto found = m_calls.find(caller);
    if (found == m_calls.end()) {
        return;
    }
    found->second.outcome = combine(found->second.outcome, verdict::MayHaveRun);
    finish(found->second);
}

void service_handler::onTick()
{
    for (const caller_id caller : m_timers.takeDue(m_context.now())) {
        call &work = m_calls.at(caller);
        work.outcome = combine(work.outcome, verdict::MayHaveRun);
        fail(work, 504, "deadline_exceeded", "the request's deadline has passed");
    }
}

void service_handler::fail(call &work, unsigned status, const std::string &code, const std::string &message)
{
    m_context.log(log_level::Warning,
                  "service_call_failed",
                  {requestIdField(work.request.traits.requestName), upstreamField(work.upstreamName), {"code", code}, verdictField(work.outcome)});
    // A call that is not idempotent and may have run gets no Retry-After, which would invite the caller to repeat it.
    const bool mayRetry = work.outcome == verdict::NotRun || work.idempotent;
    const duration wait = std::max(kRetryAfter, m_crashes.quarantinedFor(work.fingerprints));
    const auto retryAfter = mayRetry ? std::optional<duration>(wait) : std::nullopt;
    m_context.emit(fail_caller{work.request.caller, status, code, message, work.outcome, retryAfter});
    finish(work);
}

void service_handler::finish(call &work)
{
    const caller_id caller = work.request.caller;
    settleKey(work);
    m_context.emit(abandon_attempt{work.attempt});
    m_attempts.erase(work.attempt);
    m_upstreams.release(work.upstreamName, 0);
    m_timers.erase(caller);
    m_calls.erase(caller);
}

void service_handler::abortAll()
{
    while (!m_calls.empty()) {
        call &work = m_calls.begin()->second;
        work.outcome = combine(work.outcome, verdict::MayHaveRun);
        fail(work, 503, "entry_stopped", "the entry ends before the answer is complete");
    }
}

std::size_t service_handler::size() const noexcept
{
    return m_calls.size();
}

service_handler::call *service_handler::findByAttempt(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &m_calls.at(found->second);
}

} // namespace heatherroute
