#include "core/generation_handler.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/prompt_parts.h"
#include "heatherroute/assert.h"
#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace
{

constexpr unsigned kAttemptLimit = 5;
constexpr duration kPrefillTimeout = std::chrono::seconds(30);
/// Longer than a check of an upstream takes.
constexpr duration kMaxCheckWait = std::chrono::seconds(1);
constexpr std::uint32_t kMaxOutputTokens = 32'768;
constexpr unsigned kFirstServerError = 500;

/// Counts the words separated by white space, which is how the engines count tokens.
std::uint32_t countTokens(const std::string &text)
{
    std::uint32_t count = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool blank = c == ' ' || c == '\n' || c == '\t' || c == '\r';
        if (!blank && !inWord) {
            ++count;
        }
        inWord = !blank;
    }
    return count;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

generation_handler::generation_handler(
    core_context &context, const upstream_table &upstreams, engine_selector &engines, cancel_queue &cancels, crash_handler &crashes)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_engines(engines)
    , m_cancels(cancels)
    , m_crashes(crashes)
{ }

void generation_handler::onRequest(generation_requested request)
{
    const caller_id caller = request.caller;
    const std::string invalid = validationError(request);
    if (!invalid.empty()) {
        reject(caller, 400, "invalid_request", invalid, std::nullopt);
        return;
    }
    if (!m_upstreams.serves(upstream_kind::DecodeEngine, request.model)) {
        reject(caller, 404, "unknown_model", "no upstream serves this model", std::nullopt);
        return;
    }
    const std::string maxTokens = std::to_string(request.maxTokens);
    request_fingerprints fingerprints{fingerprintOf({{}, "generate", request.model, maxTokens, request.prompt}), promptPartsOf(request.model, request.prompt)};
    if (const duration left = m_crashes.admit(fingerprints).refusedFor; left > duration::zero()) {
        reject(caller, 503, "quarantined", "upstreams have crashed under this request, or under others with a part of its prompt", left);
        return;
    }
    generation work;
    work.fingerprints = std::move(fingerprints);
    work.deadline = m_context.now() + request.traits.deadline.value_or(m_context.options().defaultDeadline);
    work.request = std::move(request);
    if (!reserveEngines(work)) {
        reject(caller, 503, "no_capacity", "no engine has room now", m_engines.retryAfter());
        return;
    }
    generation &stored = m_generations.emplace(caller, std::move(work)).first->second;
    startPrefill(stored);
}

std::string generation_handler::validationError(const generation_requested &request) const
{
    if (request.maxTokens == 0 || request.maxTokens > kMaxOutputTokens) {
        return "max_tokens must be from 1 to " + std::to_string(kMaxOutputTokens);
    }
    if (request.prompt.empty()) {
        return "prompt must not be empty";
    }
    return {};
}

engine_requirements generation_handler::requirementsOf(const generation &work)
{
    engine_requirements requirements;
    requirements.model = work.request.model;
    const std::uint32_t promptTokens = countTokens(work.request.prompt);
    requirements.promptTokens = promptTokens + work.delivered;
    requirements.totalTokens = promptTokens + work.request.maxTokens;
    requirements.priority = work.request.traits.priority.value_or(priority_class::Interactive);
    requirements.excludedEngines = work.excludedEngines;
    return requirements;
}

bool generation_handler::reserveEngines(generation &work)
{
    const auto pair = m_engines.reservePair(requirementsOf(work));
    if (!pair) {
        return false;
    }
    work.decodeName = pair->decode.name;
    work.decodeAddress = pair->decode.address;
    work.pieces = pair->pieces;
    work.progress = pair->progress;
    work.prefillName = pair->prefill.name;
    work.prefillAddress = pair->prefill.address;
    return true;
}

void generation_handler::startPrefill(generation &work)
{
    work.phase = generation_phase::Prefilling;
    ++work.attempts;
    setAttempt(work);
    work.sentAt = m_context.now();
    work.engineRequest = m_context.engineRequest(work.attempt);
    m_context.emit(start_prefill{work.attempt,
                                 work.prefillAddress,
                                 work.engineRequest,
                                 work.request.model,
                                 work.request.prompt,
                                 work.generated,
                                 work.request.maxTokens,
                                 work.request.traits.priority.value_or(priority_class::Interactive),
                                 work.deadline - m_context.now()});
    armTimer(work);
}

void generation_handler::onPrefillFinished(const prefill_finished &event)
{
    generation *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return;
    }
    work->outcome = combine(work->outcome, verdict::MayHaveRun);
    work->kvId = event.kvId;
    m_engines.prefillFinished(work->prefillName, work->progress, event.promptTokens - std::min(event.promptTokens, event.cachedTokens));
    work->kvExpires = m_context.now() + event.lifetime;
    m_attempts.erase(event.attempt);
    if (!failIfExpired(*work)) {
        startDecode(*work);
    }
}

void generation_handler::startDecode(generation &work)
{
    work.phase = generation_phase::Decoding;
    work.resumed = false;
    setAttempt(work);
    work.sentAt = m_context.now();
    work.answer = {};
    m_context.emit(start_decode{work.attempt,
                                work.decodeAddress,
                                work.engineRequest,
                                work.request.model,
                                work.request.prompt,
                                work.prefillAddress,
                                work.kvId,
                                work.delivered,
                                work.request.maxTokens,
                                work.request.traits.priority.value_or(priority_class::Interactive),
                                work.deadline - m_context.now()});
    armTimer(work);
}

void generation_handler::onTokens(const tokens_received &event)
{
    generation *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return;
    }
    m_engines.tokensReceived(work->prefillName, work->decodeName, work->pieces, work->progress);
    if (work->answer.notePiece(m_context.now())) {
        m_crashes.onWriting(work->fingerprints);
    }
    releasePrefill(*work);
    work->outcome = combine(work->outcome, verdict::MayHaveRun);
    if (event.offset > work->delivered) {
        if (!failIfExpired(*work)) {
            retry(*work, "tokens are missing");
        }
        return;
    }
    const std::size_t alreadyDelivered = work->delivered - event.offset;
    if (alreadyDelivered < event.texts.size()) {
        work->resumed = false;
        deliver_tokens delivery{
            work->request.caller, work->delivered, {event.texts.begin() + static_cast<std::ptrdiff_t>(alreadyDelivered), event.texts.end()}};
        for (const std::string &text : delivery.texts) {
            work->generated += text;
        }
        work->delivered += static_cast<std::uint32_t>(delivery.texts.size());
        HR_INVARIANT("every answer whole", delivery.offset + delivery.texts.size() == work->delivered);
        m_context.emit(std::move(delivery));
    }
    armTimer(*work);
}

void generation_handler::onDecodeFinished(const decode_finished &event)
{
    generation *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return;
    }
    if (event.tokens != work->delivered) {
        if (!failIfExpired(*work)) {
            retry(*work, "the stream ended before its last token");
        }
        return;
    }
    m_crashes.onCompleted(work->fingerprints);
    m_engines.finished(work->decodeName, work->progress, event.tokens);
    m_context.log(log_level::Info,
                  "generation_finished",
                  {requestIdField(work->request.traits.requestName),
                   upstreamField(work->decodeName),
                   {"tokens", std::to_string(event.tokens)},
                   {"attempts", std::to_string(work->attempts)},
                   verdictField(verdict::Ran)});
    m_context.emit(finish_generation{work->request.caller, event.reason, event.tokens});
    releasePrefill(*work);
    // The engine has freed the memory of the completed request, so finish() must not cancel it.
    work->engineRequest.clear();
    finish(*work);
}

bool generation_handler::onAttemptFailed(const attempt_failed &event)
{
    generation *work = findByAttempt(event.attempt);
    if (work == nullptr) {
        return false;
    }
    work->outcome = combine(work->outcome, event.outcome);
    m_attempts.erase(event.attempt);
    const bool isDecoding = work->phase == generation_phase::Decoding;
    const std::string engine = currentEngine(*work);
    m_crashes.onAttemptFailed(engine, isDecoding ? work->decodeAddress : work->prefillAddress, work->fingerprints, work->sentAt, event);
    m_context.log(log_level::Warning,
                  "attempt_failed",
                  {requestIdField(work->request.traits.requestName), upstreamField(engine), {"reason", event.reason}, verdictField(event.outcome)});
    if (failIfExpired(*work)) {
        return true;
    }
    if (event.failure == attempt_failure::ConnectionLost && m_crashes.isChecking(engine)) {
        work->heldFailure = event;
        m_timers.set(work->request.caller, std::min(work->deadline, m_context.now() + kMaxCheckWait));
        return true;
    }
    continueAfter(*work, event);
    return true;
}

void generation_handler::onChecked(const std::string &upstreamName)
{
    for (auto each = m_generations.begin(); each != m_generations.end();) {
        generation &work = each->second;
        ++each; // The generation may end.
        if (work.heldFailure && currentEngine(work) == upstreamName) {
            continueHeld(work);
        }
    }
}

void generation_handler::continueHeld(generation &work)
{
    const attempt_failed failure = *std::exchange(work.heldFailure, std::nullopt);
    if (!failIfExpired(work)) {
        continueAfter(work, failure);
    }
}

const std::string &generation_handler::currentEngine(const generation &work)
{
    return work.phase == generation_phase::Decoding ? work.decodeName : work.prefillName;
}

void generation_handler::continueAfter(generation &work, const attempt_failed &event)
{
    const bool isDecoding = work.phase == generation_phase::Decoding;
    const std::string &engine = currentEngine(work);
    if (event.failure == attempt_failure::NoCapacity) {
        m_engines.markFull(engine);
    }
    if (event.failure == attempt_failure::Unreachable) {
        m_engines.markUnreachable(engine);
        // The engine got no work, unless the connection was to resume a stream. The number of engines bounds such attempts.
        work.attempts -= work.resumed ? 0 : 1;
    }
    if (event.failure == attempt_failure::Rejected) {
        fail(work, 400, "rejected_by_engine", event.reason);
        return;
    }
    if (isDecoding && event.failure == attempt_failure::ConnectionLost && !work.resumed) {
        resumeDecode(work);
        return;
    }
    const bool kvUsable = event.failure == attempt_failure::NoCapacity || event.failure == attempt_failure::Unreachable
                          || event.failure == attempt_failure::Refused || event.failure == attempt_failure::TransferStalled;
    if (isDecoding && work.delivered == 0 && kvUsable && moveDecode(work)) {
        return;
    }
    retry(work, event.reason, event.failure != attempt_failure::KvGone);
}

bool generation_handler::moveDecode(generation &work)
{
    if (isQuarantined(work) || m_context.now() >= work.kvExpires || work.attempts >= kAttemptLimit || work.prefillName.empty()) {
        return false;
    }
    work.excludedEngines.push_back(work.decodeName);
    const auto decode = m_engines.reserveDecode(requirementsOf(work), work.pieces);
    if (!decode) {
        return false;
    }
    ++work.attempts;
    const std::uint32_t pieces = work.pieces;
    releaseDecode(work);
    work.decodeName = decode->name;
    work.decodeAddress = decode->address;
    work.pieces = pieces;
    startDecode(work);
    return true;
}

bool generation_handler::isQuarantined(const generation &work)
{
    return m_crashes.quarantinedFor(work.fingerprints) > duration::zero();
}

void generation_handler::resumeDecode(generation &work)
{
    setAttempt(work);
    work.resumed = true;
    work.answer = {};
    m_context.emit(resume_decode{work.attempt, work.decodeAddress, work.engineRequest, work.delivered});
    armTimer(work);
}

void generation_handler::retry(generation &work, const std::string &reason, bool engineAtFault)
{
    const std::string failed = currentEngine(work);
    markInFlightMayHaveRun(work);
    dropAttempt(work);
    releaseAll(work);
    if (engineAtFault && !contains(work.excludedEngines, failed)) {
        work.excludedEngines.push_back(failed);
    }
    if (isQuarantined(work)) {
        fail(work, 502, "quarantined", "upstreams have crashed under this request: " + reason);
        return;
    }
    if (work.attempts >= kAttemptLimit) {
        fail(work, 502, "upstreams_failed", reason);
        return;
    }
    if (!reserveEngines(work)) {
        fail(work, 503, "no_capacity", "no other engine has room: " + reason);
        return;
    }
    startPrefill(work);
}

void generation_handler::onCallerGone(caller_id caller)
{
    const auto found = m_generations.find(caller);
    if (found == m_generations.end()) {
        return;
    }
    m_context.log(log_level::Info, "caller_gone", {requestIdField(found->second.request.traits.requestName)});
    finish(found->second);
}

void generation_handler::onTick()
{
    for (const caller_id caller : m_timers.takeDue(m_context.now())) {
        onTimer(m_generations.at(caller));
    }
}

void generation_handler::onTimer(generation &work)
{
    if (failIfExpired(work)) {
        return;
    }
    if (work.heldFailure) {
        continueHeld(work);
        return;
    }
    m_context.log(log_level::Warning,
                  "no_progress",
                  {requestIdField(work.request.traits.requestName), upstreamField(work.decodeName), {"delivered", std::to_string(work.delivered)}});
    if (work.phase == generation_phase::Decoding && !work.resumed) {
        m_context.emit(abandon_attempt{work.attempt});
        m_attempts.erase(work.attempt);
        resumeDecode(work);
        return;
    }
    retry(work, "no progress");
}

bool generation_handler::failIfExpired(generation &work)
{
    if (m_context.now() < work.deadline) {
        return false;
    }
    fail(work, 504, "deadline_exceeded", "the request's deadline has passed");
    return true;
}

void generation_handler::armTimer(const generation &work)
{
    const duration timeout = work.phase == generation_phase::Prefilling ? kPrefillTimeout : m_context.options().streamStallTimeout;
    m_timers.set(work.request.caller, std::min(work.deadline, m_context.now() + timeout));
}

void generation_handler::setAttempt(generation &work)
{
    work.attempt = m_context.nextAttempt();
    m_attempts[work.attempt] = work.request.caller;
}

void generation_handler::markInFlightMayHaveRun(generation &work)
{
    if (m_attempts.contains(work.attempt)) {
        work.outcome = combine(work.outcome, verdict::MayHaveRun);
    }
}

void generation_handler::dropAttempt(generation &work)
{
    m_context.emit(abandon_attempt{work.attempt});
    m_attempts.erase(work.attempt);
}

void generation_handler::releaseDecode(generation &work)
{
    if (work.decodeName.empty()) {
        return;
    }
    if (work.phase == generation_phase::Decoding && !work.engineRequest.empty()) {
        m_cancels.cancel(work.decodeAddress, work.engineRequest);
    }
    m_engines.releaseDecode(work.decodeName, work.pieces, work.progress);
    work.decodeName.clear();
}

void generation_handler::releasePrefill(generation &work)
{
    if (work.prefillName.empty()) {
        return;
    }
    m_engines.releasePrefill(work.prefillName, work.progress);
    work.prefillName.clear();
}

void generation_handler::releaseAll(generation &work)
{
    if (!work.prefillName.empty()) {
        m_cancels.cancel(work.prefillAddress, work.engineRequest);
    }
    releasePrefill(work);
    releaseDecode(work);
}

void generation_handler::finish(generation &work)
{
    const caller_id caller = work.request.caller;
    dropAttempt(work);
    releaseAll(work);
    m_timers.erase(caller);
    m_generations.erase(caller);
}

void generation_handler::fail(generation &work, unsigned status, const std::string &code, const std::string &message)
{
    markInFlightMayHaveRun(work);
    m_context.log(log_level::Warning, "generation_failed", {requestIdField(work.request.traits.requestName), {"code", code}, verdictField(work.outcome)});
    const bool isRetryable = status >= kFirstServerError;
    const duration wait = std::max(m_engines.retryAfter(), m_crashes.quarantinedFor(work.fingerprints));
    const auto retryAfter = isRetryable ? std::optional<duration>(wait) : std::nullopt;
    m_context.emit(fail_caller{work.request.caller, status, code, message, work.outcome, retryAfter});
    finish(work);
}

void generation_handler::reject(caller_id caller, unsigned status, const std::string &code, const std::string &message, std::optional<duration> retryAfter)
{
    m_context.emit(fail_caller{caller, status, code, message, verdict::NotRun, retryAfter});
}

void generation_handler::abortAll()
{
    while (!m_generations.empty()) {
        fail(m_generations.begin()->second, 503, "entry_stopped", "the entry ends before the answer is complete");
    }
}

std::size_t generation_handler::size() const noexcept
{
    return m_generations.size();
}

generation_handler::generation *generation_handler::findByAttempt(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &m_generations.at(found->second);
}

} // namespace heatherroute
