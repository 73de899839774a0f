#pragma once

#include "heatherroute/config_freshness.h"
#include "heatherroute/config_snapshot_schedule.h"
#include "heatherroute/config_state.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heatherroute
{

/// Limits of a `config_replica`.
struct replica_settings
{
    freshness_settings freshness;
    duration logRetention = std::chrono::hours(1); ///< How long the log keeps a record.
    duration peerFallbackDelay = std::chrono::seconds(1); ///< Time without an answer from the log before records are requested from peers.
    duration peerRequestInterval = std::chrono::milliseconds(500); ///< Min time between two requests to peers.
    std::size_t maxWindowRecords = 4096; ///< Max number of applied records kept for transfer to peers.
    std::size_t maxWindowBytes = std::size_t{1024} * 1024; ///< Max total size of these records.
};

/// A record as read from the log.
struct log_record
{
    log_offset offset = 0;
    std::string text;

    bool operator==(const log_record &) const = default;
};

/// An answer of the log: consecutive records from the requested offset on.
struct log_batch
{
    log_offset oldest = 0; ///< Offset of the first record that the log still holds.
    log_offset next = 0; ///< Offset of the next append.
    std::vector<log_record> records;

    bool operator==(const log_batch &) const = default;
};

/// A record sent by a peer. The text is omitted when the record has no effect on the state.
struct transferred_record
{
    log_offset offset = 0;
    std::optional<std::string> text;

    bool operator==(const transferred_record &) const = default;
};

/// Requests the records from offset `from` on, or the full state, from a peer.
struct peer_request
{
    log_offset from = 0;
    bool fullState = false;

    bool operator==(const peer_request &) const = default;
};

/// A peer's reply: the records from the requested offset on, or its full state as an encoded snapshot.
struct peer_transfer
{
    std::vector<transferred_record> records;
    std::optional<std::string> snapshot;

    bool operator==(const peer_transfer &) const = default;
};

/// A publication was decided on; `result.changed` lists the entities that changed.
struct publish_decided
{
    std::string publishId;
    apply_result result;
};

/// The state was replaced by a newer one; `changed` lists the entities that differ.
struct state_adopted
{
    std::vector<entity_key> changed;
};

/// Append this snapshot to the log; a lost or repeated append does no harm.
struct append_snapshot
{
    std::string record;
};

/// Send @p request to @p peer.
struct request_from_peer
{
    std::string peer;
    peer_request request;
};

/// A peer has a different digest at the same position, so the state of one of the two entries is wrong.
struct state_disagreement
{
    std::string peer;
    log_offset next = 0;
};

using config_effect = std::variant<publish_decided, state_adopted, append_snapshot, request_from_peer, state_disagreement>;
using config_effects = std::vector<config_effect>;

/// Counters for metrics; they never decrease.
struct replica_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t staleBase = 0;
    std::uint64_t duplicatePublish = 0;
    std::uint64_t invalid = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t snapshotsSeen = 0;
    std::uint64_t snapshotsRejected = 0; ///< Snapshots that are inconsistent or differ from the state that the records led to.
    std::uint64_t statesAdopted = 0;
    std::uint64_t disagreements = 0;

    bool operator==(const replica_counters &) const = default;
};

/**
 * One entry's replica of the configuration, updated from the log and from peers.
 *
 * Its state always results from a prefix of the log: records are applied strictly in the order of their offsets, and a
 * peer sends either records with their offsets or the state of a longer prefix. Therefore two entries at the same position
 * have the same state, whichever sources they used, and the position never decreases. Every handler returns the actions
 * that the caller must perform. Not thread safe.
 */
class config_replica
{
public:
    /// Makes a replica that isn't established yet. Returns null and sets @p reason when a setting is out of range. @p seed must
    /// differ between entries, so that they don't append snapshots at the same time.
    static std::unique_ptr<config_replica> make(const replica_settings &settings, std::uint64_t seed, last_reason *reason = nullptr);

    /// Offset from which to read the log next.
    log_offset readFrom() const noexcept;

    /// Processes @p batch, the log's answer to a request sent at @p requestedAt for records from readFrom() on.
    config_effects onLogRead(instant requestedAt, instant now, const log_batch &batch);
    /// Processes the answer that the log no longer holds the requested record; @p oldest is the first offset that it still holds.
    config_effects onLogTruncated(instant now, log_offset oldest);
    /// Processes @p summary, the answer of @p peer to a query sent at @p requestedAt.
    config_effects onPeerSummary(instant requestedAt, instant now, const std::string &peer, const peer_summary &summary);
    /// Processes a peer's reply to a `request_from_peer`.
    config_effects onPeerTransfer(instant now, const peer_transfer &transfer);
    /// Removes the state of @p peer, which membership declared dead.
    void onPeerGone(const std::string &peer);
    /// Sets the number of other entries that membership knows.
    void setPeerCount(std::size_t count);
    /// Requests missing records from peers and appends snapshots when they are due. Call it a few times a second.
    config_effects tick(instant now);

    /// The reply to a peer's request; empty when there is nothing to send.
    peer_transfer transferFor(const peer_request &request) const;
    /// The reply to a peer's query.
    peer_summary summary(instant now) const;

    /// Whether the state results from a prefix of the log; false on a new entry until it reads a log that still holds its first
    /// record, or adopts a snapshot.
    bool isEstablished() const noexcept
    {
        return m_isEstablished;
    }

    /// The configuration; meaningful once isEstablished().
    const config_state &state() const noexcept
    {
        return m_state;
    }

    /// Time since the latest proof that the log held no further records; empty before the first.
    std::optional<duration> proofAge(instant now) const
    {
        return m_freshness.proofAge(now);
    }

    /// Whether the entry must refuse new work at @p now because its configuration may be stale. Precondition: @p now was read
    /// right before the call.
    bool isCutOff(instant now) const
    {
        return !m_isEstablished || m_freshness.isCutOff(now, m_state.next());
    }

    const replica_counters &counters() const noexcept
    {
        return m_counters;
    }

private:
    struct window_record
    {
        transferred_record record;
        std::uint64_t digestBefore = 0;
    };

    struct peer_position
    {
        log_offset next = 0;
        std::uint64_t digest = 0;
    };

    config_replica(const replica_settings &settings, std::uint64_t seed);

    bool isScanning() const noexcept;
    bool canSupply(const peer_position &peer) const noexcept;
    void applyRecord(instant now, log_offset offset, const std::optional<std::string> &text, config_effects &effects);
    void applyChange(log_offset offset, const config_change &change, config_effects &effects);
    void noteSnapshot(instant now, log_offset offset, const config_snapshot &snapshot);
    void addToWindow(transferred_record record, std::uint64_t digestBefore);
    void scanForSnapshot(instant now, const log_batch &batch, config_effects &effects);
    bool adopt(instant now, const config_snapshot &snapshot, config_effects &effects);
    void requestFromNextPeer(instant now, config_effects &effects);
    void checkAgreement(const std::string &peer, const peer_summary &summary, config_effects &effects);
    std::optional<std::uint64_t> digestAt(log_offset next) const;
    bool isLogResponsive(instant now) const;

    replica_settings m_settings;
    config_state m_state;
    bool m_isEstablished = false;
    std::optional<log_offset> m_scanFrom; ///< Where to search the log for a snapshot; set once the log no longer holds the next record.
    log_offset m_logOldest = 0;
    std::deque<window_record> m_window;
    std::size_t m_windowBytes = 0;
    std::map<std::string, peer_position> m_peers;
    std::optional<instant> m_lastLogAnswerAt;
    std::optional<instant> m_lastPeerRequestAt;
    std::string m_lastRequestedPeer;
    config_freshness m_freshness;
    config_snapshot_schedule m_schedule;
    replica_counters m_counters;
};

} // namespace heatherroute
