#pragma once

#include "heatherroute/last_reason.h"
#include "heatherroute/peer_message.h"
#include "heatherroute/time.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heatherroute
{

/// Times and limits of the membership protocol.
struct membership_settings
{
    duration probePeriod = std::chrono::milliseconds(400); ///< One member is probed per period.
    duration ackTimeout = std::chrono::milliseconds(120); ///< Time without an acknowledgement before other members are asked to probe; less than probePeriod.
    std::uint32_t indirectProbes = 3; ///< Max number of other members asked to probe one that didn't answer.
    double suspicionFactor = 0.9; ///< A suspicion lasts this factor times log2(members + 1) periods, but at least 2 periods.
    duration maxTimerDelay = std::chrono::milliseconds(200); ///< A timer that fires later than this shows that this process was paused.
    duration deadRetention = std::chrono::minutes(30); ///< How long dead members are kept; longer than a network partition between regions lasts.
    std::uint32_t retryDeadEvery = 4; ///< Periods between probes of a dead member or a hinted address.
    std::uint32_t syncEvery = 10; ///< Periods between requests for a page of the member list.
    std::size_t maxMembers = 1024; ///< Max number of known members, including dead ones.
    std::size_t maxHints = 1024; ///< Max number of addresses in membership_hints; further ones are ignored.

    auto operator<=>(const membership_settings &) const = default;
};

/// The instant given by membership_effects::wakeAt has been reached.
struct membership_timer
{ };

/// A message from a peer. The content of kinds other than those in membership_message.h is ignored, but shows that the sender is alive.
struct membership_received
{
    std::string fromAddress;
    member_id sender;
    peer_body body;
};

/// Addresses at which peers may run, from the platform's VM list and the settings; replaces the previous list.
struct membership_hints
{
    std::vector<std::string> addresses;
};

/// The summary that this entry sends to its peers has changed.
struct membership_summary
{
    node_summary summary;
};

/// A planned stop begins. It is announced to all members and can't be revoked.
struct membership_leave
{ };

/// The planned stop is complete; the last event of a process.
struct membership_departed
{ };

using membership_event = std::variant<membership_timer, membership_received, membership_hints, membership_summary, membership_leave, membership_departed>;

/// A datagram to send.
struct membership_send
{
    std::string address;
    peer_body body;
};

/// A member was added, or its state or reported configuration changed.
struct member_change
{
    std::optional<member_state> before; ///< Empty for a new member.
    member now;
};

struct membership_effects
{
    std::vector<membership_send> sends;
    std::vector<member_change> changes;
    instant wakeAt; ///< When to deliver the next membership_timer; replaces the previous instant.
};

/// Counters since the start of the process.
struct membership_counters
{
    std::uint64_t probesSent = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t suspicionsRaised = 0; ///< By this member.
    std::uint64_t suspicionsRefuted = 0; ///< Of other members, as seen here.
    std::uint64_t refutationsOfSelf = 0;
    std::uint64_t deathsDeclared = 0; ///< By this member's own suspicion timers.
    std::uint64_t probeFailuresSuppressed = 0; ///< Unanswered probes that raised no suspicion because this process ran late.
    std::uint64_t membersRejected = 0; ///< Not added because maxMembers was reached.

    auto operator<=>(const membership_counters &) const = default;
};

/// The state of the protocol, for dumps.
struct membership_dump
{
    member self;
    std::vector<member> members; ///< The other members in the order of ids, including dead ones.
    std::uint32_t localHealthScore = 0; ///< 0 is healthy; probePeriod and ackTimeout are multiplied by one plus this score.
    std::optional<instant> lastReceivedAt; ///< When the last message from a peer was received.
    std::size_t queuedUpdates = 0;
    membership_counters counters;
};

/**
 * Group membership with failure detection: which other entries are running, as seen by this entry.
 *
 * There is neither a leader nor consensus: each entry probes one other entry per period, so its cost doesn't grow with the
 * fleet, and gossips changes along with the probes. The algorithm is SWIM (Das, Gupta, Motivala: "SWIM: scalable
 * weakly-consistent infection-style process group membership protocol", 2002) with its suspicion and round-robin
 * extensions, and the local health of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: local health awareness for more
 * accurate failure detection", 2018). Unlike in SWIM, a dead member may refute its death, since whole regions can
 * be partitioned and reconnect; docs/design/MEMBERSHIP.md gives the reasons.
 *
 * Deterministic: the time and the random seed are arguments. Not thread safe.
 */
class membership
{
public:
    virtual ~membership() = default;

    /**
     * Makes a member that knows only itself; the first timer is due at once.
     *
     * @p self must have a name and a peer address, state Alive and refutation 0. Returns null and sets @p reason when @p self
     * or @p settings are invalid. @p seed should differ between processes.
     */
    static std::unique_ptr<membership> make(const membership_settings &settings, const member &self, std::uint64_t seed, last_reason *reason);

    /// Processes one event. Precondition: @p now never decreases.
    virtual membership_effects handle(instant now, const membership_event &event) = 0;

    /// This entry as announced to its peers.
    virtual const member &self() const = 0;

    /// The other members that are not dead, in the order of ids.
    virtual std::vector<member> members() const = 0;

    /// When the last message from a peer was received; empty before the first. An entry that receives nothing from peers and
    /// from the log must refuse new work.
    virtual std::optional<instant> lastReceivedAt() const = 0;

    virtual membership_dump dump() const = 0;
};

} // namespace heatherroute
