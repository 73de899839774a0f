#include "node/relay_call.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

#include "heatherroute/request_fingerprint.h"
#include "net/http_status.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_call;
using net::http_exchange;
using net::http_result;

namespace
{

/// Timeout of a request when the caller sets none. The route's timeout can only shorten it.
constexpr duration kDefaultTimeout = std::chrono::seconds(30);

/// Header fields between entries. Neither callers nor upstreams get or set them.
constexpr const char *kConfigVersionField = "Heatherroute-Config-Version"; ///< Of the entry that passes a request on.
constexpr const char *kServiceField = "Heatherroute-Service"; ///< That its configuration routes the request to.
constexpr const char *kEarlierRunsField = "Heatherroute-Earlier-Runs"; ///< Upstreams that may have run a request before it was passed on.
constexpr const char *kDeclinedField = "Heatherroute-Declined"; ///< Why an entry doesn't serve it.

constexpr const char *kTeamField = "Heatherroute-Team"; ///< The team of the caller, whose key the sender has checked and whose quota it has charged.
constexpr const char *kKeyDigestField = "Heatherroute-Key-Digest"; ///< Of the caller's key; the receiver checks it again before it sends the request on.

void removeEntryFields(std::vector<net::http_field> &fields)
{
    std::erase_if(fields, [](const net::http_field &field) {
        return boost::beast::iequals(field.name, kConfigVersionField) || boost::beast::iequals(field.name, kServiceField)
               || boost::beast::iequals(field.name, kEarlierRunsField) || boost::beast::iequals(field.name, kDeclinedField)
               || boost::beast::iequals(field.name, kTeamField) || boost::beast::iequals(field.name, kKeyDigestField);
    });
}

std::uint64_t numberIn(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::chrono::milliseconds toMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

/// Returns what names the caller to upstreams, which don't get its address.
std::string credentialsIn(const net::http_request &request)
{
    return std::string(request.header("Authorization")) + '\n' + std::string(request.header("Cookie"));
}

} // namespace

std::optional<forward_decline> declineOf(const http_answer &answer)
{
    return answer.status == net::status::kUnavailable ? parseForwardDecline(answer.header(kDeclinedField)) : std::nullopt;
}

void relay_call::shared_state::interrupt() const
{
    if (exchange) {
        exchange->cancel();
    }
    if (waitTimer != nullptr) {
        waitTimer->cancel();
    }
}

relay_call::relay_call(relay_state &state, net::http_request request, net::http_responder &responder, request_sender sender)
    : m_state(state)
    , m_sender(sender)
    , m_sendersConfigVersion(sender == request_sender::Entry ? numberIn(request.header(kConfigVersionField)) : 0)
    , m_earlierRuns(sender == request_sender::Entry ? static_cast<std::uint32_t>(numberIn(request.header(kEarlierRunsField))) : 0)
    , m_sendersService(sender == request_sender::Entry ? request.header(kServiceField) : std::string_view())
    , m_checkedTeam(sender == request_sender::Entry ? request.header(kTeamField) : std::string_view())
    , m_request(std::move(request))
    , m_facts(state.dialect.readRequest(m_request))
    , m_fingerprints{fingerprintOf({credentialsIn(m_request), m_request.method, m_facts.host, m_request.target, m_request.body}),
                     fingerprintsOf(m_facts.model, m_facts.sharedParts)}
    , m_responder(responder)
    , m_routes(state.routes)
    , m_startedAt(coreNow())
    , m_deadline(m_startedAt + kDefaultTimeout)
    , m_shared(std::make_shared<shared_state>())
    , m_timer(state.executor)
{
    m_responder.onClosed([shared = m_shared] {
        shared->callerGone = true;
        shared->interrupt();
    });
    m_shared->callerGone = m_responder.isClosed();
    if (const auto digest = isFromEntry() ? parseKeyDigest(m_request.header(kKeyDigestField)) : std::nullopt) {
        m_facts.key = *digest;
    }
    removeEntryFields(m_request.fields);
}

relay_call::~relay_call()
{
    m_responder.onClosed({});
    m_timer.cancel();
}

void relay_call::begin(const route &matched)
{
    m_route = &matched;
    duration time = m_facts.timeLeft.value_or(kDefaultTimeout);
    if (matched.timeout.count() > 0) {
        time = std::min<duration>(time, matched.timeout);
    }
    m_deadline = m_startedAt + time;
    m_timer.expires_after(std::max(time, duration::zero()));
    m_timer.async_wait([shared = m_shared](const boost::system::error_code &error) {
        if (!error) {
            shared->timedOut = true;
            shared->interrupt();
        }
    });
}

bool relay_call::agreesWithSender() const
{
    if (!m_routes || m_routes->version() == m_sendersConfigVersion) {
        return m_routes != nullptr;
    }
    const route *matched = m_routes->find(m_facts.host, m_facts.path);
    return matched != nullptr
           && std::any_of(matched->targets.begin(), matched->targets.end(), [this](const route_target &target) { return target.service == m_sendersService; });
}

std::string relay_call::pickService()
{
    if (isFromEntry() && m_routes->version() != m_sendersConfigVersion) {
        return m_sendersService;
    }
    const route_target *target = pickTarget(*m_route, m_state.sampleUniform());
    return target != nullptr ? target->service : std::string();
}

void relay_call::abort()
{
    m_shared->aborted = true;
    addLogFields({{"aborted", "the entry is stopping"}});
    m_shared->interrupt();
}

call_length relay_call::length() const
{
    const std::uint32_t maxOutput = m_facts.prompt ? m_facts.prompt->maxOutputTokens : 0;
    return {m_route->kind, m_route->resumable, timeLeft(), maxOutput};
}

std::uint32_t relay_call::priority() const
{
    const team *own = m_routes->findTeam(m_team);
    return own != nullptr ? own->priority.value_or(m_route->priority) : m_route->priority;
}

duration relay_call::timeLeft() const
{
    return std::max(m_deadline - coreNow(), duration::zero());
}

duration relay_call::age() const
{
    return coreNow() - m_startedAt;
}

asio::awaitable<http_result> relay_call::perform(registration run, http_call call)
{
    const auto collect = [](const http_answer &) -> asio::awaitable<bool> { co_return false; };
    const auto ignore = [](std::string_view) -> asio::awaitable<void> { co_return; };
    co_return co_await perform(std::move(run), std::move(call), collect, ignore);
}

asio::awaitable<http_result> relay_call::perform(registration run, http_call call, http_exchange::head_hook onHead, http_exchange::body_hook onBody)
{
    if (isEnded()) {
        co_return http_result{std::nullopt, {verdict::NotRun, "the request is over"}, false};
    }
    if (!checkKey()) {
        co_return http_result{std::nullopt, {verdict::NotRun, kKeyNotConfirmedReason}};
    }
    const instant sentAt = coreNow();
    const upstream_instance instance{run.id, run.startedAt};
    if (!m_state.registry.takesWork(instance) || m_state.pauses.left(sentAt, instance) > duration::zero()) {
        co_return http_result{std::nullopt, {verdict::NotRun, kNotSentReason}};
    }
    m_state.beginConnect(run, call);
    // The process may be suspended while it connects.
    call.maySend = [this] { return checkKey(); };
    http_exchange::head_hook observe = [this, run, sentAt, onHead = std::move(onHead)](const http_answer &head) {
        m_state.observeAnswer(run, sentAt, head, m_facts.id);
        return onHead(head);
    };
    http_result result = co_await exchange(std::move(call), std::move(observe), std::move(onBody));
    if (result.notConnected && !isEnded()) {
        m_state.reach.noteFailed(run, sentAt, result.refused);
    }
    if (isSendForbidden() && !result.answer && result.failure.outcome == verdict::NotRun) {
        result.failure.reason = kKeyNotConfirmedReason;
    }
    co_return result;
}

bool relay_call::checkKey()
{
    if (!m_team.empty() && m_state.routes && m_facts.key && !m_state.access.maySend(*m_state.routes, m_team, *m_facts.key)) {
        m_isSendForbidden = true;
    }
    return !m_isSendForbidden;
}

access_question relay_call::accessQuestion() const
{
    return {m_routes, m_route->isPublic, m_facts.key, m_facts.prompt, m_checkedTeam, m_sendersConfigVersion};
}

void relay_call::setTeam(std::string name, std::optional<team_charge> charge)
{
    m_team = std::move(name);
    m_charge = charge;
    if (!m_team.empty()) {
        addLogFields({{"team", m_team}});
    }
}

asio::awaitable<http_result> relay_call::performAtEntry(http_call call, http_exchange::head_hook onHead, http_exchange::body_hook onBody)
{
    if (isEnded()) {
        co_return http_result{std::nullopt, {verdict::NotRun, "the request is over"}, false};
    }
    co_return co_await exchange(std::move(call), std::move(onHead), std::move(onBody));
}

asio::awaitable<http_result> relay_call::exchange(http_call call, http_exchange::head_hook onHead, http_exchange::body_hook onBody)
{
    const auto exchange = http_exchange::make(m_state.executor, std::move(call));
    m_shared->exchange = exchange;
    http_result result = co_await exchange->run(std::move(onHead), std::move(onBody));
    m_shared->exchange.reset();
    co_return result;
}

http_call relay_call::makeEntryCall(const std::string &address, const std::string &service, std::uint32_t earlierRuns) const
{
    http_call call = prepareCall(m_state, address, {}, std::max(toMilliseconds(timeLeft()), m_state.timing.minProgressTimeout));
    call.method = m_request.method;
    call.target = m_request.target;
    call.body = m_request.body;
    call.contentType.clear();
    const bool hasTeams = m_routes && m_routes->requiresKeys();
    call.fields = m_state.dialect.entryFields(m_request, timeLeft(), hasTeams);
    call.fields.push_back({kServiceField, service});
    call.fields.push_back({kEarlierRunsField, std::to_string(earlierRuns)});
    call.fields.push_back({kConfigVersionField, std::to_string(m_routes ? m_routes->version() : 0)});
    if (!m_team.empty()) {
        call.fields.push_back({kTeamField, m_team});
    }
    if (hasTeams && m_facts.key) {
        call.fields.push_back({kKeyDigestField, keyDigestText(*m_facts.key)});
    }
    return call;
}

http_call relay_call::makeUpstreamCall(const registration &run, const upstream_directions &directions) const
{
    http_call call = prepareCall(m_state, run, {}, std::max(toMilliseconds(timeLeft()), m_state.timing.minProgressTimeout));
    call.totalTimeout = std::chrono::milliseconds(0); // The request's deadline cancels the exchange.
    call.method = m_request.method;
    call.target = m_request.target;
    call.body = m_request.body;
    call.contentType.clear();
    upstream_directions directed = directions;
    // A configuration with teams may have been applied after this request arrived.
    directed.hasTeams = (m_routes && m_routes->requiresKeys()) || (m_state.routes && m_state.routes->requiresKeys());
    directed.team = m_team;
    call.fields = m_state.dialect.upstreamFields(m_request, directed);
    return call;
}

asio::awaitable<void> relay_call::wait(std::chrono::milliseconds time)
{
    if (isEnded()) {
        co_return;
    }
    asio::steady_timer timer(m_state.executor, time);
    m_shared->waitTimer = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_shared->waitTimer = nullptr;
}

asio::awaitable<void> relay_call::sendError(unsigned status, std::string code, std::optional<duration> retryAfter)
{
    http_answer answer;
    answer.status = status;
    answer.fields = m_state.dialect.refusalFields(m_facts.id, retryAfter);
    answer.body = "{\"error\":\"" + code + "\"}";
    co_await m_responder.send(std::move(answer));
}

asio::awaitable<void> relay_call::decline(forward_decline reason)
{
    http_answer answer;
    answer.status = net::status::kUnavailable;
    answer.fields = {{kDeclinedField, std::string(toString(reason))}};
    co_await m_responder.send(std::move(answer));
    finish({"declined", net::status::kUnavailable, std::string(toString(reason)), verdict::NotRun, ""});
}

asio::awaitable<void> relay_call::forwardAnswer(http_answer answer)
{
    answer.fields = m_state.dialect.callerFields(answer);
    removeEntryFields(answer.fields);
    answer.contentType.clear();
    co_await m_responder.send(std::move(answer));
}

bool relay_call::isOfAnotherRequest(const answer_facts &facts) const
{
    return !facts.requestId.empty() && facts.requestId != m_facts.id;
}

std::string relay_call::validateAnswer(const answer_facts &facts, const http_answer &answer) const
{
    if (isOfAnotherRequest(facts)) {
        return "answer_to_another_request";
    }
    if (facts.altered) {
        return "answer_altered";
    }
    if (net::status::isSuccess(answer.status) && !facts.sealed) {
        return "answer_without_seal";
    }
    return {};
}

void relay_call::beginAttempt(const registration &run)
{
    m_attempt = m_state.crashes.beginAttempt(run, m_fingerprints);
}

void relay_call::noteProgress()
{
    m_state.crashes.noteProgress(m_attempt);
}

void relay_call::endAttempt(const http_result &result)
{
    m_state.crashes.endAttempt(m_attempt, result, isCallerGone() || m_shared->aborted);
}

void relay_call::noteFailedAttempt(const registration &run, const std::string &stage, const std::string &reason, verdict execution) const
{
    m_state.log(log_level::Warning,
                "attempt_failed",
                {requestIdField(m_facts.id),
                 {"fingerprint", fingerprintText(m_fingerprints.fingerprint)},
                 {"prompt_parts", fingerprintsText(m_fingerprints.parts)},
                 upstreamField(run.id),
                 {"software_version", run.softwareVersion},
                 {"stage", stage},
                 {"reason", reason},
                 verdictField(execution),
                 {"health", m_state.health.stateOf(run.id)},
                 {"instance_started_at", std::to_string(run.startedAt)},
                 {"instance_sequence", std::to_string(run.sequence)}});
}

void relay_call::addLogFields(std::vector<log_field> fields)
{
    m_extraLogFields.insert(m_extraLogFields.end(), std::make_move_iterator(fields.begin()), std::make_move_iterator(fields.end()));
}

void relay_call::finish(const relay_result &result)
{
    if (m_charge && result.execution == verdict::NotRun) {
        m_state.access.refund(*m_routes, m_team, *m_charge);
        m_charge.reset();
    }
    const std::string kind = m_route == nullptr ? "unrouted" : std::string(toString(m_route->kind));
    const double seconds = std::chrono::duration<double>(age()).count();
    m_state.metrics.counter("heatherroute_requests_total", "Requests of callers by end.", {{"kind", kind}, {"outcome", result.outcome}}).value += 1;
    m_state.metrics.histogram("heatherroute_request_seconds", "Time from a request's arrival to its end.", exponentialBounds(0.005, 2.0, 12), {{"kind", kind}})
        .observe(seconds);
    std::vector<log_field> fields = {requestIdField(m_facts.id),
                                     {"fingerprint", fingerprintText(m_fingerprints.fingerprint)},
                                     {"caller", m_request.remoteAddress},
                                     {"kind", kind},
                                     {"route", m_route == nullptr ? m_facts.path : m_route->name},
                                     {"config_version", m_routes ? std::to_string(m_routes->version()) : "none"},
                                     {"outcome", result.outcome},
                                     {"status", std::to_string(result.status)},
                                     {"reason", result.reason},
                                     verdictField(result.execution),
                                     upstreamField(result.upstream),
                                     {"took_ms", std::to_string(toMilliseconds(age()).count())},
                                     {"time_left_ms", std::to_string(toMilliseconds(timeLeft()).count())}};
    if (!m_fingerprints.parts.empty()) {
        fields.push_back({"prompt_parts", fingerprintsText(m_fingerprints.parts)});
    }
    if (m_facts.resumes) {
        fields.push_back({"resumes", *m_facts.resumes});
        fields.push_back({"last_event", m_facts.lastEvent});
    }
    fields.insert(fields.end(), m_extraLogFields.begin(), m_extraLogFields.end());
    m_state.log(result.outcome == "answered" ? log_level::Info : log_level::Warning, "request_ended", std::move(fields));
}

http_call prepareCall(const relay_state &state, const registration &run, http_call call, std::chrono::milliseconds timeout)
{
    return prepareCall(state, run.address, std::move(call), timeout);
}

http_call prepareCall(const relay_state &state, const std::string &address, http_call call, std::chrono::milliseconds timeout)
{
    if (const auto endpoint = net::parseEndpoint(address)) {
        call.endpoint = *endpoint;
    }
    call.connectTimeout = std::min(state.timing.connectTimeout, timeout);
    call.progressTimeout = timeout;
    call.totalTimeout = timeout;
    call.memory = state.memory;
    return call;
}

} // namespace heatherroute::node
