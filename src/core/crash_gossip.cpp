#include "heatherroute/crash_gossip.h"

#include <utility>

namespace heatherroute
{

namespace
{

template<typename Message, typename Report>
std::vector<Message> packed(const std::vector<Report> &reports)
{
    std::vector<Message> messages;
    for (const Report &report : reports) {
        if (messages.empty() || messages.back().reports.size() == kMaxCrashReportsPerMessage) {
            messages.emplace_back();
        }
        messages.back().reports.push_back(report);
    }
    return messages;
}

} // namespace

std::vector<crash_reports> makeMessages(const std::vector<crash_report> &reports)
{
    return packed<crash_reports>(reports);
}

std::vector<open_attempts> makeMessages(const std::vector<open_attempt> &reports)
{
    return packed<open_attempts>(reports);
}

crash_gossip crash_gossip::make(const crash_gossip_settings &settings)
{
    return crash_gossip(settings);
}

crash_gossip::crash_gossip(const crash_gossip_settings &settings)
    : m_reports(settings)
    , m_openAttempts(settings)
{ }

void crash_gossip::add(instant now, const crash_report &report)
{
    m_reports.add(now, report);
}

void crash_gossip::add(instant now, const open_attempt &report)
{
    m_openAttempts.add(now, report);
}

std::vector<crash_message> crash_gossip::dueMessages(instant now)
{
    std::vector<crash_message> messages;
    for (crash_reports &message : makeMessages(m_reports.due(now))) {
        messages.emplace_back(std::move(message));
    }
    for (open_attempts &message : makeMessages(m_openAttempts.due(now))) {
        messages.emplace_back(std::move(message));
    }
    return messages;
}

} // namespace heatherroute
