#pragma once

#include "heatherroute/config_currency_message.h"
#include "heatherroute/config_message.h"
#include "heatherroute/crash_report.h"
#include "heatherroute/engine_placement_message.h"
#include "heatherroute/entry_reach.h"
#include "heatherroute/last_reason.h"
#include "heatherroute/membership_message.h"
#include "heatherroute/rate_limit_message.h"
#include "heatherroute/store_update.h"
#include "heatherroute/stream_origin_message.h"
#include "heatherroute/team_quota_message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace heatherroute
{

/**
 * Every kind of message between entries.
 *
 * To add a kind: define the struct with its serialize function in a header of its own subject, include that header here,
 * and append the type to the end of this list. Its index is its number on the wire, so kinds are never reordered or
 * removed within one kPeerProtocolVersion.
 */
using peer_body = std::variant<probe,
                               probe_ack,
                               indirect_probe,
                               join_request,
                               sync_request,
                               sync_page,
                               config_query,
                               config_reply,
                               config_pull,
                               config_part,
                               store_update,
                               crash_reports,
                               store_update_of_era,
                               open_attempts,
                               part_crash_reports,
                               completed_parts,
                               limit_reports,
                               permit_request,
                               permit_reply,
                               versioned_store_update,
                               stream_origin_report,
                               stream_origin_ack,
                               stream_origin_query,
                               stream_origin_reply,
                               stream_origin_batch,
                               entry_reach,
                               quota_request,
                               quota_reply,
                               quota_refund,
                               config_currency_query,
                               config_currency_reply,
                               engine_placement_request,
                               placement_reply,
                               placement_report,
                               origin_record_request,
                               origin_record_ack>;

/// Returns the message of one subject, such as crash_message, in @p body; empty when it is of another kind. Thread safe.
template<typename Message>
std::optional<Message> messageIn(const peer_body &body)
{
    return std::visit(
        [](const auto &message) -> std::optional<Message> {
            if constexpr (std::is_constructible_v<Message, decltype(message)>) {
                return message;
            } else {
                return std::nullopt;
            }
        },
        body);
}

/// Returns the @p message of one subject as the body of a message between entries. Thread safe.
template<typename Message>
peer_body bodyOf(const Message &message)
{
    return std::visit([](const auto &body) { return peer_body(body); }, message);
}

/// Sender and sequence number of a message.
struct peer_header
{
    std::uint64_t clusterId = 0; ///< From the settings; distinguishes fleets that share a network.
    member_id sender;
    std::uint64_t sequence = 0; ///< Increases with each message of the sender.

    auto operator<=>(const peer_header &) const = default;
};

/// A decoded message.
struct peer_message
{
    peer_header header;
    peer_body body;

    bool operator==(const peer_message &) const = default;
};

inline constexpr std::uint32_t kPeerMagic = 0x48525045;
inline constexpr std::uint8_t kPeerProtocolVersion = 1;
inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kMaxFrameBytes = 256UL * 1024;

/// Why a received packet was dropped; each value has its own counter.
enum class peer_drop : std::uint8_t {
    Oversized, ///< Longer than the limit of its transport.
    NotOurs, ///< Without the magic number.
    WrongVersion,
    ForeignCluster,
    UnknownKind,
    Malformed, ///< Truncated, over a container's limit, or with trailing bytes.
    Replayed, ///< The sequence number was seen before or lies before the replay window.
};
inline constexpr std::size_t kPeerDropReasons = 7;

/// The label used in metrics. Thread safe.
const char *toString(peer_drop reason) noexcept;

/// Either a message or the reason for dropping the packet.
using peer_decode_result = std::variant<peer_message, peer_drop>;

/// Encodes @p message; returns empty and sets @p reason when a container exceeds its limit or the message @p limitBytes. Thread safe.
std::optional<std::vector<std::byte>> encodePeerMessage(const peer_message &message, std::size_t limitBytes, last_reason *reason);

/// Decodes one packet; never throws and allocates no more than a small multiple of its length. Thread safe.
peer_decode_result decodePeerMessage(std::span<const std::byte> packet, std::size_t limitBytes, std::uint64_t clusterId) noexcept;

/// The cluster id for a cluster's name in the settings. Thread safe.
std::uint64_t clusterIdOf(const std::string &clusterName);

} // namespace heatherroute
