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

/// What an entry says of its configuration to a peer that asks.
struct peer_summary
{
    bool isEstablished = false; ///< Whether it knows a prefix of the log at all.
    log_offset next = 0;
    std::uint64_t digest = 0;
    std::optional<duration> logProofAge; ///< Age of its latest proof that the log ended at `next` or below.
    log_offset snapshotNext = 0; ///< `next` of the latest snapshot that it has seen on the log.
    std::optional<duration> snapshotAge; ///< How long ago that one was appended; empty when unknown.

    auto operator<=>(const peer_summary &) const = default;
};

/// Limits of `config_currency`.
struct currency_settings
{
    duration bound = std::chrono::seconds(3); ///< A proof counts for this long.
    unsigned quorumPercent = 51; ///< Of the entries known when the log last answered, those to be heard when it doesn't.
};

/**
 * Decides whether an entry may still give new work under the configuration that it has.
 *
 * A proof says: at this instant the log held nothing that the entry hasn't taken in. It is dated at the moment the
 * question was asked, never when its answer was handled, so answers that waited in a buffer while the process was paused
 * prove nothing. A peer hands its proof on with its age, which needs no common clock. When no proof is to be had, from
 * the log or from any peer, the log itself is taken to be down, and it is enough to hear a quorum of entries none of
 * which knows more. Not thread safe.
 */
class config_currency
{
public:
    explicit config_currency(const currency_settings &settings)
        : m_settings(settings)
    { }

    /// The log, asked at @p askedAt, ended at @p end.
    void onLogEnd(instant askedAt, log_offset end, log_offset ownNext);
    /// @p peer, asked at @p askedAt, answered with @p summary.
    void onPeer(instant askedAt, const std::string &peer, const peer_summary &summary, log_offset ownNext);
    /// Membership has given @p peer up.
    void onPeerGone(const std::string &peer);
    /// @p count other entries are known.
    void setPeerCount(std::size_t count);
    /// The entry has taken in records up to @p ownNext; credits what peers at or below it have proved.
    void onProgress(instant now, log_offset ownNext);

    /// The latest proof; empty before the first.
    std::optional<instant> logProof() const noexcept
    {
        return m_logProof;
    }

    /// Time since the latest proof; empty before the first.
    std::optional<duration> freshness(instant now) const;
    /// Whether the entry must stop giving new work at @p now. Precondition: @p now was read right before the call.
    bool isCutOff(instant now, log_offset ownNext) const;

private:
    struct peer_view
    {
        instant askedAt;
        log_offset next = 0;
        std::optional<instant> logProof;
    };

    bool isRecent(instant at, instant now) const;
    void noteKnown(instant at, log_offset known, log_offset ownNext);
    std::size_t quorum() const;

    currency_settings m_settings;
    std::map<std::string, peer_view> m_peers;
    std::optional<instant> m_logProof;
    std::optional<instant> m_behindSince;
    log_offset m_behindTarget = 0; ///< Reaching it ends the time counted from m_behindSince.
    log_offset m_knownEnd = 0;
    std::size_t m_peerCount = 0;
    std::size_t m_peersAtLogProof = 0;
};

} // namespace heatherroute
