#include "node/team_quotas.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <random>
#include <utility>

#include "node/boot_clock.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// A request without a reply is sent again after several round trips between availability zones, since one datagram may be lost.
constexpr std::chrono::milliseconds kRepeatAfter{30};
/// From the first sending until the next coordinator is asked: the pause of one that has used up its share of a core.
constexpr std::chrono::milliseconds kReplyTimeout{80};
/// Teams beyond this number share one counter, since metrics are never removed.
constexpr std::size_t kMaxCountedTeams = 64;
constexpr const char *kOtherTeams = "other";

const char *nameOf(quota_outcome outcome)
{
    switch (outcome) {
    case quota_outcome::Granted:
        return "granted";
    case quota_outcome::Exceeded:
        return "exceeded";
    case quota_outcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

/// A restarted entry must not repeat the numbers of the process before it, whose requests coordinators still remember.
std::uint32_t drawFirstNumber(std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(std::mt19937_64(incarnation)());
}

team_quota_settings settingsFor(const quota_rule &rule)
{
    team_quota_settings settings;
    settings.rule = rule;
    return settings;
}

} // namespace

team_quotas::team_quotas(asio::any_io_executor executor, team_quotas_hooks hooks, std::string entryName, std::uint64_t incarnation)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_entryName(std::move(entryName))
    , m_firstNumber(drawFirstNumber(incarnation))
    , m_ledger(team_quota_ledger::make(bootNow(), {}, m_entryName, m_firstNumber))
{ }

void team_quotas::setRule(const quota_rule &rule)
{
    m_ledger = team_quota_ledger::make(bootNow(), settingsFor(rule), m_entryName, m_firstNumber);
}

asio::awaitable<quota_verdict> team_quotas::charge(const team &charged, std::uint32_t cost, std::uint64_t configVersion)
{
    // The coroutine keeps copies, because the configuration may be replaced while it waits.
    return charged.quota ? chargeTeam(charged.name, *charged.quota, cost, configVersion) : grant();
}

asio::awaitable<quota_verdict> team_quotas::grant()
{
    co_return quota_verdict{};
}

asio::awaitable<quota_verdict> team_quotas::chargeTeam(std::string name, team_quota quota, std::uint32_t cost, std::uint64_t configVersion)
{
    quota_step step = m_ledger.charge(bootNow(), name, quota, cost, configVersion);
    while (!step.verdict) {
        const std::uint32_t number = step.request.number;
        const team_quota_message request = step.request;
        asio::steady_timer timer(m_executor, kRepeatAfter);
        m_waiting.insert_or_assign(number, waiting_request{&timer, std::nullopt});
        m_hooks.send(request, step.peerAddress);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!m_waiting.at(number).verdict) {
            m_hooks.send(request, step.peerAddress);
            timer.expires_after(kReplyTimeout - kRepeatAfter);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        const std::optional<quota_verdict> verdict = m_waiting.at(number).verdict;
        m_waiting.erase(number);
        if (verdict) {
            step.verdict = verdict;
        } else {
            // Only the reply may have been lost, and the next coordinator charges the request, too.
            m_hooks.send(quota_refund{name, cost, number}, step.peerAddress);
            m_hooks.count(countedName(name), "no_reply");
            m_hooks.log(log_level::Info, "quota_not_replied", {{"team", name}, {"coordinator", step.coordinator}});
            step = m_ledger.onNoReply(bootNow(), number);
        }
    }
    note(name, quota, cost, step.coordinator, *step.verdict);
    co_return *step.verdict;
}

void team_quotas::note(const std::string &name, const team_quota &quota, std::uint32_t cost, const std::string &coordinator, const quota_verdict &verdict)
{
    m_hooks.count(countedName(name), nameOf(verdict.outcome));
    if (verdict.outcome == quota_outcome::Granted) {
        return;
    }
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(verdict.wait).count();
    m_hooks.log(log_level::Info,
                "quota_refused",
                {{"team", name},
                 {"outcome", nameOf(verdict.outcome)},
                 {"per_second", std::to_string(quota.perSecond)},
                 {"cost", std::to_string(cost)},
                 {"coordinator", coordinator},
                 {"wait_ms", std::to_string(waitMs)}});
}

std::string team_quotas::countedName(const std::string &name)
{
    if (m_countedTeams.size() < kMaxCountedTeams) {
        m_countedTeams.insert(name);
    }
    return m_countedTeams.contains(name) ? name : kOtherTeams;
}

void team_quotas::refund(const team &charged, std::uint32_t cost, std::uint32_t number)
{
    if (const auto message = m_ledger.refund(bootNow(), charged.name, cost, number)) {
        m_hooks.send(message->refund, message->peerAddress);
    }
}

void team_quotas::setMembers(const std::vector<member> &others)
{
    m_ledger.setMembers(bootNow(), others);
}

void team_quotas::setRecordedEntries(std::size_t count)
{
    m_ledger.setRecordedEntries(bootNow(), count);
}

void team_quotas::onMessage(const std::string &from, const team_quota_message &message)
{
    const instant now = bootNow();
    if (const auto *request = std::get_if<quota_request>(&message)) {
        if (const auto reply = m_ledger.onRequest(now, from, *request)) {
            m_hooks.send(*reply, from);
        }
    } else if (const auto *refund = std::get_if<quota_refund>(&message)) {
        m_ledger.onRefund(now, from, *refund);
    } else {
        const auto &reply = std::get<quota_reply>(message);
        if (const auto verdict = m_ledger.onReply(now, from, reply)) {
            if (const auto found = m_waiting.find(reply.number); found != m_waiting.end()) {
                found->second.verdict = *verdict;
                found->second.timer->cancel();
            }
        }
    }
}

void team_quotas::advance()
{
    m_ledger.advance(bootNow());
}

void team_quotas::stop()
{
    m_ledger.stop(bootNow());
}

} // namespace heatherroute::node
