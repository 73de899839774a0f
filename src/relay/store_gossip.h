#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/store_update.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Which entries read the store, and how long their reads count as current.
struct store_gossip_settings
{
    std::size_t readers = 3; ///< Entries that read for all; more than are expected to fail at once.
    duration interval = std::chrono::milliseconds(500); ///< Interval between two messages.
    duration resendFor = std::chrono::seconds(2); ///< How long a change is sent again; three readers send it twelve times.
    duration maxUnsentTime = std::chrono::seconds(15); ///< How long a reader keeps a change that it can't send.
    std::size_t maxChanges = 4096; ///< The oldest change is dropped beyond this number.
    duration maxOwnReadAge = std::chrono::milliseconds(1'600); ///< Maximum age of a reader's last read; beyond it, the reader sends no updates.
    /// Maximum age of the last read reported by another entry before this entry reads the store itself. A reader reads every
    /// 0.9 s and sends every 0.5 s, and the platform allows 2 s until a leaving upstream must get no more requests.
    duration maxPeerReadAge = std::chrono::milliseconds(1'650);

    auto operator<=>(const store_gossip_settings &) const = default;
};

/**
 * Decides whether this entry reads the platform's store itself, and which updates it sends to the other entries.
 *
 * Load pattern: if a hundred entries each read every report of the upstreams, they pay for a hundred times the calls, and
 * queue at the store when it recovers. Therefore the first few entries by name read for all; an entry that receives updates
 * from none of them reads the store itself. A reader that isn't sure of its list, after an outage, tells new changes at once, without the claim
 * to read for others, and again once it is sure. Pure; not thread safe. Instants must not decrease.
 */
class store_gossip
{
public:
    static store_gossip make(const store_gossip_settings &settings);

    /// Sets the number of live entries that precede this one by name.
    void setRank(std::size_t rank);
    /// Sets this entry's claim about the lease. A changed claim is sent at the next opportunity, a release only once.
    void setLease(lease_claim claim);
    /// Records that the store answered this entry.
    void noteRead(instant now);
    /// Records an update from another entry, which has read the store @p readAge ago.
    void noteReceived(instant now, duration readAge);
    /// Records a change of an upstream that this entry has read or received.
    void noteChange(instant now, upstream_update change);
    /// Like noteChange(), but the change is sent at the next opportunity.
    void noteUrgentChange(instant now, upstream_update change);

    /// Records that the store came back from an older copy: what was read before is neither sent nor counted as read any more.
    void onRestored();

    /// Returns whether this entry should read the store itself.
    bool shouldRead(instant now) const;
    /// Returns the messages to send to all other entries now; empty when none is due.
    std::vector<store_update> dueMessages(instant now, std::uint64_t configVersion);

private:
    struct noted_change
    {
        instant notedAt{};
        std::optional<instant> sentSince; ///< The first message with it.
        upstream_update change;
    };

    explicit store_gossip(const store_gossip_settings &settings);

    store_gossip_settings m_settings;
    std::size_t m_rank = 0;
    lease_claim m_lease = lease_claim::None;
    std::optional<instant> m_readAt;
    std::optional<instant> m_peerReadAt; ///< Time of the newest read by another entry.
    std::optional<instant> m_sentAt;
    std::deque<noted_change> m_changes;
};

} // namespace heatherroute
