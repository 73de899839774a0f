#include "heatherroute/ownership.h"

#include <tuple>
#include <xxhash.h>

namespace heatherroute
{

std::uint64_t rendezvousHash(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t memberHash)
{
    return XXH3_64bits_withSeed(&keyHash, sizeof(keyHash), memberHash);
}

void ownership::considerCandidate(assignment &upstream, const member_id &id, std::uint64_t memberHash) const
{
    const std::uint64_t score = rendezvousScore(upstream.nameHash, memberHash);
    // Of two equal scores the larger id wins, so that the result does not depend on the order of events.
    if (!upstream.owner || std::tie(score, id) > std::tie(upstream.score, *upstream.owner)) {
        upstream.owner = id;
        upstream.score = score;
    }
}

void ownership::assignOwner(assignment &upstream) const
{
    upstream.owner.reset();
    for (const auto &[id, hash] : m_members) {
        considerCandidate(upstream, id, hash);
    }
}

std::vector<owner_change> ownership::addUpstream(const std::string &upstream)
{
    const auto [place, isNew] = m_upstreams.try_emplace(upstream);
    if (!isNew) {
        return {};
    }
    place->second.nameHash = rendezvousHash(upstream);
    assignOwner(place->second);
    if (!place->second.owner) {
        return {};
    }
    return {{upstream, std::nullopt, place->second.owner}};
}

std::vector<owner_change> ownership::removeUpstream(const std::string &upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return {};
    }
    const std::optional<member_id> before = found->second.owner;
    m_upstreams.erase(found);
    if (!before) {
        return {};
    }
    return {{upstream, before, std::nullopt}};
}

std::vector<owner_change> ownership::setMember(const member_id &id, member_state state)
{
    const bool isMember = m_members.count(id) != 0;
    if (canOwn(state) == isMember) {
        return {};
    }
    return isMember ? removeMember(id) : addMember(id);
}

std::vector<owner_change> ownership::addMember(const member_id &id)
{
    const std::uint64_t memberHash = rendezvousHash(id.name);
    m_members.emplace(id, memberHash);
    std::vector<owner_change> changes;
    for (auto &[name, upstream] : m_upstreams) {
        // Most upstreams keep their owner, so the old owner is copied only when it may change.
        if (upstream.owner && rendezvousScore(upstream.nameHash, memberHash) < upstream.score) {
            continue;
        }
        const std::optional<member_id> before = upstream.owner;
        considerCandidate(upstream, id, memberHash);
        if (upstream.owner != before) {
            changes.push_back({name, before, upstream.owner});
        }
    }
    return changes;
}

std::vector<owner_change> ownership::removeMember(const member_id &id)
{
    m_members.erase(id);
    std::vector<owner_change> changes;
    for (auto &[name, upstream] : m_upstreams) {
        if (upstream.owner != id) {
            continue;
        }
        assignOwner(upstream);
        changes.push_back({name, id, upstream.owner});
    }
    return changes;
}

std::optional<member_id> ownership::ownerOf(const std::string &upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? std::nullopt : found->second.owner;
}

std::vector<std::string> ownership::ownedBy(const member_id &id) const
{
    std::vector<std::string> owned;
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.owner == id) {
            owned.push_back(name);
        }
    }
    return owned;
}

} // namespace heatherroute
