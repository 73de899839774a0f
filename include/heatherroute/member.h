#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherroute
{

/**
 * Identifies one process of an entry, from its start to its end.
 *
 * A replaced VM keeps its address and often its name, but has none of its predecessor's state and commitments, so the
 * identity includes a number chosen at process start. Immutable value; safe to share between threads.
 */
struct member_id
{
    std::string name; ///< From the settings; at most kMaxMemberNameBytes.
    std::uint64_t incarnation = 0; ///< Unique per process start. Larger usually means later, but correctness doesn't depend on it.

    auto operator<=>(const member_id &) const = default;
};

/// State of a member as its peers see it. Of two reports with the same refutation number, the larger state takes precedence.
enum class member_state : std::uint8_t {
    Alive, ///< Answers probes.
    Suspected, ///< A probe failed; the member still owns its upstreams.
    Leaving, ///< Announced its planned stop; finishes work, takes no new work.
    Dead, ///< Suspected for too long, replaced, or gone after its planned stop.
};

/// Free decode slots of one pool as its owner last saw them.
struct pool_slots
{
    std::string pool; ///< Name of the pool; at most kMaxMemberNameBytes.
    std::uint32_t freeSlots = 0;

    auto operator<=>(const pool_slots &) const = default;
};

/**
 * State that a member attaches to each probe and acknowledgement, so that it needs no separate packets.
 *
 * It may be lost or stale, so use it only as a hint (which peer to query first, which peer may have a newer configuration).
 */
struct node_summary
{
    std::uint64_t configRevision = 0; ///< Revision of the configuration that the member has applied.
    std::uint64_t configDigest = 0; ///< Hash of that configuration's content.
    std::uint32_t loadPermille = 0; ///< Current work relative to the member's capacity.
    std::vector<pool_slots> freeSlotsByPool; ///< At most kMaxPools.

    auto operator<=>(const node_summary &) const = default;
};

/// One entry process as its peers know it.
struct member
{
    member_id id;
    std::uint32_t refutation = 0; ///< Increased only by the member itself, to overrule a report that it is suspected or dead.
    member_state state = member_state::Alive;
    std::string callerAddress; ///< `IP:port` for callers.
    std::string peerAddress; ///< `IP:port` for peers, over both UDP and TCP.
    std::string zone;
    std::string region;
    std::string half; ///< The half of the fleet it serves.
    node_summary summary; ///< The last one received from the member itself; not included in gossip.

    auto operator<=>(const member &) const = default;
};

inline constexpr std::size_t kMaxMemberNameBytes = 64;
inline constexpr std::size_t kMaxPools = 16;

/// The name used in dumps and metrics. Thread safe.
const char *toString(member_state state) noexcept;

} // namespace heatherroute
