#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/config_flow.h"
#include "core/config_transfer.h"
#include "core/core_context.h"
#include "core/membership_flow.h"

namespace heatherroute
{

/**
 * Asks peers for their positions and passes on the configuration.
 *
 * While the log answers, one peer is asked at a time, which finds disagreements and spreads the age of snapshots. When it
 * doesn't, all peers are asked in turn within half of the time that a proof counts. Not thread safe.
 */
class config_exchange
{
public:
    /// Both must outlive this.
    config_exchange(core_context &context, config_flow &configuration);

    void onMember(const member_change &change);
    /// Takes in a message of the kinds of config_message.h; others are ignored.
    void onMessage(const peer_received &event);
    void onTick();
    /// Carries out what the replica asks for.
    void pull(const request_from_peer &request);

    /// What @p id last told of its configuration; empty when it hasn't yet.
    std::optional<std::pair<instant, log_offset>> positionOf(const member_id &id) const;

    /// How peer @p id is called towards the replica.
    static std::string keyOf(const member_id &id);

private:
    struct question
    {
        instant askedAt;
        member_id peer;
    };

    void receive(const peer_received &from, const config_question &body);
    void receive(const peer_received &from, const config_answer &body);
    void receive(const peer_received &from, const config_pull &body);
    void receive(const peer_received &from, const config_part &body);
    void askNext();
    duration interval() const;

    core_context &m_context;
    config_flow &m_configuration;
    std::map<member_id, std::string> m_addresses;
    std::map<std::string, member_id> m_peersByKey;
    std::map<member_id, std::pair<instant, log_offset>> m_positions;
    std::map<std::uint64_t, question> m_questions; ///< By their numbers, which grow with the time.
    std::uint64_t m_lastNumber = 0;
    member_id m_lastAsked;
    instant m_askAt{};
    member_id m_pulledFrom;
    transfer_assembly m_assembly;
};

} // namespace heatherroute
