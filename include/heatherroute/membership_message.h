#pragma once

#include "heatherroute/member.h"
#include "heatherroute/peer_serialize.h"

#include <optional>

/**
 * The messages of the membership protocol.
 *
 * Each fits one datagram. One serialize function per message serves both directions. peer_message.h lists all kinds of
 * messages.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxAddressBytes = 64;
inline constexpr std::size_t kMaxUpdatesPerMessage = 64;

template<typename Archive>
void serialize(Archive &archive, member_id &id)
{
    serializeText(archive, id.name, kMaxMemberNameBytes);
    archive(id.incarnation);
}

template<typename Archive>
void serialize(Archive &archive, pool_slots &slots)
{
    serializeText(archive, slots.pool, kMaxMemberNameBytes);
    archive(slots.freeSlots);
}

template<typename Archive>
void serialize(Archive &archive, node_summary &summary)
{
    archive(summary.configRevision, summary.configDigest, summary.loadPermille);
    serializeList(archive, summary.freeSlotsByPool, kMaxPools);
}

/// Addresses and location of a member; included only when the receiver may not know the member yet.
struct member_details
{
    std::string callerAddress;
    std::string peerAddress;
    std::string zone;
    std::string region;
    std::string half;

    auto operator<=>(const member_details &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeText(archive, callerAddress, kMaxAddressBytes);
        serializeText(archive, peerAddress, kMaxAddressBytes);
        serializeText(archive, zone, kMaxMemberNameBytes);
        serializeText(archive, region, kMaxMemberNameBytes);
        serializeText(archive, half, kMaxMemberNameBytes);
    }
};

/// A report about one member, gossiped between peers.
struct member_update
{
    member_id id;
    std::uint32_t refutation = 0;
    member_state state = member_state::Alive;
    std::optional<member_details> details;

    auto operator<=>(const member_update &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, refutation);
        serializeEnum(archive, state, member_state::Dead);
        std::uint8_t hasDetails = details.has_value() ? 1 : 0;
        archive(hasDetails);
        if (hasDetails == 0) {
            details.reset();
            return;
        }
        if (!details) {
            details.emplace();
        }
        archive(*details);
    }
};

/// Probes the process at an address.
struct probe
{
    std::uint32_t number = 0; ///< Copied into the acknowledgement.
    member_id target; ///< The member expected at the address; its name is empty when the sender only knows the address.
    node_summary summary;
    std::vector<member_update> updates;

    auto operator<=>(const probe &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, target, summary);
        serializeList(archive, updates, kMaxUpdatesPerMessage);
    }
};

/// Acknowledges a probe, directly or through a peer that probed on behalf of another.
struct probe_ack
{
    std::uint32_t number = 0;
    member_id subject; ///< The member that answered; differs from the sender when relayed, and from the target when that was replaced.
    bool introduce = false; ///< The sender doesn't know the receiver and asks it to join.
    node_summary summary; ///< Summary of the sender.
    std::vector<member_update> updates;

    auto operator<=>(const probe_ack &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t flag = introduce ? 1 : 0;
        archive(number, subject, flag, summary);
        introduce = flag != 0;
        serializeList(archive, updates, kMaxUpdatesPerMessage);
    }
};

/// Asks a peer to probe a member that didn't answer the sender.
struct indirect_probe
{
    std::uint32_t number = 0; ///< Copied into the relayed acknowledgement.
    member_id target;
    std::string targetAddress;

    auto operator<=>(const indirect_probe &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, target);
        serializeText(archive, targetAddress, kMaxAddressBytes);
    }
};

/// Introduces the sender; answered with the first page of the member list.
struct join_request
{
    member_update self;

    auto operator<=>(const join_request &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(self);
    }
};

/// Requests the members that follow @c after in the order of ids.
struct sync_request
{
    member_id after; ///< An empty name requests the first page.

    auto operator<=>(const sync_request &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(after);
    }
};

/// A page of the members that the sender knows, with details.
struct sync_page
{
    bool last = true; ///< No members follow.
    member_id end; ///< The value of sync_request::after for the next page.
    std::vector<member_update> updates;

    auto operator<=>(const sync_page &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t flag = last ? 1 : 0;
        archive(flag, end);
        last = flag != 0;
        serializeList(archive, updates, kMaxUpdatesPerMessage);
    }
};

} // namespace heatherroute
