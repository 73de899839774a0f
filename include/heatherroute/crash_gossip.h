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
std::vector<open_attempts> makeMessages(const std::vector<open_attempt> &reports);
std::vector<completed_parts> makeMessages(const std::vector<completed_part> &reports);
/// Returns messages with @p reports, those with parts in messages of their own. Thread safe.
std::vector<crash_message> makeCrashMessages(const std::vector<crash_report> &reports);

namespace detail
{

inline bool isSameSubject(const crash_report &a, const crash_report &b)
{
    return a.fingerprint == b.fingerprint && a.instance == b.instance && a.cleared == b.cleared;
}

inline bool isSameSubject(const open_attempt &a, const open_attempt &b)
{
    return a.fingerprint == b.fingerprint && a.instance == b.instance;
}

inline bool isSameSubject(const completed_part &a, const completed_part &b)
{
    return a.part == b.part;
}

/// Reports that are sent at once and a few times more. Not thread safe.
template<typename Report>
class resend_queue
{
public:
    explicit resend_queue(const crash_gossip_settings &settings)
        : m_settings(settings)
    { }

    /// Adds a report in place of an earlier one on the same subject. Its age is as of @p now.
    void add(instant now, const Report &report)
    {
        std::erase_if(m_queue, [&report](const queued_report &queued) { return isSameSubject(queued.report, report); });
        if (m_queue.size() >= m_settings.maxQueued) {
            m_queue.pop_front();
        }
        m_queue.push_back({report, now, now});
    }

    /// Returns the reports to send now, with their ages as of @p now.
    std::vector<Report> due(instant now)
    {
        while (!m_queue.empty() && now - m_queue.front().addedAt > m_settings.resendFor) {
            m_queue.pop_front();
        }
        std::vector<Report> result;
        for (queued_report &queued : m_queue) {
            if (now < queued.nextAt) {
                continue;
            }
            queued.nextAt = now + m_settings.interval;
            Report report = queued.report;
            report.ageMs += static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - queued.addedAt).count());
            result.push_back(std::move(report));
        }
        return result;
    }

private:
    struct queued_report
    {
        Report report;
        instant addedAt{};
        instant nextAt{};
    };

    crash_gossip_settings m_settings;
    std::deque<queued_report> m_queue; ///< In order of addition.
};

} // namespace detail

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
    void add(instant now, const open_attempt &report);
    void add(instant now, const completed_part &report);
    /// Returns the messages to send to all other entries now, with the ages as of @p now; empty when none is due.
    std::vector<crash_message> dueMessages(instant now);

private:
    explicit crash_gossip(const crash_gossip_settings &settings);

    detail::resend_queue<crash_report> m_reports;
    detail::resend_queue<open_attempt> m_openAttempts;
    detail::resend_queue<completed_part> m_completedParts;
};

} // namespace heatherroute
