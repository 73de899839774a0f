#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "heatherroute/config_replica.h"
#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "heatherroute/last_reason.h"
#include "heatherroute/membership.h"
#include "heatherroute/placement.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// What a core must know of itself from the start.
struct core_options
{
    std::string entryName;
    std::string half;
    std::string zone;
    std::string callerAddress; ///< `IP:port` that callers use.
    std::uint64_t incarnation = 0; ///< Differs between any two starts of an entry.
    std::uint64_t seed = 0; ///< Of all random choices.
    std::size_t maxRequests = 2048; ///< Requests in flight; more are refused at once.
    duration defaultDeadline = std::chrono::minutes(5); ///< Of requests that name none.
    duration streamStall = std::chrono::milliseconds(1'500); ///< Silence of a decode stream before its connection is doubted.
    duration stopLimit = std::chrono::minutes(10); ///< The longest graceful shutdown.
    replica_settings configuration; ///< Of this entry's copy of the configuration.
    placement_kind placement = placement_kind::OwnerGrants; ///< How engines are chosen.
    placement_settings targets; ///< What the choice aims at.
    duration entryLifetime = std::chrono::seconds(30); ///< How long callers may keep the entry answer.
    std::string region;
    std::string peerAddress; ///< `IP:port` that peers use; empty for an entry on its own.
    std::vector<std::string> seeds; ///< Addresses of peers that are asked first.
    membership_settings membership;
};

/**
 * The decision core of an entry.
 *
 * A deterministic state machine without I/O: the same options, events and instants give the same actions, so a run can be
 * repeated, and anything that drives it may use a clock of its own. Not thread safe; one thread owns it.
 */
class router_core
{
public:
    /// Makes a core that knows no upstream yet. On bad options returns null and sets @p reason.
    static std::unique_ptr<router_core> make(core_options options, last_reason *reason);
    ~router_core();
    router_core(const router_core &) = delete;
    router_core &operator=(const router_core &) = delete;

    /// Takes @p event in and returns what is to be done, in order.
    /// Precondition: @p now is not before that of an earlier call.
    std::vector<core_action> handle(instant now, core_event event);

private:
    class impl;
    explicit router_core(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute
