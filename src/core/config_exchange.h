#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/config_handler.h"
#include "core/config_transfer.h"
#include "core/core_context.h"
#include "core/membership_handler.h"

namespace heatherroute
{

/**
 * Queries peers for their positions and transfers configuration state between entries.
 *
 * While the latest freshness proof is younger than half of its max age, one peer is queried per second, which detects
 * disagreements and propagates the age of snapshots. Otherwise, usually because the log doesn't answer, all peers are queried
 * in turn within half of that max age, at intervals from 10 ms to 250 ms; the lower limit takes precedence in a large fleet.
 * Not thread safe.
 */
class config_exchange
{
public:
    /// Both arguments must outlive this object.
    config_exchange(core_context &context, config_handler &configuration);

    /// Updates the peers to query and their addresses.
    void onMember(const member_change &change);
    /// Processes a message of one of the kinds in config_message.h; ignores others.
    void onMessage(const peer_received &event);
    /// Queries the next peer when that is due.
    void onTick();
    /// Sends a request of the replica to its peer and expects the transfer; does nothing when the peer is unknown.
    void pull(const request_from_peer &request);

    /// The last reported position of @p id and the time of the query; empty before its first reply.
    std::optional<std::pair<instant, log_offset>> positionOf(const member_id &id) const;

    /// The key that identifies peer @p id in the replica.
    static std::string peerKey(const member_id &id);

private:
    struct pending_query
    {
        instant requestedAt;
        member_id peer;
    };

    void receive(const peer_received &from, const config_query &body);
    void receive(const peer_received &from, const config_reply &body);
    void receive(const peer_received &from, const config_pull &body);
    void receive(const peer_received &from, const config_part &body);
    void queryNextPeer();
    duration queryInterval() const;

    core_context &m_context;
    config_handler &m_configuration;
    std::map<member_id, std::string> m_addresses;
    std::map<std::string, member_id> m_peersByKey;
    std::map<member_id, std::pair<instant, log_offset>> m_positions;
    std::map<std::uint64_t, pending_query> m_pendingQueries; ///< By number; numbers increase over time, so the first is the oldest.
    std::uint64_t m_lastNumber = 0;
    member_id m_lastQueried;
    instant m_nextQueryAt{};
    member_id m_pulledFrom;
    transfer_assembler m_assembler;
};

} // namespace heatherroute
