#pragma once

#include "heatherroute/config_record.h"
#include "heatherroute/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heatherroute
{

/// The configuration state that an entry reports to a peer that queries it.
struct peer_summary
{
    bool isEstablished = false; ///< Whether the entry holds the state of some prefix of the log.
    log_offset next = 0; ///< Offset of the first record that the entry has not applied.
    std::uint64_t digest = 0; ///< `config_state::digest` at that position.
    std::optional<duration> logProofAge; ///< Age of the latest proof that the log ended at `next` or below; empty before the first.
    log_offset snapshotNext = 0; ///< `next` of the latest snapshot known to be on the log.
    std::optional<duration> snapshotAge; ///< Time since that snapshot was appended; empty when unknown.

    auto operator<=>(const peer_summary &) const = default;
};

/// Limits of `config_freshness`.
struct freshness_settings
{
    duration maxProofAge = std::chrono::seconds(3); ///< Max age at which a freshness proof still counts.
    /// Percentage of the other entries, as known at the last proof from the log, that must answer while the log doesn't.
    unsigned quorumPercent = 51;
};

/**
 * Decides whether an entry's configuration is fresh enough to accept new work.
 *
 * A freshness proof states that at some instant the log held no record that the entry hasn't applied. It is dated by the
 * time at which the request was sent, never by the time at which its answer was handled, so answers that were buffered
 * while the process was paused prove nothing. A peer passes its proof on together with its age, which needs no
 * synchronised clocks. When no proof is available from the log or from any peer, the log itself is assumed to be down,
 * and recent answers from a quorum of entries, none of which has a later position, are enough. Without a recent proof, an
 * entry that has been behind one known position of the log for longer than the max age of a proof is cut off regardless of
 * the quorum. Not thread safe.
 */
class config_freshness
{
public:
    explicit config_freshness(const freshness_settings &settings)
        : m_settings(settings)
    { }

    /// Processes an answer of the log: for a request sent at @p requestedAt, the log ended at @p end. As in the functions below,
    /// @p ownNext is the offset of the first record that this entry has not applied.
    void onLogEnd(instant requestedAt, log_offset end, log_offset ownNext);
    /// Processes @p summary, the answer of @p peer to a query sent at @p requestedAt.
    void onPeerSummary(instant requestedAt, const std::string &peer, const peer_summary &summary, log_offset ownNext);
    /// Removes the state of @p peer, which membership declared dead.
    void onPeerGone(const std::string &peer);
    /// Sets the number of other entries that membership knows.
    void setPeerCount(std::size_t count);
    /// Call after the entry has applied all records below @p ownNext. Adopts the proofs of peers at or below that position.
    void onProgress(instant now, log_offset ownNext);

    /// Date of the latest freshness proof; empty before the first.
    std::optional<instant> logProof() const noexcept
    {
        return m_logProof;
    }

    /// Time since the latest freshness proof; empty before the first.
    std::optional<duration> proofAge(instant now) const;
    /// Whether the entry must refuse new work at @p now because its configuration may be stale. Precondition: @p now was read
    /// right before the call.
    bool isCutOff(instant now, log_offset ownNext) const;

private:
    struct peer_status
    {
        instant requestedAt;
        log_offset next = 0;
        std::optional<instant> logProof;
    };

    bool isRecent(instant at, instant now) const;
    void updateKnownEnd(instant at, log_offset end, log_offset ownNext);
    std::size_t quorum() const;

    freshness_settings m_settings;
    std::map<std::string, peer_status> m_peers;
    std::optional<instant> m_logProof;
    std::optional<instant> m_behindSince;
    log_offset m_behindTarget = 0; ///< Position at which the entry has caught up and m_behindSince is reset.
    log_offset m_knownEnd = 0;
    std::size_t m_peerCount = 0;
    std::size_t m_peersAtLogProof = 0;
};

} // namespace heatherroute
