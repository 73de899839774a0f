#include "relay/store_gossip.h"

#include <algorithm>
#include <utility>

#include "heatherroute/ownership.h"

namespace heatherroute
{

bool precedesInReading(const std::string &left, const std::string &right)
{
    return std::pair(rendezvousHash(left), std::string_view(left)) < std::pair(rendezvousHash(right), std::string_view(right));
}

store_gossip store_gossip::make(const store_gossip_settings &settings)
{
    return store_gossip(settings);
}

store_gossip::store_gossip(const store_gossip_settings &settings)
    : m_settings(settings)
{ }

void store_gossip::noteStarted(instant now)
{
    m_startedAt = now;
}

void store_gossip::setRank(std::size_t rank)
{
    m_rank = rank;
}

void store_gossip::setEntries(std::size_t count)
{
    m_entries = count;
}

void store_gossip::setLease(lease_claim claim)
{
    if (m_lease != claim) {
        m_lease = claim;
        m_sentAt.reset();
    }
}

void store_gossip::noteRead(instant now)
{
    m_readAt = now;
    m_hasUnsentRead = true;
}

void store_gossip::noteReceived(instant now, duration readAge)
{
    m_peerReadAt = std::max(m_peerReadAt.value_or(now - readAge), now - readAge);
}

void store_gossip::noteChange(instant now, upstream_update change)
{
    // What an earlier instance was is told as well: it may have written streams.
    std::erase_if(m_changes,
                  [&change](const noted_change &known) { return known.change.run.id == change.run.id && known.change.run.startedAt == change.run.startedAt; });
    m_changes.push_back({now, std::nullopt, std::move(change)});
    if (m_changes.size() > m_settings.maxChanges) {
        m_changes.pop_front();
    }
}

void store_gossip::noteUrgentChange(instant now, upstream_update change)
{
    noteChange(now, std::move(change));
    m_sentAt.reset();
}

void store_gossip::onRestored()
{
    m_changes.clear();
    m_readAt.reset();
    m_peerReadAt.reset();
}

bool store_gossip::maySend() const noexcept
{
    return m_rank < m_settings.readers + m_settings.substitutes;
}

duration store_gossip::maxPeerReadAge() const noexcept
{
    if (m_rank < m_settings.readers + m_settings.firstSubstitutes) {
        return m_settings.firstTakeoverAge;
    }
    return maySend() ? m_settings.takeoverAge : m_settings.maxPeerReadAge;
}

bool store_gossip::shouldRead(instant now) const
{
    if (m_startedAt && now - *m_startedAt < m_settings.settleTime) {
        return false;
    }
    const bool peerIsFresh = m_peerReadAt && now - *m_peerReadAt <= maxPeerReadAge();
    const bool isStarting = m_startedAt && now - *m_startedAt < m_settings.settleTime + m_settings.maxPeerReadAge;
    return m_rank < m_settings.readers || (!peerIsFresh && !isStarting);
}

duration store_gossip::retryDelay() const
{
    return maySend() ? duration::zero() : static_cast<duration::rep>(m_entries) * m_settings.retrySpacing;
}

std::vector<store_update> store_gossip::dueMessages(instant now, std::uint64_t configVersion)
{
    std::erase_if(m_changes, [&](const noted_change &known) {
        // An entry that may read for others, but isn't sure of its list after an outage, keeps them until it may send them.
        const duration maxWait = maySend() ? m_settings.maxUnsentTime : m_settings.resendFor;
        return known.sentSince ? now - *known.sentSince > m_settings.resendFor : now - known.notedAt > maxWait;
    });
    const bool fresh = m_readAt && now - *m_readAt <= m_settings.maxOwnReadAge;
    const duration interval = m_hasUnsentRead ? m_settings.minSpacing : m_settings.interval;
    const bool isDue = !m_sentAt || now - *m_sentAt >= interval;
    const bool reads = maySend() && shouldRead(now) && fresh;
    const bool isUncertain = m_rank < m_settings.readers && !fresh;
    const auto isNew = [&](const noted_change &known) { return now - known.notedAt <= m_settings.resendFor; };
    const bool hasNews = configVersion > m_toldConfigVersion || std::any_of(m_changes.begin(), m_changes.end(), isNew);
    const bool tellsEarly = isUncertain && hasNews;
    if ((!reads && !tellsEarly && m_lease == lease_claim::None) || !isDue) {
        return {};
    }
    m_sentAt = now;
    m_toldConfigVersion = configVersion;
    m_hasUnsentRead = false;
    std::vector<store_update> messages(1);
    for (noted_change &known : m_changes) {
        if (isUncertain && !isNew(known)) {
            continue;
        }
        if (messages.back().changes.size() == kMaxChangesPerMessage) {
            messages.emplace_back();
        }
        messages.back().changes.push_back(known.change);
        if (!known.sentSince && !isUncertain) {
            known.sentSince = now;
        }
    }
    for (store_update &message : messages) {
        message.configVersion = configVersion;
        message.readsStore = reads;
        message.readAgeMs = reads ? static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_readAt).count()) : 0;
        message.lease = m_lease;
    }
    // A release is sent only once; repeated, it would contradict the claim of the next holder.
    m_lease = m_lease == lease_claim::Released ? lease_claim::None : m_lease;
    return messages;
}

} // namespace heatherroute
