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

/// The options of a router_core.
struct core_options
{
    std::string entryName;
    std::string half;
    std::string zone;
    std::string callerAddress; ///< `IP:port` that callers use.
    std::uint64_t incarnation = 0; ///< Differs between any two starts of an entry.
    std::uint64_t seed = 0; ///< Seed of the random number generators.
    std::size_t maxRequests = 2048; ///< Maximum number of requests in flight; further ones are rejected immediately.
    duration defaultDeadline = std::chrono::minutes(5); ///< Deadline of requests that name none.
    duration streamStallTimeout = std::chrono::milliseconds(1'500); ///< Time without tokens after which a decode stream is resumed over a new connection.
    duration stopLimit = std::chrono::minutes(10); ///< Maximum duration of a graceful shutdown.
    replica_settings configuration; ///< Settings of this entry's replica of the configuration.
    placement_kind placement = placement_kind::OwnerGrants; ///< The policy by which engines are chosen.
    placement_settings targets; ///< The latency targets and parameters of the policy.
    duration entryLifetime = std::chrono::seconds(30); ///< Time for which callers may cache the list of entries.
    std::string region;
    std::string peerAddress; ///< `IP:port` that peers use; empty for an entry without peers.
    std::vector<std::string> seeds; ///< Addresses of the peers that are contacted first.
    membership_settings membership;
};

/**
 * The decision core of an entry.
 *
 * A deterministic state machine without I/O. The same options, events and instants produce the same actions, so a run can be
 * repeated exactly, and the embedding program may use a simulated clock. Not thread safe; one thread owns it.
 */
class router_core
{
public:
    /// Creates a core without upstreams. Returns null and sets @p reason when the options are invalid.
    static std::unique_ptr<router_core> make(core_options options, last_reason *reason);
    ~router_core();
    router_core(const router_core &) = delete;
    router_core &operator=(const router_core &) = delete;

    /// Processes @p event and returns the resulting actions, in order.
    /// Precondition: @p now is not before that of an earlier call.
    std::vector<core_action> handle(instant now, core_event event);

private:
    class impl;
    explicit router_core(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute
