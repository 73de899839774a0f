#include "node/config_currency_monitor.h"

#include <chrono>
#include <utility>

namespace heatherroute::node
{

namespace
{

config_currency_settings settingsWith(duration revokeTime)
{
    config_currency_settings settings;
    settings.revokeTime = revokeTime;
    return settings;
}

} // namespace

config_currency_monitor::config_currency_monitor(config_currency_hooks hooks, duration revokeTime, std::uint64_t seed)
    : m_hooks(std::move(hooks))
    , m_currency(config_currency::make(settingsWith(revokeTime), seed))
{ }

void config_currency_monitor::onApplied(std::uint64_t version, bool hasTeams)
{
    m_hasTeams = hasTeams;
    m_currency.noteApplied(version);
}

void config_currency_monitor::onConfirmed(std::uint64_t version, instant askedAt)
{
    m_currency.noteRead(version, askedAt);
}

void config_currency_monitor::onMessage(const std::string &from, const config_currency_message &message)
{
    if (const auto *query = std::get_if<config_currency_query>(&message)) {
        if (const auto reply = m_currency.onQuery(m_hooks.now(), *query)) {
            m_hooks.send(*reply, from);
        }
        if (m_currency.isOutdated()) {
            m_hooks.readConfig();
        }
    } else if (m_currency.onReply(std::get<config_currency_reply>(message)) == currency_result::Outdated) {
        m_hooks.readConfig();
    }
}

void config_currency_monitor::onUpdate(const std::string &from, std::uint64_t version, bool readsStore)
{
    m_currency.noteSeen(version);
    if (readsStore) {
        m_currency.noteReader(m_hooks.now(), from);
    }
}

void config_currency_monitor::onRestored()
{
    m_currency.onRestored();
}

void config_currency_monitor::setMembers(const std::vector<member> &others)
{
    std::vector<std::string> addresses;
    for (const member &other : others) {
        if (other.state == member_state::Alive) {
            addresses.push_back(other.peerAddress);
        }
    }
    m_currency.setMembers(std::move(addresses));
}

void config_currency_monitor::setReadsStore(bool reads)
{
    m_currency.setReadsStore(reads);
}

void config_currency_monitor::advance()
{
    if (!m_hasTeams) {
        return;
    }
    logChange();
    if (auto due = m_currency.dueQuery(m_hooks.now())) {
        m_hooks.send(due->query, std::move(due->peerAddress));
    }
}

void config_currency_monitor::logChange()
{
    const bool isCurrentNow = isCurrent();
    if (isCurrentNow == m_wasCurrent) {
        return;
    }
    m_wasCurrent = isCurrentNow;
    const auto known = age();
    const std::string ageMs = known ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*known).count()) : "unknown";
    m_hooks.log(isCurrentNow ? log_level::Info : log_level::Warning, isCurrentNow ? "config_current" : "config_not_current", {{"age_ms", ageMs}});
}

bool config_currency_monitor::isCurrent() const
{
    return m_currency.isCurrent(m_hooks.now());
}

bool config_currency_monitor::isOutdated() const
{
    return m_currency.isOutdated();
}

std::optional<duration> config_currency_monitor::age() const
{
    return m_currency.age(m_hooks.now());
}

} // namespace heatherroute::node
