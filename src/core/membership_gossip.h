#pragma once

#include "heatherroute/membership_message.h"

#include <map>
#include <set>

namespace heatherroute
{

/**
 * The updates that still have to be passed on.
 *
 * Each is sent a bounded number of times, least sent first, so a new change overtakes old ones; a newer update about the
 * same member replaces the older. Holds at most one update per member. Not thread safe.
 */
class membership_gossip
{
public:
    /// Queues @p update for @p transmissions sends.
    void add(const member_update &update, std::uint32_t transmissions);

    /// Takes the least sent updates, @p limitBytes encoded in all and at most kMaxUpdatesPerMessage, and counts one send of each.
    std::vector<member_update> take(std::size_t limitBytes);

    /// Forgets what is queued about @p id.
    void remove(const member_id &id);

    std::size_t size() const;

private:
    struct entry
    {
        member_update update;
        std::uint32_t left = 0;
    };
    struct rank
    {
        std::uint32_t left = 0;
        member_id id;
    };
    // More sends left come first.
    struct rank_order
    {
        bool operator()(const rank &a, const rank &b) const
        {
            return a.left != b.left ? a.left > b.left : a.id < b.id;
        }
    };
    std::map<member_id, entry> m_entries;
    std::set<rank, rank_order> m_order;
};

/// The bytes that @p update takes in a message.
std::size_t encodedBytes(const member_update &update);

/// The bytes that @p summary takes in a message.
std::size_t encodedBytes(const node_summary &summary);

} // namespace heatherroute
