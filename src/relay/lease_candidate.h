#pragma once

#include <compare>
#include <cstddef>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Which entries try to acquire the lease, and after which time its holder counts as lost.
struct lease_candidate_settings
{
    std::size_t candidates = 2; ///< Entries that try when no holder is known; few, since each renewal is a call to the store.
    duration startupDelay = std::chrono::seconds(1); ///< Delay after the start, until most other entries are known.
    duration holderTimeout = std::chrono::seconds(2); ///< Time without a message from the holder before others try; four send intervals.
    duration stagger = std::chrono::seconds(1); ///< Delay between two candidates; each one that tries may take the lease from the previous one.

    auto operator<=>(const lease_candidate_settings &) const = default;
};

/**
 * Decides whether this entry tries to acquire the lease, which is the right to give orders to engines.
 *
 * Load pattern: entries are restarted one after another. If the first by name always tried, the lease would change hands with
 * each restart, and every new holder has to wait before its first order. Therefore a holder keeps the lease, and others try
 * only after the messages of a holder have stopped. Pure; not thread safe. Instants must not decrease.
 */
class lease_candidate
{
public:
    static lease_candidate make(const lease_candidate_settings &settings, instant now);

    /// Sets the number of live entries that precede this one by name.
    void setRank(std::size_t rank);
    /// Sets whether this entry holds the lease.
    void setIsHolder(bool isHolder);
    /// Records that another entry announced that it holds the lease.
    void noteHolder(instant now);
    /// Records that the holder released the lease because it stops.
    void noteReleased(instant now);
    /// Returns whether this entry should try to acquire the lease, or renew it.
    bool shouldTry(instant now) const;

private:
    lease_candidate(const lease_candidate_settings &settings, instant now);

    lease_candidate_settings m_settings;
    instant m_claimableFrom; ///< Time from which no entry counts as the holder.
    std::size_t m_rank = 0;
    bool m_isHolder = false;
};

} // namespace heatherroute
