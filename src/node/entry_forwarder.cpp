#include "node/entry_forwarder.h"

#include <algorithm>
#include <utility>

#include "net/http_status.h"
#include "relay/plain_retry_policy.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_call;
using net::http_result;

entry_forwarder::entry_forwarder(relay_call &call, std::string service)
    : m_call(call)
    , m_state(call.state())
    , m_service(std::move(service))
{ }

forwarding_question entry_forwarder::question(const std::vector<upstream_pool> &pools, bool hasCandidates) const
{
    forwarding_question asked;
    asked.isReachedHere = hasCandidates;
    for (const upstream_pool &pool : pools) {
        asked.pools.insert(nameOf(pool));
        // Without prefill engines, decode engines read prompts themselves, so a mere suspicion isn't enough.
        const bool isReached = pool.phase == engine_phase::Prefill ? !m_state.reach.isCutOff(pool) : m_state.reach.isReached(pool);
        asked.isReachedHere = asked.isReachedHere && isReached;
    }
    asked.isFromEntry = m_call.isFromEntry();
    asked.asked = m_asked;
    asked.timeLeft = m_call.timeLeft();
    return asked;
}

bool entry_forwarder::isNeeded(const std::vector<upstream_pool> &pools, bool hasCandidates) const
{
    const forwarding_question asked = question(pools, hasCandidates);
    if (asked.isReachedHere || m_call.isEnded()) {
        return false;
    }
    return asked.isFromEntry || m_state.forwarding.decide(coreNow(), asked, m_state.random).place == serving_place::OtherEntry;
}

bool entry_forwarder::isCutOff(const std::vector<upstream_pool> &pools) const
{
    return std::any_of(pools.begin(), pools.end(), [this](const upstream_pool &pool) { return m_state.reach.isCutOff(pool); });
}

asio::awaitable<bool> entry_forwarder::run(const std::vector<upstream_pool> &pools, std::uint32_t mayHaveRun)
{
    m_mayHaveRunCount = mayHaveRun;
    if (m_call.isFromEntry()) {
        co_await m_call.decline(isCutOff(pools) ? forward_decline::CutOff : forward_decline::Suspected);
        co_return true;
    }
    while (!m_isEnded && !m_call.isEnded() && m_state.mayBegin(m_service, m_call.length())) {
        forwarding_question asked = question(pools, false);
        const forwarding_decision decision = m_state.forwarding.decide(coreNow(), asked, m_state.random);
        if (decision.place != serving_place::OtherEntry) {
            break;
        }
        co_await passTo(decision, std::move(asked.pools));
    }
    co_return m_isEnded;
}

std::optional<duration> entry_forwarder::attemptLimit() const
{
    if (m_call.matchedRoute().generates) {
        return std::nullopt;
    }
    return attemptTimeout({}, m_call.matchedRoute(), {0, m_mayHaveRunCount, m_call.timeLeft()});
}

asio::awaitable<void> entry_forwarder::passTo(forwarding_decision decision, std::set<std::string> pools)
{
    const instant startedAt = coreNow();
    http_call call = m_call.makeEntryCall(decision.address, m_service, m_mayHaveRunCount);
    if (const auto limit = attemptLimit()) {
        call.progressTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(*limit);
    }
    m_asked.insert(decision.peerAddress);
    m_state.forwarding.noteBegun(decision.peerAddress);
    auto passHead = [this](const http_answer &head) { return onHead(head); };
    auto passPiece = [this](std::string_view piece) -> asio::awaitable<void> {
        std::string data(piece);
        co_await m_call.responder().write(std::move(data));
    };
    http_result result = co_await m_call.performAtEntry(std::move(call), passHead, passPiece);
    m_state.forwarding.noteEnded(decision.peerAddress);
    if (result.answer) {
        m_state.forwarding.noteAnswered(decision.peerAddress);
    }
    const auto declined = result.answer ? declineOf(*result.answer) : std::nullopt;
    if (declined) {
        m_state.forwarding.noteDeclined(coreNow(), decision.peerAddress, pools, *declined);
        log(decision, startedAt, "declined_" + std::string(toString(*declined)));
    } else if (m_isStreaming) {
        log(decision, startedAt, result.answer ? "streamed" : result.failure.reason);
        co_await endStreamed(result);
    } else if (result.answer) {
        log(decision, startedAt, "status_" + std::to_string(result.answer->status));
        co_await endAnswered(std::move(*result.answer));
    } else {
        log(decision, startedAt, result.failure.reason);
        co_await handleFailure(decision, result);
    }
}

asio::awaitable<bool> entry_forwarder::onHead(http_answer head)
{
    if (!m_call.matchedRoute().generates || !net::status::isSuccess(head.status) || declineOf(head)) {
        co_return false;
    }
    m_isStreaming = true;
    http_answer answer;
    answer.status = head.status;
    answer.contentType.clear();
    answer.fields = m_state.dialect.callerFields(head);
    co_await m_call.responder().beginStream(std::move(answer));
    co_return true;
}

asio::awaitable<void> entry_forwarder::endStreamed(const http_result &result)
{
    m_isEnded = true;
    const bool isComplete = result.answer.has_value();
    if (m_call.isCallerGone()) {
        m_call.finish({"caller_gone", 0, "the caller closed its connection", verdict::Ran, ""});
        co_return;
    }
    if (isComplete) {
        co_await m_call.responder().endStream();
    } else {
        m_call.responder().abort();
    }
    m_call.finish({isComplete ? "answered" : "broken", net::status::kOk, result.failure.reason, verdict::Ran, ""});
}

asio::awaitable<void> entry_forwarder::endAnswered(http_answer answer)
{
    m_isEnded = true;
    const unsigned status = answer.status;
    const bool isRefusal = status == net::status::kUnavailable && !m_state.dialect.readAnswer(answer, "").sealed;
    if (isRefusal && m_mayHaveRunCount > 0) {
        // The other entry knows only that it has not run the request itself.
        co_await m_call.sendError(net::status::kBadGateway, "failed", std::nullopt);
        m_call.finish({"failed", net::status::kBadGateway, "refused by the other entry after a run", verdict::MayHaveRun, ""});
        co_return;
    }
    co_await m_call.forwardAnswer(std::move(answer));
    if (status == net::status::kUnavailable) {
        m_call.finish({"refused", status, "refused by the other entry", verdict::NotRun, ""});
    } else if (status == net::status::kBadGateway || status == net::status::kGatewayTimeout) {
        m_call.finish({"failed", status, "failed at the other entry", verdict::MayHaveRun, ""});
    } else {
        m_call.finish({"answered", status, "ok", verdict::Ran, ""});
    }
}

asio::awaitable<void> entry_forwarder::handleFailure(const forwarding_decision &decision, const http_result &result)
{
    if (result.failure.outcome == verdict::NotRun) {
        if (!m_call.isEnded()) {
            m_state.forwarding.noteUnreachable(coreNow(), decision.peerAddress);
        }
        co_return;
    }
    if (result.timedOut) {
        m_state.forwarding.noteUnreachable(coreNow(), decision.peerAddress);
    }
    // It may have run there on as many upstreams as its route allows.
    m_isEnded = true;
    if (m_call.isCallerGone()) {
        m_call.finish({"caller_gone", 0, "the caller closed its connection", verdict::MayHaveRun, ""});
        co_return;
    }
    const unsigned status = m_call.isTimedOut() ? net::status::kGatewayTimeout : net::status::kBadGateway;
    co_await m_call.sendError(status, "failed", std::nullopt);
    m_call.finish({"failed", status, "other entry: " + result.failure.reason, verdict::MayHaveRun, ""});
}

void entry_forwarder::log(const forwarding_decision &decision, instant startedAt, const std::string &outcome) const
{
    const auto tookMs = std::chrono::duration_cast<std::chrono::milliseconds>(coreNow() - startedAt).count();
    m_state.log(
        log_level::Info,
        "request_forwarded",
        {requestIdField(m_call.facts().id), {"service", m_service}, {"entry", decision.entry}, {"outcome", outcome}, {"took_ms", std::to_string(tookMs)}});
    m_state.metrics.counter("heatherroute_forwarded_total", "Requests passed on to other entries.", {{"service", m_service}}).value += 1;
}

} // namespace heatherroute::node
