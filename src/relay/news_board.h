#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/store_news.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Who reads the store, and how long news are believed.
struct news_settings
{
    std::size_t readers = 3; ///< Entries that read for all; more than may fail at once.
    duration interval = std::chrono::milliseconds(500); ///< Between two tellings.
    duration repeatFor = std::chrono::seconds(2); ///< How long a change is told again; by three readers that makes twelve tellings.
    duration freshFor = std::chrono::milliseconds(1'600); ///< How old the reader's own last read may be.
    /// How old the last read that an entry has heard of may be before it reads itself; a reader reads every 0.9 s and tells every
    /// 0.5 s, and the platform allows 2 s until an upstream that leaves gets no more requests.
    duration heardFor = std::chrono::milliseconds(1'650);

    auto operator<=>(const news_settings &) const = default;
};

/**
 * Whether this entry reads the platform's store itself, and what it tells the others.
 *
 * Load pattern: a hundred entries that each read every report of the upstreams pay for a hundred times the calls, and stand
 * in line at the store when it comes back. The first few entries by name read for all; an entry that hears none of them reads
 * itself. Pure; not thread safe. Instants must not decrease.
 */
class news_board
{
public:
    static news_board make(const news_settings &settings);

    /// @p before entries that are alive come before this one by name.
    void setRank(std::size_t before);
    /// What this entry says of the lease; told at the next opportunity when it changes. That it was given up is told once.
    void setLease(lease_word word);
    /// The store answered this entry.
    void noteRead(instant now);
    /// Another entry told news; it has read the store @p readAge ago.
    void noteHeard(instant now, duration readAge);
    /// An upstream has changed, as this entry read or heard.
    void noteChange(instant now, upstream_news change);
    /// As above; the others are told at the next opportunity.
    void noteUrgentChange(instant now, upstream_news change);

    /// Whether this entry should read the store itself.
    bool shouldRead(instant now) const;
    /// The messages to send to all others now; empty when none is due.
    std::vector<store_news> due(instant now, std::uint64_t configVersion);

private:
    explicit news_board(const news_settings &settings);

    news_settings m_settings;
    std::size_t m_before = 0;
    lease_word m_lease = lease_word::None;
    std::optional<instant> m_readAt;
    std::optional<instant> m_heardOf; ///< The newest read of another entry.
    std::optional<instant> m_toldAt;
    std::deque<std::pair<instant, upstream_news>> m_changes;
};

} // namespace heatherroute
