#include "heatherroute/config_freshness.h"

#include <algorithm>

namespace heatherroute
{

void config_freshness::onLogEnd(instant requestedAt, log_offset end, log_offset ownNext)
{
    updateKnownEnd(requestedAt, end, ownNext);
    if (ownNext < end) {
        return;
    }
    m_logProof = std::max(m_logProof, std::optional(requestedAt));
    m_peersAtLogProof = m_peerCount;
}

void config_freshness::onPeerSummary(instant requestedAt, const std::string &peer, const peer_summary &summary, log_offset ownNext)
{
    if (!summary.isEstablished) {
        return;
    }
    peer_status &status = m_peers[peer];
    if (requestedAt < status.requestedAt) {
        return; // The answer to a later query has been processed already.
    }
    status.requestedAt = requestedAt;
    status.next = summary.next;
    status.logProof.reset();
    if (summary.logProofAge) {
        status.logProof = requestedAt - *summary.logProofAge;
    }
    updateKnownEnd(requestedAt, summary.next, ownNext);
    onProgress(requestedAt, ownNext);
}

void config_freshness::onPeerGone(const std::string &peer)
{
    m_peers.erase(peer);
}

void config_freshness::setPeerCount(std::size_t count)
{
    m_peerCount = count;
}

void config_freshness::onProgress(instant now, log_offset ownNext)
{
    for (const auto &[peer, status] : m_peers) {
        if (status.next <= ownNext) {
            m_logProof = std::max(m_logProof, status.logProof);
        }
    }
    if (m_behindSince && ownNext >= m_behindTarget) {
        m_behindSince.reset();
    }
    updateKnownEnd(now, m_knownEnd, ownNext);
}

std::optional<duration> config_freshness::proofAge(instant now) const
{
    return m_logProof ? std::optional(now - *m_logProof) : std::nullopt;
}

bool config_freshness::isCutOff(instant now, log_offset ownNext) const
{
    if (m_logProof && isRecent(*m_logProof, now)) {
        return false;
    }
    if (m_behindSince && !isRecent(*m_behindSince, now)) {
        return true;
    }
    const auto isUpToDate = [&](const auto &entry) { return entry.second.next <= ownNext && isRecent(entry.second.requestedAt, now); };
    const auto upToDatePeers = static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isUpToDate));
    return upToDatePeers < quorum();
}

bool config_freshness::isRecent(instant at, instant now) const
{
    return now - at <= m_settings.maxProofAge;
}

void config_freshness::updateKnownEnd(instant at, log_offset end, log_offset ownNext)
{
    m_knownEnd = std::max(m_knownEnd, end);
    if (!m_behindSince && ownNext < m_knownEnd) {
        m_behindSince = at;
        m_behindTarget = m_knownEnd;
    }
}

std::size_t config_freshness::quorum() const
{
    // Entries that became unreachable together with the log may be the ones that can still read it, so they stay in the count.
    const std::size_t others = std::max(m_peerCount, m_peersAtLogProof);
    return std::max<std::size_t>(1, (others * m_settings.quorumPercent + 99) / 100);
}

} // namespace heatherroute
