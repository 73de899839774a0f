#pragma once

#include "heatherroute/config_currency.h"
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
    currency_settings currency;
    duration logRetention = std::chrono::hours(1); ///< For how long the log keeps a record.
    duration logPatience = std::chrono::seconds(1); ///< Peers are asked when the log hasn't answered for this long.
    duration peerRetry = std::chrono::milliseconds(500); ///< Time between two requests to peers.
    std::size_t windowRecords = 4096; ///< Records kept to pass on.
    std::size_t windowBytes = std::size_t{1024} * 1024; ///< Their total size.
};

/// A record as read from the log.
struct log_record
{
    log_offset offset = 0;
    std::string text;

    bool operator==(const log_record &) const = default;
};

/// An answer of the log: consecutive records from the offset asked for.
struct log_batch
{
    log_offset oldest = 0; ///< The first record that the log still holds.
    log_offset next = 0; ///< The offset of the next append.
    std::vector<log_record> records;

    bool operator==(const log_batch &) const = default;
};

/// A record passed on by a peer. Without text it was one that has no effect on the state.
struct passed_record
{
    log_offset offset = 0;
    std::optional<std::string> text;

    bool operator==(const passed_record &) const = default;
};

/// Asks a peer for what follows @p from, or for its whole state.
struct peer_request
{
    log_offset from = 0;
    bool whole = false;

    bool operator==(const peer_request &) const = default;
};

/// A peer's answer: the records from the offset asked for, or its whole state as an encoded snapshot.
struct peer_transfer
{
    std::vector<passed_record> records;
    std::optional<std::string> snapshot;

    bool operator==(const peer_transfer &) const = default;
};

/// A publication was decided on; `result.changed` names what is to be looked at again.
struct publish_decided
{
    std::string publishId;
    apply_result result;
};

/// The whole state was replaced by a newer one; `changed` names what differs.
struct state_adopted
{
    std::vector<entity_key> changed;
};

/// Append this snapshot to the log; losing or repeating it does no harm.
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

/// A peer at the same position holds something else: a fault of one of the two.
struct state_disagreement
{
    std::string peer;
    log_offset next = 0;
};

using config_effect = std::variant<publish_decided, state_adopted, append_snapshot, request_from_peer, state_disagreement>;
using config_effects = std::vector<config_effect>;

/// Counts for metrics; they only grow.
struct replica_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t staleBase = 0;
    std::uint64_t duplicatePublish = 0;
    std::uint64_t invalid = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t snapshotsSeen = 0;
    std::uint64_t snapshotsWrong = 0; ///< Snapshots on the log that differ from what the records led to.
    std::uint64_t statesAdopted = 0;
    std::uint64_t disagreements = 0;

    bool operator==(const replica_counters &) const = default;
};

/**
 * One entry's copy of the configuration, fed by the log and by peers.
 *
 * It holds nothing but prefixes of the log: records are taken strictly in the order of their offsets, and a peer passes
 * on records by offset or the state that a longer prefix led to. So whatever the mix of sources, two entries at the same
 * position hold the same, and a position never falls. Every handler returns what is to be done next. Not thread safe.
 */
class config_replica
{
public:
    /// An entry that knows nothing yet. Empty with @p reason for settings out of range. @p seed differs between entries.
    static std::unique_ptr<config_replica> make(const replica_settings &settings, std::uint64_t seed, last_reason *reason = nullptr);

    /// Where to read the log next.
    log_offset readFrom() const noexcept;

    /// The log, asked at @p askedAt for records from readFrom() on, answered with @p batch.
    config_effects onLogRead(instant askedAt, instant now, const log_batch &batch);
    /// The log has forgotten the record asked for; its first one is @p oldest.
    config_effects onLogForgotten(instant now, log_offset oldest);
    /// @p peer, asked at @p askedAt, answered with @p summary.
    config_effects onPeerSummary(instant askedAt, instant now, const std::string &peer, const peer_summary &summary);
    /// @p peer answered a `request_from_peer`.
    config_effects onPeerTransfer(instant now, const peer_transfer &transfer);
    /// Membership gave @p peer up.
    void onPeerGone(const std::string &peer);
    /// Membership knows @p count other entries.
    void setPeerCount(std::size_t count);
    /// To be called a few times a second.
    config_effects tick(instant now);

    /// The answer to a peer's request.
    peer_transfer answer(const peer_request &request) const;
    /// The answer to a peer's question.
    peer_summary summary(instant now) const;

    /// Whether the state is a prefix of the log at all; false on a fresh entry that has heard nothing.
    bool isEstablished() const noexcept
    {
        return m_isEstablished;
    }

    /// The configuration; meaningful once isEstablished().
    const config_state &state() const noexcept
    {
        return m_state;
    }

    /// Time since the latest proof that the log holds nothing more; empty before the first.
    std::optional<duration> freshness(instant now) const
    {
        return m_currency.freshness(now);
    }

    /// Whether the entry may not give new work at @p now. Precondition: @p now was read right before the call.
    bool isCutOff(instant now) const
    {
        return !m_isEstablished || m_currency.isCutOff(now, m_state.next());
    }

    const replica_counters &counters() const noexcept
    {
        return m_counters;
    }

private:
    struct window_record
    {
        passed_record record;
        std::uint64_t digestBefore = 0;
    };

    struct peer_position
    {
        log_offset next = 0;
        std::uint64_t digest = 0;
    };

    config_replica(const replica_settings &settings, std::uint64_t seed);

    bool isScanning() const noexcept;
    bool isAhead(const peer_position &peer) const noexcept;
    void consume(instant now, log_offset offset, const std::optional<std::string> &text, config_effects &effects);
    void consumeChange(log_offset offset, const config_change &change, config_effects &effects);
    void noteSnapshot(instant now, log_offset offset, const config_snapshot &snapshot);
    void keep(passed_record record, std::uint64_t digestBefore);
    void scan(instant now, const log_batch &batch, config_effects &effects);
    bool adopt(instant now, const config_snapshot &snapshot, config_effects &effects);
    void askPeer(instant now, config_effects &effects);
    void checkAgreement(const std::string &peer, const peer_summary &summary, config_effects &effects);
    std::optional<std::uint64_t> digestAt(log_offset next) const;
    bool isLogHeard(instant now) const;

    replica_settings m_settings;
    config_state m_state;
    bool m_isEstablished = false;
    std::optional<log_offset> m_scanFrom; ///< Set while the log lacks records that follow the state.
    log_offset m_logOldest = 0;
    std::deque<window_record> m_window;
    std::size_t m_windowBytes = 0;
    std::map<std::string, peer_position> m_peers;
    std::optional<instant> m_logHeardAt;
    std::optional<instant> m_peerAskedAt;
    std::string m_lastAskedPeer;
    config_currency m_currency;
    config_snapshot_schedule m_schedule;
    replica_counters m_counters;
};

} // namespace heatherroute
