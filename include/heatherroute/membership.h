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
    duration ackTimeout = std::chrono::milliseconds(120); ///< Then other members are asked to probe; under probePeriod.
    std::uint32_t indirectProbes = 3;
    double suspicionFactor = 0.9; ///< A suspicion lasts this times log2(members + 1) periods.
    duration lateTolerance = std::chrono::milliseconds(200); ///< A timer later than this shows that this process was paused.
    duration deadRetention = std::chrono::minutes(30); ///< Longer than regions lose each other.
    std::uint32_t retryDeadEvery = 4; ///< Periods between probes of a dead member or a hinted address.
    std::uint32_t syncEvery = 10; ///< Periods between requests of a page of members.
    std::size_t maxMembers = 1024; ///< Dead ones included.
    std::size_t maxHints = 1024;

    auto operator<=>(const membership_settings &) const = default;
};

/// The instant asked for by membership_effects::wakeAt has come.
struct membership_timer
{ };

/// A peer's message of one of the membership kinds; others are ignored.
struct membership_received
{
    std::string fromAddress;
    member_id sender;
    peer_body body;
};

/// Addresses where peers may be, from the platform's VM list and the settings; replaces the earlier ones.
struct membership_hints
{
    std::vector<std::string> addresses;
};

/// What this entry tells of itself has changed.
struct membership_summary
{
    node_summary summary;
};

/// A planned stop begins: announced to all, taken back by nothing.
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

/// A member was learnt of, or its state, details or summary's configuration changed.
struct member_change
{
    std::optional<member_state> before; ///< Empty for a new member.
    member now;
};

struct membership_effects
{
    std::vector<membership_send> sends;
    std::vector<member_change> changes;
    instant wakeAt; ///< Deliver a membership_timer then; replaces the earlier instant.
};

/// Counted since the start.
struct membership_counters
{
    std::uint64_t probesSent = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t suspicionsRaised = 0; ///< By this member.
    std::uint64_t suspicionsRefuted = 0; ///< Of other members, as seen here.
    std::uint64_t refutationsOfSelf = 0;
    std::uint64_t deathsDeclared = 0; ///< By this member's own suspicion timers.
    std::uint64_t accusationsHeldBack = 0; ///< Failed probes and expired suspicions not acted on, as this process ran late.
    std::uint64_t membersRefused = 0; ///< Not remembered, for the limit.

    auto operator<=>(const membership_counters &) const = default;
};

/// The state for dumps.
struct membership_dump
{
    member self;
    std::vector<member> members; ///< Others, in the order of ids, dead ones included.
    std::uint32_t localHealth = 0; ///< 0 is healthy; timeouts are multiplied by one more than this.
    std::optional<instant> lastHeard; ///< When a peer was last heard.
    std::size_t queuedUpdates = 0;
    membership_counters counters;
};

/**
 * Who else runs, as far as this entry can tell.
 *
 * No entry is set apart and nothing is agreed: each entry probes one other per period, so its cost doesn't grow with the
 * fleet, and passes changes on with the probes. The algorithm is SWIM (Das, Gupta, Motivala: "SWIM: scalable
 * weakly-consistent infection-style process group membership protocol", 2002) with its suspicion and round-robin
 * extensions, and the local health of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: local health awareness for more
 * accurate failure detection", 2018). Unlike in SWIM a dead member may refute its death, since whole regions lose each
 * other and come back; docs/design/MEMBERSHIP.md gives the reasons.
 *
 * Pure: time and randomness are arguments. Not thread safe.
 */
class membership
{
public:
    virtual ~membership() = default;

    /**
     * Makes a member that knows only itself; the first timer is due at once.
     *
     * @p self must have a name and a peer address, state Alive and refutation 0. Empty with @p reason set when @p self or
     * @p settings can't work. @p seed should differ between processes.
     */
    static std::unique_ptr<membership> make(const membership_settings &settings, const member &self, std::uint64_t seed, last_reason *reason);

    /// Takes in one event. Precondition: @p now never goes back.
    virtual membership_effects handle(instant now, const membership_event &event) = 0;

    /// This entry as its peers are told of it.
    virtual const member &self() const = 0;

    /// The other members that are not dead, in the order of ids.
    virtual std::vector<member> members() const = 0;

    /// When a peer was last heard; empty before the first. An entry that hears neither peers nor log must give no new work.
    virtual std::optional<instant> lastHeard() const = 0;

    virtual membership_dump dump() const = 0;
};

} // namespace heatherroute
