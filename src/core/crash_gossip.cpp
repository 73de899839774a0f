#include "heatherroute/crash_gossip.h"

namespace heatherroute
{

std::vector<crash_reports> makeMessages(const std::vector<crash_report> &reports)
{
    std::vector<crash_reports> messages;
    for (const crash_report &report : reports) {
        if (messages.empty() || messages.back().reports.size() == kMaxCrashReportsPerMessage) {
            messages.emplace_back();
        }
        messages.back().reports.push_back(report);
    }
    return messages;
}

crash_gossip crash_gossip::make(const crash_gossip_settings &settings)
{
    return crash_gossip(settings);
}

crash_gossip::crash_gossip(const crash_gossip_settings &settings)
    : m_settings(settings)
{ }

void crash_gossip::add(instant now, const crash_report &report)
{
    std::erase_if(m_queue, [&report](const queued_report &queued) {
        return queued.report.fingerprint == report.fingerprint && queued.report.instance == report.instance && queued.report.cleared == report.cleared;
    });
    if (m_queue.size() >= m_settings.maxQueued) {
        m_queue.pop_front();
    }
    m_queue.push_back({report, now, now});
}

std::vector<crash_reports> crash_gossip::dueMessages(instant now)
{
    while (!m_queue.empty() && now - m_queue.front().addedAt > m_settings.resendFor) {
        m_queue.pop_front();
    }
    std::vector<crash_report> due;
    for (queued_report &queued : m_queue) {
        if (now < queued.nextAt) {
            continue;
        }
        queued.nextAt = now + m_settings.interval;
        crash_report report = queued.report;
        report.ageMs += static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - queued.addedAt).count());
        due.push_back(std::move(report));
    }
    return makeMessages(due);
}

} // namespace heatherroute
