#include "node/plain_relay.h"

#include <algorithm>
#include <set>

#include "net/http_status.h"
#include "node/entry_forwarder.h"
#include "relay/plain_retry_policy.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_call;
using net::http_result;

namespace
{

/// Minimum Retry-After delay when a service has no upstream.
constexpr duration kNoUpstreamRetryAfter = std::chrono::milliseconds(500);

/// Upstreams that a request may fail to connect to before another entry is asked: this one may have lost its links to some of them.
constexpr std::uint32_t kMaxNotConnected = 2;

/// The result of one attempt at an upstream.
struct attempt_result
{
    verdict execution = verdict::NotRun;
    std::optional<http_answer> answer; ///< Set when the answer is complete and verified to come from the upstream.
    std::string reason;
};

class plain_relay
{
public:
    explicit plain_relay(relay_call &call)
        : m_call(call)
        , m_state(call.state())
        , m_mayHaveRunCount(call.earlierRuns())
    { }

    asio::awaitable<void> run()
    {
        m_service = m_call.pickService();
        m_forwarder.emplace(m_call, m_service);
        std::string endReason = co_await runAttempts();
        if (m_isForwarded) {
            co_return;
        }
        if (m_call.isCallerGone()) {
            m_call.finish({"caller_gone", 0, "the caller closed its connection", overallExecution(), m_upstream});
            co_return;
        }
        if (m_lastAnswer) {
            const unsigned status = m_lastAnswer->status;
            m_call.addLogFields({{"framing", std::string(net::toString(m_lastAnswer->framing))}});
            co_await m_call.forwardAnswer(std::move(*m_lastAnswer));
            m_call.finish({"answered", status, endReason, verdict::Ran, m_upstream});
            co_return;
        }
        co_await answerFailure(std::move(endReason));
    }

private:
    /// Tries upstreams until one answers without a server error or no further attempt is allowed. Returns the reason for stopping.
    asio::awaitable<std::string> runAttempts()
    {
        const plain_retry_policy policy;
        if (!mayBegin()) {
            co_return kStoppingReason;
        }
        const bool isPassedOn = co_await passOn(true);
        if (isPassedOn) {
            co_return "";
        }
        const quarantine_admission admission = m_state.crashes.admit(m_call.fingerprints());
        m_quarantined = admission.refusedFor;
        bool isTrial = admission.isTrial;
        while (true) {
            if (m_quarantined > duration::zero()) {
                m_state.countQuarantineRefusal(m_service);
                co_return kQuarantinedReason;
            }
            const bool isCutOff = m_state.reach.isCutOff({m_service, std::nullopt});
            std::optional<registration> chosen;
            if (!isCutOff) {
                chosen = co_await chooseUpstream();
            }
            if (!chosen) {
                if (!m_waitedFor.empty()) {
                    co_return m_state.waitReason(m_waitedFor);
                }
                const bool isUnserved = isCutOff || !m_state.registry.usable(m_service).empty();
                bool isPassedOnNow = false;
                if (isUnserved) {
                    isPassedOnNow = co_await passOn(false);
                }
                if (isPassedOnNow) {
                    co_return "";
                }
                if (isCutOff) {
                    co_return kCutOffReason;
                }
                co_return m_triedIds.empty() ? "no_upstream" : "no_other_upstream";
            }
            const registration &tried = *chosen;
            m_quarantined = m_state.crashes.quarantinedFor(m_call.fingerprints(), isTrial);
            if (m_quarantined > duration::zero()) {
                m_state.permits.giveBack(tried, 1);
                continue;
            }
            if (!mayBegin()) {
                m_state.permits.giveBack(tried, 1);
                co_return kStoppingReason;
            }
            if (!m_triedIds.empty() && !m_state.tryRetry(m_service)) {
                m_state.permits.giveBack(tried, 1);
                co_return "retry_budget_used_up";
            }
            if (m_triedIds.empty()) {
                m_state.retryBudget.noteRequest(coreNow(), m_service);
            }
            m_triedIds.insert(tried.id);
            m_upstream = tried.id;
            attempt_result result = co_await runAttempt(tried, attemptTimeout(policy, m_call.matchedRoute(), progress()));
            m_lastReason = result.reason;
            isTrial = false;
            (result.execution == verdict::NotRun ? m_notRunCount : m_mayHaveRunCount) += 1;
            if (result.answer) {
                const bool failed = result.answer->status >= net::status::kFirstServerError;
                m_lastAnswer = std::move(result.answer);
                if (!failed) {
                    co_return "ok";
                }
            }
            if (m_call.isEnded() || m_call.isSendForbidden() || !mayRetry(policy, m_call.matchedRoute(), progress(), result.execution)) {
                co_return m_lastReason;
            }
            if (result.execution == verdict::MayHaveRun) {
                co_await m_state.crashes.checkBeforeRetry(tried, m_call.fingerprints().fingerprint);
            }
            m_quarantined = m_state.crashes.quarantinedFor(m_call.fingerprints());
            const bool isPassedOnNow = co_await passOn(m_notConnectedCount < kMaxNotConnected);
            if (isPassedOnNow) {
                co_return "";
            }
        }
    }

    /// Whether the request may be sent on, or would be cut by the planned stop of this entry.
    bool mayBegin() const
    {
        return m_state.mayBegin(m_service, m_call.length());
    }

    /// Passes the request to another entry if this one can't serve it. Returns whether it has ended by that. @p hasCandidates: whether there is an
    /// upstream that it may be sent to.
    asio::awaitable<bool> passOn(bool hasCandidates)
    {
        const std::vector<upstream_pool> pools = {{m_service, std::nullopt}};
        if (m_quarantined > duration::zero() || !m_forwarder->isNeeded(pools, hasCandidates)) {
            co_return false;
        }
        // What has arrived at an upstream can't be declined as not run, and is a retry elsewhere.
        if (m_hasArrived && (m_call.isFromEntry() || !m_state.tryRetry(m_service))) {
            co_return false;
        }
        m_isForwarded = co_await m_forwarder->run(pools, m_mayHaveRunCount);
        co_return m_isForwarded;
    }

    /// Returns the next upstream to try, with a permit if it has a limit; empty when there is none.
    asio::awaitable<std::optional<registration>> chooseUpstream()
    {
        while (!m_call.isEnded()) {
            std::vector<const registration *> runs = m_state.registry.usable(m_service);
            std::erase_if(runs, [this](const registration *run) { return m_triedIds.count(run->id) > 0; });
            const auto order = orderCandidates(m_state.candidates(runs), m_state.random);
            if (order.empty()) {
                m_waitedFor = m_state.askingToWait(runs);
                break;
            }
            const registration chosen = *order.front();
            const bool permitted = co_await m_state.permits.acquire(chosen, 1);
            const bool isUsable = m_state.registry.isUsable(chosen.id) && m_state.permissionFor(chosen).reason != hold_reason::Pause;
            if (permitted && !m_call.isEnded() && isUsable) {
                co_return chosen;
            }
            if (permitted) {
                m_state.permits.giveBack(chosen, 1);
            }
        }
        co_return std::nullopt;
    }

    asio::awaitable<attempt_result> runAttempt(registration run, std::optional<duration> limit)
    {
        upstream_directions directions;
        directions.instance = run.id;
        directions.timeLeft = m_call.timeLeft();
        http_call call = m_call.makeUpstreamCall(run, directions);
        if (limit) {
            call.progressTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(*limit);
        }
        const instant sentAt = coreNow();
        m_call.beginAttempt(run);
        m_state.inFlight[run.id] += 1;
        http_result result = co_await m_call.perform(run, std::move(call));
        if (--m_state.inFlight[run.id] == 0) {
            m_state.inFlight.erase(run.id);
        }
        co_return evaluate(run, std::move(result), sentAt);
    }

    attempt_result evaluate(const registration &run, http_result result, instant sentAt)
    {
        const instant now = coreNow();
        const duration took = now - sentAt;
        m_call.endAttempt(result);
        m_notConnectedCount += result.notConnected ? 1 : 0;
        m_hasArrived = m_hasArrived || result.answer || result.failure.outcome != verdict::NotRun;
        if (!result.answer) {
            if (!m_call.isEnded()) {
                m_state.noteFailedCall(run, result);
                m_call.noteFailedAttempt(run, "plain", result.failure.reason, result.failure.outcome);
            }
            return {result.failure.outcome, std::nullopt, result.failure.reason};
        }
        const answer_facts facts = m_state.dialect.readAnswer(*result.answer, run.id);
        if (facts.notRun && !m_call.isOfAnotherRequest(facts)) {
            // An upstream that sheds load while its health check passes should get fewer requests. The health tracking limits how
            // many upstreams may be reduced. One that names a pause gets none meanwhile, and its full share after it.
            if (!facts.pause) {
                m_state.health.noteFailure(now, run.id);
            }
            m_call.noteFailedAttempt(run, "plain", "refused", verdict::NotRun);
            return {verdict::NotRun, std::nullopt, "refused_by_upstream"};
        }
        const std::string fault = m_call.validateAnswer(facts, *result.answer);
        if (!fault.empty()) {
            m_state.health.noteFailure(now, run.id);
            m_call.noteFailedAttempt(run, "plain", fault, verdict::MayHaveRun);
            return {verdict::MayHaveRun, std::nullopt, fault};
        }
        if (result.answer->status < net::status::kFirstClientError) {
            // An upstream may answer with an error without running the request.
            m_state.crashes.noteCompleted(m_call.fingerprints());
        }
        if (result.answer->status >= net::status::kFirstServerError) {
            m_state.health.noteFailure(now, run.id);
            m_call.noteFailedAttempt(run, "plain", "status_" + std::to_string(result.answer->status), verdict::Ran);
        } else {
            m_state.health.noteSuccess(now, run.id, took, m_state.expectedPlainLatency(m_service));
            m_state.notePlainLatency(m_service, took);
            m_state.noteCallTime(m_service, m_call.matchedRoute().kind, took);
        }
        return {verdict::Ran, std::move(result.answer), "ok"};
    }

    asio::awaitable<void> answerFailure(std::string reason)
    {
        const verdict execution = overallExecution();
        if (execution == verdict::NotRun && !m_call.isTimedOut()) {
            const duration noUpstreamWait = m_triedIds.empty() ? kNoUpstreamRetryAfter : duration::zero();
            duration wait = std::max(noUpstreamWait, m_quarantined);
            if (!m_waitedFor.empty()) {
                wait = std::max(wait, m_state.nextReturn(m_service, m_waitedFor));
            }
            const bool isForOthers = reason == kStoppingReason || reason == kKeyNotConfirmedReason;
            const auto retryAfter = isForOthers ? m_state.retryElsewhereAfter(m_call.timeLeft())
                                                : retryAfterDelay(m_state.retryAfterSettings, wait, m_call.timeLeft(), m_state.sampleUniform());
            co_await m_call.sendError(net::status::kUnavailable, reason, retryAfter);
            m_call.finish({"refused", net::status::kUnavailable, reason, execution, m_upstream});
            co_return;
        }
        const unsigned status = m_call.isTimedOut() ? net::status::kGatewayTimeout : net::status::kBadGateway;
        co_await m_call.sendError(status, reason, std::nullopt);
        m_call.finish({"failed", status, m_call.isTimedOut() ? "timed_out: " + reason : reason, execution, m_upstream});
    }

    verdict overallExecution() const
    {
        return m_mayHaveRunCount > 0 ? verdict::MayHaveRun : verdict::NotRun;
    }

    plain_progress progress() const
    {
        return {m_notRunCount, m_mayHaveRunCount, m_call.timeLeft()};
    }

    relay_call &m_call;
    relay_state &m_state;
    std::string m_service;
    std::set<std::string> m_triedIds;
    std::vector<registration> m_waitedFor; ///< The upstreams that were left, if all of them ask to wait.
    std::string m_upstream;
    std::string m_lastReason;
    duration m_quarantined{}; ///< For how long the request is quarantined.
    std::optional<http_answer> m_lastAnswer;
    std::uint32_t m_notRunCount = 0;
    std::uint32_t m_mayHaveRunCount; ///< Upstreams that may have run the request, also for the entry that passed it on.
    std::uint32_t m_notConnectedCount = 0;
    std::optional<entry_forwarder> m_forwarder; ///< Set by run().
    bool m_hasArrived = false; ///< At an upstream, which may have refused it.
    bool m_isForwarded = false; ///< The request has ended at another entry, or was declined.
};

} // namespace

asio::awaitable<void> relayPlain(relay_call &call)
{
    plain_relay relay(call);
    co_await relay.run();
}

} // namespace heatherroute::node
