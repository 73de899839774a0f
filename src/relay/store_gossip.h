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
    /// Entries that come after the readers and take over when they send nothing. They may send updates to all others, so there are only few.
    std::size_t substitutes = 9;
    std::size_t firstSubstitutes = 3; ///< Those that take over before the other substitutes.
    duration firstTakeoverAge = std::chrono::milliseconds(1'200); ///< Age of the last read at which the first ones take over.
    duration takeoverAge = std::chrono::milliseconds(1'350); ///< Age of the last read at which the other substitutes take over.
    /// Time after the start until the other entries, and so the ranks, are known. What was read at the start is current until then.
    duration settleTime = std::chrono::milliseconds(1'500);
    duration minSpacing = std::chrono::milliseconds(450); ///< Between a message and one that tells of a read.
    /// Between the retries of all entries that are neither readers nor substitutes, on average, while the store fails.
    duration retrySpacing = std::chrono::milliseconds(10);
    duration interval = std::chrono::milliseconds(500); ///< Interval between two messages.
    duration resendFor = std::chrono::seconds(2); ///< How long a change is sent again; three readers send it twelve times.
    duration maxUnsentTime = std::chrono::seconds(15); ///< How long a reader keeps a change that it can't send.
    std::size_t maxChanges = 4096; ///< The oldest change is dropped beyond this number.
    duration maxOwnReadAge = std::chrono::milliseconds(1'600); ///< Maximum age of a reader's last read; beyond it, the reader sends no updates.
    /// Maximum age of the last read reported by another entry before any entry reads the store itself. A reader reads every
    /// 0.9 s and tells it at once, and the platform allows 2 s until a leaving upstream must get no more requests.
    duration maxPeerReadAge = std::chrono::milliseconds(1'650);

    auto operator<=>(const store_gossip_settings &) const = default;
};

/// Whether the entry named @p left comes before @p right in the order in which entries read the store. Names sort by availability zone, so the
/// order is by a hash of the name: the first entries are spread over the zones. Thread safe.
bool precedesInReading(const std::string &left, const std::string &right);

/**
 * Decides whether this entry reads the platform's store itself, and which updates it sends to the other entries.
 *
 * Load pattern: if a hundred entries each read every report of the upstreams, they pay for a hundred times the calls, and
 * queue at the store when it recovers. Therefore a few entries read for all. If they are lost or the store refuses them, a few others take over;
 * only if these send nothing either, all entries read the store themselves, and if that fails, they retry the less often the more they are.
 * A reader that isn't sure of its list, after an outage, tells new changes and a newer configuration at once, without the claim
 * to read for others, and again once it is sure. Pure; not thread safe. Instants must not decrease.
 */
class store_gossip
{
public:
    static store_gossip make(const store_gossip_settings &settings);

    /// Records the start of this entry.
    void noteStarted(instant now);
    /// Sets the number of live entries that precede this one in the order in which they read the store.
    void setRank(std::size_t rank);
    /// Sets the number of live entries, this one included.
    void setEntries(std::size_t count);
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
    /// Returns the minimum delay of a retry after a failed read of the store; zero for entries that may read for others.
    duration retryDelay() const;
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
    bool maySend() const noexcept;
    duration maxPeerReadAge() const noexcept;

    store_gossip_settings m_settings;
    std::size_t m_rank = 0;
    std::size_t m_entries = 1;
    lease_claim m_lease = lease_claim::None;
    std::optional<instant> m_startedAt;
    std::optional<instant> m_readAt;
    std::optional<instant> m_peerReadAt; ///< Time of the newest read by another entry.
    std::optional<instant> m_sentAt;
    std::uint64_t m_toldConfigVersion = 0;
    bool m_hasUnsentRead = false; ///< The store was read since the last message.
    std::deque<noted_change> m_changes;
};

} // namespace heatherroute
