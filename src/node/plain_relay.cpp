#include "node/plain_relay.h"

#include <algorithm>
#include <set>

#include "net/http_status.h"
#include "relay/plain_policy.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_call;
using net::http_result;

namespace
{

/// How long callers should stay away when no upstream of a service is there.
constexpr duration kNoUpstreamWait = std::chrono::milliseconds(500);

/// What one try came to.
struct try_result
{
    verdict ran = verdict::NotRun;
    std::optional<http_answer> answer; ///< Whole and the upstream's own.
    std::string reason;
};

class plain_relay
{
public:
    explicit plain_relay(relay_call &call)
        : m_call(call)
        , m_state(call.state())
    { }

    asio::awaitable<void> run()
    {
        const route_target *target = pickTarget(m_call.matched(), m_state.draw());
        m_service = target != nullptr ? target->service : std::string();
        m_state.retries.noteRequest(coreNow(), m_service);
        std::string stopped = co_await tryAll();
        if (m_call.isGone()) {
            m_call.finish({"caller_gone", 0, "the caller closed its connection", worst(), m_upstream});
            co_return;
        }
        if (m_best) {
            const unsigned status = m_best->status;
            co_await m_call.pass(std::move(*m_best));
            m_call.finish({"answered", status, stopped, verdict::Ran, m_upstream});
            co_return;
        }
        co_await fail(std::move(stopped));
    }

private:
    /// Tries upstreams until there is an answer to give or no use in going on; returns why it ended.
    asio::awaitable<std::string> tryAll()
    {
        const plain_policy policy;
        while (true) {
            const registration *run = choose();
            if (run == nullptr) {
                co_return m_tried.empty() ? "no_upstream" : "no_other_upstream";
            }
            if (!m_tried.empty() && !m_state.retries.tryRepeat(coreNow(), m_service)) {
                co_return "retry_budget_used_up";
            }
            m_tried.insert(run->id);
            m_upstream = run->id;
            try_result result = co_await tryOne(*run, limitOfTry(policy, m_call.matched(), progress()));
            m_reason = result.reason;
            (result.ran == verdict::NotRun ? m_unrun : m_ran) += 1;
            if (result.answer) {
                const bool failed = result.answer->status >= net::status::kFirstServerError;
                m_best = std::move(result.answer);
                if (!failed) {
                    co_return "ok";
                }
            }
            if (m_call.isOver() || !mayTryAgain(policy, m_call.matched(), progress(), result.ran)) {
                co_return m_reason;
            }
        }
    }

    const registration *choose()
    {
        std::vector<const registration *> runs = m_state.registry.usable(m_service);
        std::erase_if(runs, [this](const registration *run) { return m_tried.count(run->id) > 0; });
        const auto order = orderCandidates(m_state.candidates(runs), m_state.random);
        return order.empty() ? nullptr : order.front();
    }

    asio::awaitable<try_result> tryOne(registration run, std::optional<duration> limit)
    {
        upstream_directions directions;
        directions.instance = run.id;
        directions.timeLeft = m_call.timeLeft();
        http_call call = m_call.forward(run, directions);
        if (limit) {
            call.progressTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(*limit);
        }
        const instant sentAt = coreNow();
        m_state.inFlight[run.id] += 1;
        http_result result = co_await m_call.perform(std::move(call));
        if (--m_state.inFlight[run.id] == 0) {
            m_state.inFlight.erase(run.id);
        }
        co_return judge(run, std::move(result), coreNow() - sentAt);
    }

    try_result judge(const registration &run, http_result result, duration took)
    {
        const instant now = coreNow();
        if (!result.answer) {
            if (!m_call.isOver()) {
                m_state.noteFailedTry(run.id, result.failure.outcome);
                m_call.noteFailedTry(run, "plain", result.failure.reason, result.failure.outcome);
            }
            return {result.failure.outcome, std::nullopt, result.failure.reason};
        }
        const answer_facts facts = m_state.dialect.readAnswer(*result.answer, run.id);
        if (facts.wrongInstance) {
            m_state.registry.onDisplaced(run.id);
        }
        if (facts.notRun) {
            // An upstream that sheds while its health check is good should get less; the judge bounds how many may.
            m_state.judge.noteFailure(now, run.id);
            m_call.noteFailedTry(run, "plain", "refused", verdict::NotRun);
            return {verdict::NotRun, std::nullopt, "refused_by_upstream"};
        }
        const std::string fault = m_call.faultOf(facts, *result.answer);
        if (!fault.empty()) {
            m_state.judge.noteFailure(now, run.id);
            m_call.noteFailedTry(run, "plain", fault, verdict::MayHaveRun);
            return {verdict::MayHaveRun, std::nullopt, fault};
        }
        if (result.answer->status >= net::status::kFirstServerError) {
            m_state.judge.noteFailure(now, run.id);
            m_call.noteFailedTry(run, "plain", "status_" + std::to_string(result.answer->status), verdict::Ran);
        } else {
            m_state.judge.noteSuccess(now, run.id, took, m_state.expectedPlain(m_service));
            m_state.notePlain(m_service, took);
        }
        return {verdict::Ran, std::move(result.answer), "ok"};
    }

    asio::awaitable<void> fail(std::string reason)
    {
        const verdict ran = worst();
        if (ran == verdict::NotRun && !m_call.isLate()) {
            const duration wait = m_tried.empty() ? kNoUpstreamWait : duration::zero();
            co_await m_call.refuse(net::status::kUnavailable, reason, returnAfter(m_state.returns, wait, m_call.timeLeft(), m_state.draw()));
            m_call.finish({"refused", net::status::kUnavailable, reason, ran, m_upstream});
            co_return;
        }
        const unsigned status = m_call.isLate() ? net::status::kGatewayTimeout : net::status::kBadGateway;
        co_await m_call.refuse(status, reason, std::nullopt);
        m_call.finish({"failed", status, m_call.isLate() ? "time_over: " + reason : reason, ran, m_upstream});
    }

    verdict worst() const
    {
        return m_ran > 0 ? verdict::MayHaveRun : verdict::NotRun;
    }

    plain_progress progress() const
    {
        return {m_unrun, m_ran, m_call.timeLeft()};
    }

    relay_call &m_call;
    relay_state &m_state;
    std::string m_service;
    std::set<std::string> m_tried;
    std::string m_upstream;
    std::string m_reason;
    std::optional<http_answer> m_best;
    std::uint32_t m_unrun = 0;
    std::uint32_t m_ran = 0;
};

} // namespace

asio::awaitable<void> relayPlain(relay_call &call)
{
    plain_relay relay(call);
    co_await relay.run();
}

} // namespace heatherroute::node
