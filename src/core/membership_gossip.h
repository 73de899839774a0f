#pragma once

#include "heatherroute/membership_message.h"

#include <map>
#include <set>

namespace heatherroute
{

/**
 * Queue of member updates to gossip.
 *
 * Each update is sent a bounded number of times, and those with the most sends left go first, so new updates are sent before
 * old ones. A newer update about a member replaces the older one, so there is at most one per member. Not thread safe.
 */
class membership_gossip
{
public:
    /// Queues @p update for @p transmissions sends.
    void add(const member_update &update, std::uint32_t transmissions);

    /// Returns the updates with the most sends left, at most kMaxUpdatesPerMessage and @p limitBytes in encoded form, and counts
    /// one send of each.
    std::vector<member_update> take(std::size_t limitBytes);

    /// Removes the update about @p id, if there is one.
    void remove(const member_id &id);

    std::size_t size() const;

private:
    struct entry
    {
        member_update update;
        std::uint32_t sendsLeft = 0;
    };
    struct rank
    {
        std::uint32_t sendsLeft = 0;
        member_id id;
    };
    // Updates with more sends left come first.
    struct rank_order
    {
        bool operator()(const rank &a, const rank &b) const
        {
            return a.sendsLeft != b.sendsLeft ? a.sendsLeft > b.sendsLeft : a.id < b.id;
        }
    };
    std::map<member_id, entry> m_entries;
    std::set<rank, rank_order> m_order;
};

/// The encoded size of @p update in bytes.
std::size_t encodedBytes(const member_update &update);

/// The encoded size of @p summary in bytes.
std::size_t encodedBytes(const node_summary &summary);

} // namespace heatherroute
