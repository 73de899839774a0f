#include "heatherroute/config_replica.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

std::unique_ptr<config_replica> config_replica::make(const replica_settings &settings, std::uint64_t seed, last_reason *reason)
{
    if (settings.logRetention <= duration::zero() || settings.freshness.maxProofAge <= duration::zero() || settings.freshness.quorumPercent > 100) {
        setReason(reason, "logRetention and the max proof age must be positive, quorumPercent at most 100");
        return nullptr;
    }
    return std::unique_ptr<config_replica>(new config_replica(settings, seed));
}

config_replica::config_replica(const replica_settings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_freshness(settings.freshness)
    , m_schedule(settings.logRetention, seed)
{ }

log_offset config_replica::readFrom() const noexcept
{
    return isScanning() ? *m_scanFrom : m_state.next();
}

config_effects config_replica::onLogRead(instant requestedAt, instant now, const log_batch &batch)
{
    config_effects effects;
    if (!isLogResponsive(now)) {
        m_schedule.onLogRecovered(now);
    }
    m_lastLogAnswerAt = now;
    m_logOldest = std::max(m_logOldest, batch.oldest);
    if (!m_isEstablished && !isScanning() && batch.oldest == 0) {
        m_isEstablished = true; // The log still holds its first record, so the empty state is a valid start.
    }
    if (isScanning()) {
        scanForSnapshot(now, batch, effects);
    }
    for (const log_record &record : batch.records) {
        if (m_isEstablished && record.offset == m_state.next()) {
            applyRecord(now, record.offset, record.text, effects);
        }
    }
    if (m_isEstablished) {
        m_freshness.onLogEnd(requestedAt, batch.next, m_state.next());
        m_freshness.onProgress(now, m_state.next());
    }
    return effects;
}

config_effects config_replica::onLogTruncated(instant now, log_offset oldest)
{
    config_effects effects;
    m_lastLogAnswerAt = now;
    m_logOldest = std::max(m_logOldest, oldest);
    if (!m_isEstablished || m_state.next() < oldest) {
        m_scanFrom = std::max(m_scanFrom.value_or(0), oldest);
        requestFromNextPeer(now, effects);
    }
    return effects;
}

config_effects config_replica::onPeerSummary(instant requestedAt, instant now, const std::string &peer, const peer_summary &summary)
{
    config_effects effects;
    if (!summary.isEstablished) {
        m_peers.erase(peer);
        return effects;
    }
    m_peers[peer] = {summary.next, summary.digest};
    m_freshness.onPeerSummary(requestedAt, peer, summary, m_state.next());
    if (summary.snapshotAge) {
        m_schedule.onSnapshot(now, summary.snapshotNext, now - *summary.snapshotAge);
    }
    checkAgreement(peer, summary, effects);
    requestFromNextPeer(now, effects);
    return effects;
}

config_effects config_replica::onPeerTransfer(instant now, const peer_transfer &transfer)
{
    config_effects effects;
    if (transfer.snapshot) {
        const std::optional<config_record> record = decodeRecord(*transfer.snapshot);
        if (record && std::holds_alternative<config_snapshot>(*record)) {
            adopt(now, std::get<config_snapshot>(*record), effects);
        }
    }
    for (const transferred_record &record : transfer.records) {
        if (m_isEstablished && record.offset == m_state.next()) {
            applyRecord(now, record.offset, record.text, effects);
        }
    }
    if (m_isEstablished) {
        m_freshness.onProgress(now, m_state.next());
    }
    return effects;
}

void config_replica::onPeerGone(const std::string &peer)
{
    m_peers.erase(peer);
    m_freshness.onPeerGone(peer);
}

void config_replica::setPeerCount(std::size_t count)
{
    m_freshness.setPeerCount(count);
}

config_effects config_replica::tick(instant now)
{
    config_effects effects;
    requestFromNextPeer(now, effects);
    const std::optional<instant> proof = m_freshness.logProof();
    const bool isFresh = m_isEstablished && isLogResponsive(now) && proof && now - *proof <= m_settings.freshness.maxProofAge;
    if (isFresh && m_state.next() > 0 && m_schedule.takeDue(now)) {
        effects.emplace_back(append_snapshot{encodeRecord(m_state.snapshot())});
    }
    return effects;
}

peer_summary config_replica::summary(instant now) const
{
    peer_summary result;
    result.isEstablished = m_isEstablished;
    result.next = m_state.next();
    result.digest = m_state.digest();
    result.logProofAge = m_freshness.proofAge(now);
    result.snapshotNext = m_schedule.snapshotNext();
    if (const std::optional<instant> seenAt = m_schedule.seenAt(); seenAt) {
        result.snapshotAge = now - *seenAt;
    }
    return result;
}

bool config_replica::isScanning() const noexcept
{
    return m_scanFrom && (!m_isEstablished || m_state.next() < m_logOldest);
}

void config_replica::applyRecord(instant now, log_offset offset, const std::optional<std::string> &text, config_effects &effects)
{
    const std::uint64_t digestBefore = m_state.digest();
    const std::optional<config_record> record = text ? decodeRecord(*text) : std::nullopt;
    if (const config_change *change = record ? std::get_if<config_change>(&*record) : nullptr; change != nullptr) {
        applyChange(offset, *change, effects);
        addToWindow({offset, text}, digestBefore);
        return;
    }
    if (record) {
        noteSnapshot(now, offset, std::get<config_snapshot>(*record));
    } else if (text) {
        ++m_counters.undecodable;
    }
    m_state.skip(offset);
    addToWindow({offset, std::nullopt}, digestBefore);
}

void config_replica::applyChange(log_offset offset, const config_change &change, config_effects &effects)
{
    publish_decided decided{change.publishId, m_state.apply(offset, change)};
    switch (decided.result.accepted) {
    case acceptance::Accepted:
        ++m_counters.accepted;
        break;
    case acceptance::RejectedStaleBase:
        ++m_counters.staleBase;
        break;
    case acceptance::RejectedDuplicatePublish:
        ++m_counters.duplicatePublish;
        break;
    case acceptance::RejectedInvalid:
        ++m_counters.invalid;
        break;
    }
    effects.emplace_back(std::move(decided));
}

void config_replica::noteSnapshot(instant now, log_offset offset, const config_snapshot &snapshot)
{
    ++m_counters.snapshotsSeen;
    const std::optional<std::uint64_t> expected = digestAt(snapshot.next);
    if (snapshot.next > offset || (expected && *expected != snapshot.digest)) {
        ++m_counters.snapshotsRejected;
        return; // A snapshot is still due, since no entry can start from this one.
    }
    const std::optional<duration> age = m_freshness.proofAge(now);
    const bool isLive = age && *age <= m_settings.freshness.maxProofAge;
    m_schedule.onSnapshot(now, snapshot.next, isLive ? std::optional(now) : std::nullopt);
}

void config_replica::scanForSnapshot(instant now, const log_batch &batch, config_effects &effects)
{
    for (const log_record &log : batch.records) {
        m_scanFrom = std::max(*m_scanFrom, log.offset + 1);
        const std::optional<config_record> record = decodeRecord(log.text);
        const config_snapshot *snapshot = record ? std::get_if<config_snapshot>(&*record) : nullptr;
        // The log must still hold all records after the snapshot, and a snapshot can't include the record that contains it.
        const bool isUsable = snapshot != nullptr && snapshot->next >= batch.oldest && snapshot->next <= log.offset;
        if (isUsable && adopt(now, *snapshot, effects)) {
            m_schedule.onSnapshot(now, snapshot->next, std::nullopt);
            return;
        }
    }
}

bool config_replica::adopt(instant now, const config_snapshot &snapshot, config_effects &effects)
{
    if (m_isEstablished && snapshot.next <= m_state.next()) {
        return false;
    }
    std::optional<config_state> newer = config_state::make(snapshot);
    // The state of a longer prefix of the log never has an older revision.
    if (!newer || newer->revision() < m_state.revision()) {
        ++m_counters.snapshotsRejected;
        return false;
    }
    state_adopted adopted{config_state::difference(m_state, *newer)};
    m_state = std::move(*newer);
    m_isEstablished = true;
    m_window.clear();
    m_windowBytes = 0;
    ++m_counters.statesAdopted;
    m_freshness.onProgress(now, m_state.next());
    effects.emplace_back(std::move(adopted));
    return true;
}

bool config_replica::isLogResponsive(instant now) const
{
    return m_lastLogAnswerAt && now - *m_lastLogAnswerAt <= m_settings.peerFallbackDelay;
}

} // namespace heatherroute
