#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherroute/crash_report.h"
#include "heatherroute/member.h"
#include "heatherroute/peer_message.h"
#include "heatherroute/registration.h"
#include "heatherroute/route_table.h"
#include "heatherroute/store_update.h"
#include "heatherroute/time.h"
#include "relay/lease_term.h"
#include "relay/platform_store.h"
#include "relay/version_summary.h"

namespace heatherroute::node
{

/// A newer configuration has been read.
struct routes_read
{
    std::shared_ptr<const route_table> routes;
};

/// Registrations of upstreams were read from the store.
struct upstreams_reported
{
    std::vector<registration> reports;
    std::vector<std::string> removed; ///< Ids of upstreams whose registration was removed.
    std::vector<std::string> unreadable; ///< Keys whose newest record is no registration, which says nothing about an upstream of that id.
    bool isSnapshot = false; ///< The reports are a full snapshot of the store, not an increment.
    instant readBegunAt{};
    std::optional<registrations_position> position; ///< The end of the read, if it is known.
};

/// The store has become unreachable, or reachable again.
struct store_reachability
{
    bool reachable = false;
};

/// The list of other entries has changed.
struct members_changed
{
    std::vector<member> others; ///< All other entries that are not dead.
};

/// An update about the store was received from another entry.
struct store_update_received
{
    store_update update;
    std::uint64_t era = 0; ///< The era of the store that the sender has read; 0 when it knows none.
    std::string from; ///< The sender's peer address.
};

/// An entry's record of crashes was read from the store.
struct recorded_crashes_read
{
    crash_evidence evidence;
    bool isOwn = false; ///< Written by this entry before it restarted.
};

/// The store has come back from an older copy, or its era has become known.
struct store_era_changed
{
    std::uint64_t era = 0;
    bool isRestored = false; ///< What was read before is void.
};

/// Reports of crashes were received from another entry.
struct crash_reports_received
{
    crash_message message;
};

/// A message about limits was received from another entry.
struct rate_limit_received
{
    std::string from; ///< The sender's peer address.
    rate_limit_message message;
};

/// The store holds what the last origins_to_record had.
struct origins_recorded
{ };

/// Origins of streams were read from the records of the entries.
struct recorded_origins_read
{
    std::vector<stream_origin> origins;
    bool isLast = false; ///< The read has ended, whether it found all records or not.
};

/// A summary of versions was read from the records of the entries, and the registrations from its position on.
struct recorded_versions_read
{
    version_summary summary;
    instant writtenBefore{}; ///< When the summary was read.
    instant readBegunAt{}; ///< When the read of the registrations began.
    std::vector<seen_version> later; ///< The versions of these registrations.
};

/// Another entry has said which upstreams it reaches.
struct entry_reach_received
{
    std::string from; ///< The sender's peer address.
    entry_reach statement;
};

/// A message about the origin of a stream was received from another entry.
struct stream_origin_received
{
    std::string from; ///< The sender's peer address.
    stream_origin_message message;
};

/// A message about the quota of a team was received from another entry.
struct team_quota_received
{
    std::string from; ///< The sender's peer address.
    team_quota_message message;
};

/// A message about the currency of the configuration was received from another entry.
struct config_currency_received
{
    std::string from; ///< The sender's peer address.
    config_currency_message message;
};

/// A message about placements of engines was received from another entry.
struct engine_placement_received
{
    std::string from; ///< The sender's peer address.
    engine_placement_message message;
};

/// The entries that are recorded in the store have been read.
struct recorded_entries_read
{
    std::size_t count = 0;
};

/// The store has answered that it holds no configuration newer than @c version.
struct config_confirmed
{
    std::uint64_t version = 0;
    std::int64_t askedAtMs = 0; ///< When the store was asked, by bootMilliseconds().
};

/// An event for the relay's thread from the other duties.
using relay_event = std::variant<routes_read,
                                 upstreams_reported,
                                 store_reachability,
                                 lease_term,
                                 members_changed,
                                 store_update_received,
                                 crash_reports_received,
                                 recorded_crashes_read,
                                 store_era_changed,
                                 rate_limit_received,
                                 stream_origin_received,
                                 entry_reach_received,
                                 origins_recorded,
                                 recorded_origins_read,
                                 recorded_versions_read,
                                 team_quota_received,
                                 config_currency_received,
                                 engine_placement_received,
                                 config_confirmed,
                                 recorded_entries_read>;

/// The peer addresses of entries that are recorded in the store.
struct entry_addresses
{
    std::vector<std::string> addresses;
};

/// The summary that this entry publishes to the other entries has changed.
struct own_summary
{
    node_summary summary;
};

/// This entry is stopping and leaves the membership.
struct leave_membership
{ };

/// An update about the store to send to all other entries.
struct store_update_broadcast
{
    store_update update;
    std::uint64_t era = 0; ///< 0 when unknown.
};

/// A message to send to other entries in a datagram.
struct message_to_send
{
    peer_body body;
    std::optional<std::string> peerAddress; ///< The only receiver; all other entries if empty.
};

/// An event for the membership's thread from the other duties.
using member_event = std::variant<entry_addresses, own_summary, leave_membership, store_update_broadcast, message_to_send>;

/// Whether this entry should acquire or keep the lease, which grants the right to send orders to engines.
struct lease_wanted
{
    bool wanted = false;
};

/// How this entry should follow the store: by frequent reads, or by rare reads and updates from other entries.
struct store_polling_changed
{
    bool frequent = true;
    duration minRetryDelay{}; ///< After a failed read.

    bool operator==(const store_polling_changed &) const = default;
};

/// Another entry has a newer configuration.
struct config_outdated
{ };

/// Another entry has seen a newer era of the store.
struct newer_era_seen
{
    std::uint64_t era = 0;
};

/// What this entry has observed of crashes, which the entries must know even if all of them restart.
struct crashes_to_record
{
    crash_evidence evidence; ///< All of it. Without any, the record of this entry is deleted.
};

/// Origins of streams that the entries must know even if all of them restart. origins_recorded answers it; there is one at a time.
struct origins_to_record
{
    std::string record; ///< As makeOriginRecord() returns it.
};

/// The records of the origins of streams are to be read as far as they haven't been.
struct recorded_origins_wanted
{
    bool withVersions = false; ///< Also a summary of versions, and the registrations from its position on.
};

/// The registrations of upstreams are to be read at once.
struct registrations_wanted
{ };

/// The process is stopping. The store duty stops reading and releases the lease; it goes on writing until the process ends.
struct store_stop
{ };

/// An event for the store's thread from the other duties.
using store_event = std::variant<lease_wanted,
                                 store_polling_changed,
                                 config_outdated,
                                 newer_era_seen,
                                 crashes_to_record,
                                 origins_to_record,
                                 recorded_origins_wanted,
                                 registrations_wanted,
                                 store_stop>;

} // namespace heatherroute::node
