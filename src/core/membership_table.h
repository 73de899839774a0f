#pragma once

#include "heatherroute/member.h"
#include "heatherroute/replica_table.h"
#include "heatherroute/time.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace heatherroute
{

/**
 * The other members that a member knows, and the order in which it probes them.
 *
 * At most one live member is known per peer address. Dead members are kept until they are purged or evicted to make room
 * for live ones. Not thread safe.
 */
class membership_table
{
public:
    /// Precondition: @p maxMembers is positive.
    explicit membership_table(std::size_t maxMembers);

    /// The member @p id, or null.
    const member *find(const member_id &id) const;

    /// The live member at @p address, or null.
    const member *liveAt(const std::string &address) const;

    /// Adds @p added; returns false when the table is full of live members. Preconditions: the member is unknown and not dead, and
    /// no live member has its peer address.
    bool insert(const member &added, std::mt19937_64 &random);

    /// Replaces state and refutation of a known member; @p now becomes the time of its death if it dies. Precondition: when it was
    /// dead and no longer is, no live member has its peer address.
    void update(const member_id &id, member_state state, std::uint32_t refutation, instant now, std::mt19937_64 &random);

    /// Replaces the summary of a known member.
    void setSummary(const member_id &id, const node_summary &summary);

    std::size_t liveCount() const;

    /// The next member to probe; null when there is no live one. Each live member is returned once per round, in a random order.
    const member *nextToProbe(std::mt19937_64 &random);

    /// A random live member, or null when there is none.
    const member *randomLive(std::mt19937_64 &random) const;

    /// A random dead member, or null when there is none.
    const member *randomDead(std::mt19937_64 &random) const;

    /// Removes members that died before @p limit.
    void purgeDead(instant limit);

    /// All known members, by id.
    const std::map<member_id, member> &all() const;

private:
    struct death
    {
        member_id id;
        instant at;
    };
    void addLive(const member &added, std::mt19937_64 &random);
    void removeLive(const member &removed);

    std::size_t m_maxMembers;
    std::map<member_id, member> m_members;
    std::map<std::string, member_id> m_liveByAddress;
    std::vector<member_id> m_live;
    std::deque<death> m_dead; // The earliest death comes first.
    std::vector<member_id> m_round;
    std::size_t m_nextInRound = 0;
};

} // namespace heatherroute
