#pragma once

#include "heatherroute/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute
{

/// A change of an upstream's owner; an empty value means that there is no owner.
struct owner_change
{
    std::string upstream;
    std::optional<member_id> before;
    std::optional<member_id> now;

    auto operator<=>(const owner_change &) const = default;
};

/// Returns whether a member in @p state can own upstreams. A suspected member keeps its upstreams, since most suspicions are
/// refuted. Thread safe.
constexpr bool canOwn(member_state state) noexcept
{
    return state == member_state::Alive || state == member_state::Suspected;
}

/// Returns the hash of a name for rendezvousScore(). Thread safe.
std::uint64_t rendezvousHash(const std::string &name);
/// Returns the score of a member for a key by rendezvous hashing; the member with the highest one comes first. Takes hashes, so that its cost
/// does not depend on the length of the names. Thread safe.
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t memberHash);

/**
 * Assigns each upstream of one half to an owning entry.
 *
 * The assignment uses rendezvous hashing (Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM
 * Transactions on Networking 6(1), 1998): the member with the highest score of (upstream, member name) is the owner. Entries
 * with the same view of the members agree without communication, and a change of members moves as few upstreams as possible.
 * The incarnation of a member is not part of the score, so that a replaced VM gets its upstreams back.
 *
 * Adding a member computes one score per upstream. Removing a member recomputes all scores only for the upstreams that it
 * owned. Not thread safe.
 */
class ownership
{
public:
    /// Adds an upstream and returns the resulting change; no change when it is already known or no member can own it.
    std::vector<owner_change> addUpstream(const std::string &upstream);

    /// Removes an upstream and returns the resulting change; no change when it is not known or had no owner.
    std::vector<owner_change> removeUpstream(const std::string &upstream);

    /// Sets the state of a member of this half and returns the changes, ordered by upstream. A member in a state that cannot own
    /// upstreams is removed.
    std::vector<owner_change> setMember(const member_id &id, member_state state);

    /// Returns the owner of @p upstream; nothing when it is not known or no member can own it.
    std::optional<member_id> ownerOf(const std::string &upstream) const;

    /// Returns the upstreams that @p id owns, ordered by name.
    std::vector<std::string> ownedBy(const member_id &id) const;

private:
    struct assignment
    {
        std::uint64_t nameHash = 0;
        std::uint64_t score = 0; ///< Score of the owner.
        std::optional<member_id> owner;
    };
    void assignOwner(assignment &upstream) const;
    void considerCandidate(assignment &upstream, const member_id &id, std::uint64_t memberHash) const;
    std::vector<owner_change> addMember(const member_id &id);
    std::vector<owner_change> removeMember(const member_id &id);

    std::map<std::string, assignment> m_upstreams;
    std::map<member_id, std::uint64_t> m_members; ///< Members that can own upstreams, with the hash of their name.
};

} // namespace heatherroute
