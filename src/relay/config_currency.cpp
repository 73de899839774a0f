#include "relay/config_currency.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace heatherroute
{

config_currency config_currency::make(const config_currency_settings &settings, std::uint64_t seed)
{
    return config_currency(settings, seed);
}

config_currency::config_currency(const config_currency_settings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{ }

void config_currency::noteApplied(std::uint64_t version)
{
    m_applied = std::max(m_applied, version);
}

void config_currency::noteRead(std::uint64_t version, instant askedAt)
{
    if (version == m_applied && m_applied > 0) {
        confirm(askedAt);
    }
}

void config_currency::setMembers(std::vector<std::string> peerAddresses)
{
    m_members = std::move(peerAddresses);
    std::erase_if(m_readers, [this](const auto &reader) { return std::find(m_members.begin(), m_members.end(), reader.first) == m_members.end(); });
}

void config_currency::noteReader(instant now, const std::string &peerAddress)
{
    if (std::find(m_members.begin(), m_members.end(), peerAddress) != m_members.end()) {
        m_readers[peerAddress] = now;
    }
}

void config_currency::setReadsStore(bool reads)
{
    m_readsStore = reads;
}

void config_currency::noteSeen(std::uint64_t version)
{
    m_seen = std::max(m_seen, version);
}

std::optional<due_currency_query> config_currency::dueQuery(instant now)
{
    const duration minAge = m_readsStore ? m_settings.readersQueryAge : m_settings.queryAge;
    const auto known = age(now);
    const bool isDue = bound() > duration::zero() && m_applied > 0 && (!known || *known > minAge);
    const bool isAwaiting = m_queriedAt && now - *m_queriedAt < (m_futile > m_settings.maxFutile ? m_settings.futileInterval : m_settings.replyTimeout);
    const bool isRecentlyAnswered = m_answeredAt && now - *m_answeredAt < m_settings.answeredInterval;
    if (!isDue || isAwaiting || isRecentlyAnswered) {
        return std::nullopt;
    }
    const std::string target = nextTarget(now);
    if (target.empty()) {
        return std::nullopt;
    }
    if (m_outstanding.size() >= m_settings.maxOutstanding) {
        m_outstanding.erase(std::min_element(
            m_outstanding.begin(), m_outstanding.end(), [](const auto &left, const auto &right) { return left.second.sentAt < right.second.sentAt; }));
    }
    const std::uint64_t number = m_random();
    m_outstanding[number] = {now, target};
    m_queriedAt = now;
    m_futile += 1;
    return due_currency_query{target, {number, m_applied}};
}

std::string config_currency::nextTarget(instant now)
{
    std::erase_if(m_readers, [this, now](const auto &reader) { return now - reader.second > m_settings.readerLifetime; });
    const bool asksReader = m_futile < m_readers.size() || m_futile % 2 == 0;
    if (!m_readers.empty() && asksReader) {
        return std::next(m_readers.begin(), static_cast<std::ptrdiff_t>(m_random() % m_readers.size()))->first;
    }
    return m_members.empty() ? std::string() : m_members[m_random() % m_members.size()];
}

currency_result config_currency::onReply(const config_currency_reply &reply)
{
    const auto found = m_outstanding.find(reply.number);
    if (found == m_outstanding.end()) {
        return currency_result::None;
    }
    const instant sentAt = found->second.sentAt;
    m_outstanding.erase(found);
    noteSeen(reply.version);
    if (reply.version > m_applied) {
        return currency_result::Outdated;
    }
    if (reply.version < m_applied) {
        return currency_result::None;
    }
    const duration age = std::chrono::milliseconds(reply.ageMs);
    confirm(sentAt - age);
    if (age <= m_settings.readersQueryAge) {
        m_answeredAt = std::max(m_answeredAt.value_or(sentAt), sentAt);
        m_futile = 0;
    }
    return currency_result::Confirmed;
}

std::optional<config_currency_reply> config_currency::onQuery(instant now, const config_currency_query &query)
{
    noteSeen(query.version);
    const auto known = age(now);
    if (!known) {
        return std::nullopt;
    }
    // Rounded up, since the receiver takes it as the most that the age can be.
    const auto ageMs = std::chrono::ceil<std::chrono::milliseconds>(*known).count();
    if (ageMs > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return config_currency_reply{query.number, m_applied, static_cast<std::uint32_t>(std::max<std::int64_t>(ageMs, 0))};
}

std::optional<duration> config_currency::age(instant now) const
{
    return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt;
}

bool config_currency::isCurrent(instant now) const
{
    if (bound() <= duration::zero()) {
        return true;
    }
    const auto known = age(now);
    return known && *known <= bound();
}

duration config_currency::bound() const noexcept
{
    return std::chrono::duration_cast<duration>(m_settings.usableShare * m_settings.revokeTime);
}

void config_currency::confirm(instant at)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
}

} // namespace heatherroute
