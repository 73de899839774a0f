#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherroute
{

/**
 * Names one run of one entry process.
 *
 * A VM that is replaced keeps its address and often its name, yet it knows nothing of what its predecessor promised, so
 * the identity includes a number chosen at process start. Immutable value; safe to share between threads.
 */
struct member_id
{
    std::string name; ///< From the settings; at most kMaxMemberNameBytes.
    std::uint64_t start = 0; ///< The incarnation: unique per process start. Larger usually means later, but nothing relies on it.

    auto operator<=>(const member_id &) const = default;
};

/// What the fleet believes of a member; the order is the precedence between reports of equal refutation number.
enum class member_state : std::uint8_t {
    Alive, ///< Answers probes.
    Suspected, ///< A probe failed; still owns what it owned.
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
 * What a member tells of itself with each probe and answer, since the packet travels anyway.
 *
 * It may be lost or old: it is fit for hints (whom to ask first, who may know a newer configuration), not for promises.
 */
struct node_summary
{
    std::uint64_t configRevision = 0; ///< The accepted configuration it has applied.
    std::uint64_t configDigest = 0; ///< Hash of that configuration's content.
    std::uint32_t loadPermille = 0; ///< Work in hand against what it can carry.
    std::vector<pool_slots> freeSlotsByPool; ///< At most kMaxPools.

    auto operator<=>(const node_summary &) const = default;
};

/// One entry process as its peers know it.
struct member
{
    member_id id;
    std::uint32_t refutation = 0; ///< Raised only by the member itself, to overrule a report that it is suspected or dead.
    member_state state = member_state::Alive;
    std::string callerAddress; ///< `IP:port` for callers.
    std::string peerAddress; ///< `IP:port` for peers, over both UDP and TCP.
    std::string zone;
    std::string region;
    std::string half; ///< The half of the fleet it serves.
    node_summary summary; ///< The last one heard from the member itself; not part of what is passed on.

    auto operator<=>(const member &) const = default;
};

inline constexpr std::size_t kMaxMemberNameBytes = 64;
inline constexpr std::size_t kMaxPools = 16;

/// The name used in dumps and metrics. Thread safe.
const char *toString(member_state state) noexcept;

} // namespace heatherroute
