#pragma once

#include <compare>
#include <cstddef>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Who tries for the lease, and how long a holder's word is believed.
struct lease_seeker_settings
{
    std::size_t candidates = 2; ///< Entries that try when nobody is known to hold it; each renewal is a call to the store.
    duration settling = std::chrono::seconds(1); ///< After the start, until most other entries are known.
    duration heardFor = std::chrono::seconds(2); ///< Without the holder's word for so long, others try; four tellings.
    duration stagger = std::chrono::seconds(1); ///< Between two candidates; each one that tries may take the lease from the one before.

    auto operator<=>(const lease_seeker_settings &) const = default;
};

/**
 * Whether this entry tries for the right to give orders.
 *
 * Load pattern: entries are restarted one after another. If the first by name always tried, the lease would change hands with
 * each of them, and every new holder has to wait before its first order. So a holder keeps it, and others try only when they
 * no longer hear of one. Pure; not thread safe. Instants must not decrease.
 */
class lease_seeker
{
public:
    static lease_seeker make(const lease_seeker_settings &settings, instant now);

    /// @p before entries that are alive come before this one by name.
    void setRank(std::size_t before);
    /// Whether this entry holds the lease.
    void setHolds(bool holds);
    /// Another entry says that it holds the lease.
    void noteHolder(instant now);
    /// The holder gives it up because it stops.
    void noteGivenUp(instant now);
    /// Whether this entry should try for the lease, or go on renewing it.
    bool shouldTry(instant now) const;

private:
    lease_seeker(const lease_seeker_settings &settings, instant now);

    lease_seeker_settings m_settings;
    instant m_freeFrom; ///< From when on nobody counts as holder.
    std::size_t m_before = 0;
    bool m_holds = false;
};

} // namespace heatherroute
