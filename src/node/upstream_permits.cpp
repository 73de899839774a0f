#include "node/upstream_permits.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// Several round trips between availability zones, and the pause of a coordinator that has used up its share of a core.
constexpr std::chrono::milliseconds kReplyTimeout{80};
constexpr std::size_t kMaxMalformedKept = 256;

upstream_instance instanceOf(const registration &run)
{
    return {run.id, run.startedAt};
}

} // namespace

upstream_permits::upstream_permits(asio::any_io_executor executor, upstream_permits_hooks hooks, const std::string &entryName, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_limiter(fleet_rate_limiter::make(coreNow(), {}, entryName, seed))
{ }

asio::awaitable<bool> upstream_permits::acquire(registration run, std::uint32_t permits)
{
    permit_decision decision = m_limiter.acquire(coreNow(), instanceOf(run), permits);
    if (decision.outcome != permit_outcome::Ask) {
        const bool granted = decision.outcome == permit_outcome::Granted;
        if (isLimited(run)) {
            m_hooks.count(granted ? "granted" : "refused");
        }
        co_return granted;
    }
    const std::uint32_t number = decision.request.number;
    asio::steady_timer timer(m_executor, kReplyTimeout);
    m_waiting.emplace(number, waiting_request{&timer, std::nullopt});
    m_hooks.send(decision.request, std::move(decision.coordinator));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::optional<bool> reply = m_waiting.at(number).granted;
    m_waiting.erase(number);
    if (reply) {
        m_hooks.count(*reply ? "granted" : "refused");
        co_return *reply;
    }
    const bool granted = m_limiter.onNoReply(coreNow(), number);
    m_hooks.count(granted ? "granted_without_reply" : "no_reply");
    m_hooks.log(log_level::Info,
                "permit_not_replied",
                {upstreamField(run.id), {"coordinator", m_limiter.coordinatorOf(run.id)}, {"sent_anyway", granted ? "true" : "false"}});
    co_return granted;
}

void upstream_permits::giveBack(const registration &run, std::uint32_t permits)
{
    m_limiter.giveBack(coreNow(), instanceOf(run), permits);
}

bool upstream_permits::isLimited(const registration &run) const
{
    return m_limiter.limitOf(instanceOf(run)).has_value();
}

duration upstream_permits::waitFor(const registration &run) const
{
    return m_limiter.waitFor(coreNow(), instanceOf(run));
}

duration upstream_permits::nextReturn(const std::string &service, const std::vector<registration> &runs)
{
    if (runs.empty()) {
        return duration::zero();
    }
    double perSecond = 0.0;
    duration shortest = duration::max();
    for (const registration &run : runs) {
        perSecond += m_limiter.limitOf(instanceOf(run)).value_or(0.0);
        shortest = std::min(shortest, waitFor(run));
    }
    return std::max(shortest, m_limiter.nextReturn(coreNow(), service, perSecond));
}

void upstream_permits::noteAnswer(const registration &run, instant sentAt, const answer_facts &facts, bool mayEnd)
{
    if (facts.malformedLimit) {
        std::string &known = m_malformed[run.id];
        if (known != *facts.malformedLimit) {
            known = *facts.malformedLimit;
            m_hooks.log(log_level::Warning, "upstream_limit_malformed", {upstreamField(run.id), {"value", known}});
        }
        if (m_malformed.size() > kMaxMalformedKept) {
            m_malformed.clear();
        }
        return;
    }
    if (facts.wrongInstance || (!facts.limitPerSecond && !mayEnd)) {
        return;
    }
    logLimit(run.id, m_limiter.noteAnswer(coreNow(), instanceOf(run), sentAt, facts.limitPerSecond), "answer");
}

void upstream_permits::logLimit(const std::string &id, limit_change change, const std::string &source)
{
    if (change == limit_change::None) {
        return;
    }
    m_hooks.log(log_level::Info,
                "upstream_limit_changed",
                {upstreamField(id),
                 {"change", toString(change)},
                 {"per_second", m_limiter.limitText(id)},
                 {"source", source},
                 {"coordinator", m_limiter.coordinatorOf(id)}});
}

void upstream_permits::noteInstance(const registration &run)
{
    m_limiter.noteInstance(instanceOf(run));
}

void upstream_permits::noteRemoved(const std::string &id)
{
    m_limiter.noteRemoved(coreNow(), id);
    m_malformed.erase(id);
}

void upstream_permits::setMembers(const std::vector<member> &others)
{
    m_limiter.setMembers(coreNow(), others);
}

void upstream_permits::onMessage(const std::string &from, const rate_limit_message &message)
{
    const instant now = coreNow();
    if (const auto *reports = std::get_if<limit_reports>(&message)) {
        for (const limit_report &report : reports->reports) {
            logLimit(report.instance.id, m_limiter.onReport(now, report), "entry");
        }
    } else if (const auto *request = std::get_if<permit_request>(&message)) {
        m_hooks.send(m_limiter.onRequest(now, *request), from);
    } else if (const auto result = m_limiter.onReply(now, std::get<permit_reply>(message))) {
        if (const auto found = m_waiting.find(result->number); found != m_waiting.end()) {
            found->second.granted = result->granted;
            found->second.timer->cancel();
        }
    }
}

void upstream_permits::advance()
{
    for (limit_reports &message : m_limiter.dueReports(coreNow())) {
        m_hooks.send(std::move(message), std::nullopt);
    }
}

void upstream_permits::introduceTo(const std::string &peerAddress)
{
    for (limit_reports &message : m_limiter.introduction(coreNow())) {
        m_hooks.send(std::move(message), peerAddress);
    }
}

void upstream_permits::stop()
{
    m_limiter.stop();
}

} // namespace heatherroute::node
