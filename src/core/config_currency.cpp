#include "heatherroute/config_currency.h"

#include <algorithm>

namespace heatherroute
{

void config_currency::onLogEnd(instant askedAt, log_offset end, log_offset ownNext)
{
    noteKnown(askedAt, end, ownNext);
    if (ownNext < end) {
        return;
    }
    m_logProof = std::max(m_logProof, std::optional(askedAt));
    m_peersAtLogProof = m_peerCount;
}

void config_currency::onPeer(instant askedAt, const std::string &peer, const peer_summary &summary, log_offset ownNext)
{
    if (!summary.isEstablished) {
        return;
    }
    peer_view &view = m_peers[peer];
    if (askedAt < view.askedAt) {
        return; // An older answer was overtaken.
    }
    view.askedAt = askedAt;
    view.next = summary.next;
    view.logProof.reset();
    if (summary.logProofAge) {
        view.logProof = askedAt - *summary.logProofAge;
    }
    noteKnown(askedAt, summary.next, ownNext);
    onProgress(askedAt, ownNext);
}

void config_currency::onPeerGone(const std::string &peer)
{
    m_peers.erase(peer);
}

void config_currency::setPeerCount(std::size_t count)
{
    m_peerCount = count;
}

void config_currency::onProgress(instant now, log_offset ownNext)
{
    for (const auto &[peer, view] : m_peers) {
        if (view.next <= ownNext) {
            m_logProof = std::max(m_logProof, view.logProof);
        }
    }
    if (m_behindSince && ownNext >= m_behindTarget) {
        m_behindSince.reset();
    }
    noteKnown(now, m_knownEnd, ownNext);
}

std::optional<duration> config_currency::freshness(instant now) const
{
    return m_logProof ? std::optional(now - *m_logProof) : std::nullopt;
}

bool config_currency::isCutOff(instant now, log_offset ownNext) const
{
    if (m_logProof && isRecent(*m_logProof, now)) {
        return false;
    }
    if (m_behindSince && !isRecent(*m_behindSince, now)) {
        return true;
    }
    const auto proves = [&](const auto &entry) { return entry.second.next <= ownNext && isRecent(entry.second.askedAt, now); };
    const auto heard = static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), proves));
    return heard < quorum();
}

bool config_currency::isRecent(instant at, instant now) const
{
    return now - at <= m_settings.bound;
}

void config_currency::noteKnown(instant at, log_offset known, log_offset ownNext)
{
    m_knownEnd = std::max(m_knownEnd, known);
    if (!m_behindSince && ownNext < m_knownEnd) {
        m_behindSince = at;
        m_behindTarget = m_knownEnd;
    }
}

std::size_t config_currency::quorum() const
{
    // Entries that were lost together with the log may be the ones that still read it, so they stay in the count.
    const std::size_t others = std::max(m_peerCount, m_peersAtLogProof);
    return std::max<std::size_t>(1, (others * m_settings.quorumPercent + 99) / 100);
}

} // namespace heatherroute
