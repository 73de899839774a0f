#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <vector>

#include "heatherroute/crash_report.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// How often reports are sent.
struct crash_gossip_settings
{
    duration interval = std::chrono::milliseconds(500); ///< Between two sends of a report.
    duration resendFor = std::chrono::seconds(2); ///< A report is sent again for this long, since datagrams get lost.
    std::size_t maxQueued = 512; ///< The oldest reports are dropped beyond this number.

    auto operator<=>(const crash_gossip_settings &) const = default;
};

/// Returns messages with @p reports, as few as possible. Thread safe.
std::vector<crash_reports> makeMessages(const std::vector<crash_report> &reports);

/**
 * Decides which crash reports to send to the other entries, and when.
 *
 * Load pattern: when an upstream crashes, each entry that had requests on it reports them all at once. A report is sent at the
 * next opportunity and a few times more, several in a message. Pure; not thread safe. Instants must not decrease.
 */
class crash_gossip
{
public:
    static crash_gossip make(const crash_gossip_settings &settings);

    /// Adds a report of this entry. Its age is as of @p now.
    void add(instant now, const crash_report &report);
    /// Returns the messages to send to all other entries now, with the ages as of @p now; empty when none is due.
    std::vector<crash_reports> dueMessages(instant now);

private:
    struct queued_report
    {
        crash_report report;
        instant addedAt{};
        instant nextAt{};
    };

    explicit crash_gossip(const crash_gossip_settings &settings);

    crash_gossip_settings m_settings;
    std::deque<queued_report> m_queue; ///< In order of addition.
};

} // namespace heatherroute
