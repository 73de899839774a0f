#pragma once

#include "heatherroute/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute
{

/// The owner of an upstream has changed; an empty owner means that there is none.
struct owner_change
{
    std::string upstream;
    std::optional<member_id> before;
    std::optional<member_id> now;

    auto operator<=>(const owner_change &) const = default;
};

/// Whether a member in @p state owns upstreams: a suspicion alone moves nothing, as most are refuted. Thread safe.
constexpr bool canOwn(member_state state) noexcept
{
    return state == member_state::Alive || state == member_state::Suspected;
}

/**
 * Which entry of one half owns each upstream.
 *
 * Entries with the same view of members agree without talking, and a change of members moves only what it must:
 * rendezvous hashing (Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
 * Networking 6(1), 1998). The highest score of (upstream, member name) wins. The start number isn't part of the score, so
 * a replaced VM gets its upstreams back.
 *
 * A member that comes costs one score per upstream; one that goes, a full choice only for the upstreams that it owned.
 * Not thread safe.
 */
class ownership
{
public:
    /// Adds an upstream; none when it is known already.
    std::vector<owner_change> addUpstream(const std::string &upstream);

    /// Removes an upstream; none when it isn't known.
    std::vector<owner_change> removeUpstream(const std::string &upstream);

    /// Takes in the state of a member of this half; a state that can't own removes it. Changes are in the order of upstreams.
    std::vector<owner_change> setMember(const member_id &id, member_state state);

    /// The owner of @p upstream; empty when it isn't known or no member can own.
    std::optional<member_id> ownerOf(const std::string &upstream) const;

    /// The upstreams that @p id owns, in order.
    std::vector<std::string> ownedBy(const member_id &id) const;

private:
    struct choice
    {
        std::uint64_t nameHash = 0;
        std::uint64_t score = 0; ///< Of the owner.
        std::optional<member_id> owner;
    };
    void choose(choice &upstream) const;
    void offer(choice &upstream, const member_id &id, std::uint64_t memberHash) const;
    std::vector<owner_change> addMember(const member_id &id);
    std::vector<owner_change> removeMember(const member_id &id);

    std::map<std::string, choice> m_upstreams;
    std::map<member_id, std::uint64_t> m_members; // With the hash of the name.
};

} // namespace heatherroute
