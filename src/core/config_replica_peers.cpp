#include "heatherroute/config_replica.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

peer_transfer config_replica::transferFor(const peer_request &request) const
{
    peer_transfer transfer;
    if (!m_isEstablished || (request.from >= m_state.next() && !request.fullState)) {
        return transfer;
    }
    if (request.fullState || m_window.empty() || request.from < m_window.front().record.offset) {
        transfer.snapshot = encodeRecord(m_state.snapshot());
        return transfer;
    }
    const auto first = m_window.begin() + static_cast<std::ptrdiff_t>(request.from - m_window.front().record.offset);
    transfer.records.reserve(static_cast<std::size_t>(m_window.end() - first));
    std::transform(first, m_window.end(), std::back_inserter(transfer.records), [](const window_record &kept) { return kept.record; });
    return transfer;
}

bool config_replica::canSupply(const peer_position &peer) const noexcept
{
    return !m_isEstablished || peer.next > m_state.next();
}

void config_replica::requestFromNextPeer(instant now, config_effects &effects)
{
    const bool isLogSufficient = m_isEstablished && !isScanning() && isLogResponsive(now);
    const bool isRequestRecent = m_lastPeerRequestAt && now - *m_lastPeerRequestAt < m_settings.peerRequestInterval;
    if (isLogSufficient || isRequestRecent) {
        return;
    }
    const auto isCandidate = [this](const auto &entry) { return canSupply(entry.second); };
    // Selects peers in turn, so that a peer that doesn't answer isn't retried forever.
    auto found = std::find_if(m_peers.upper_bound(m_lastRequestedPeer), m_peers.end(), isCandidate);
    if (found == m_peers.end()) {
        found = std::find_if(m_peers.begin(), m_peers.end(), isCandidate);
    }
    if (found == m_peers.end()) {
        return;
    }
    m_lastPeerRequestAt = now;
    m_lastRequestedPeer = found->first;
    effects.emplace_back(request_from_peer{found->first, {m_state.next(), !m_isEstablished}});
}

void config_replica::checkAgreement(const std::string &peer, const peer_summary &summary, config_effects &effects)
{
    const std::optional<std::uint64_t> own = m_isEstablished ? digestAt(summary.next) : std::nullopt;
    if (own && *own != summary.digest) {
        ++m_counters.disagreements;
        effects.emplace_back(state_disagreement{peer, summary.next});
    }
}

void config_replica::addToWindow(transferred_record record, std::uint64_t digestBefore)
{
    m_windowBytes += record.text ? record.text->size() : 0;
    m_window.push_back({std::move(record), digestBefore});
    while (m_window.size() > m_settings.maxWindowRecords || m_windowBytes > m_settings.maxWindowBytes) {
        const std::optional<std::string> &text = m_window.front().record.text;
        m_windowBytes -= text ? text->size() : 0;
        m_window.pop_front();
    }
}

std::optional<std::uint64_t> config_replica::digestAt(log_offset next) const
{
    if (next == m_state.next()) {
        return m_state.digest();
    }
    if (m_window.empty() || next < m_window.front().record.offset || next > m_state.next()) {
        return std::nullopt;
    }
    return m_window[next - m_window.front().record.offset].digestBefore;
}

} // namespace heatherroute
