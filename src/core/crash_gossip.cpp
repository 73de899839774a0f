#include "heatherroute/crash_gossip.h"

#include <iterator>
#include <utility>

namespace heatherroute
{

namespace
{

template<typename Message, typename Report>
std::vector<Message> packed(const std::vector<Report> &reports, std::size_t limit)
{
    std::vector<Message> messages;
    for (const Report &report : reports) {
        if (messages.empty() || messages.back().reports.size() == limit) {
            messages.emplace_back();
        }
        messages.back().reports.push_back(report);
    }
    return messages;
}

template<typename Message>
void append(std::vector<crash_message> &to, std::vector<Message> messages)
{
    to.insert(to.end(), std::make_move_iterator(messages.begin()), std::make_move_iterator(messages.end()));
}

} // namespace

std::vector<crash_reports> makeMessages(const std::vector<crash_report> &reports)
{
    return packed<crash_reports>(reports, kMaxCrashReportsPerMessage);
}

std::vector<open_attempts> makeMessages(const std::vector<open_attempt> &reports)
{
    return packed<open_attempts>(reports, kMaxPartReportsPerMessage);
}

std::vector<completed_parts> makeMessages(const std::vector<completed_part> &reports)
{
    return packed<completed_parts>(reports, kMaxCompletedPartsPerMessage);
}

std::vector<crash_message> makeCrashMessages(const std::vector<crash_report> &reports)
{
    std::vector<crash_report> plain;
    std::vector<crash_report> withParts;
    for (const crash_report &report : reports) {
        (report.parts.empty() ? plain : withParts).push_back(report);
    }
    std::vector<crash_message> messages;
    append(messages, packed<part_crash_reports>(withParts, kMaxPartReportsPerMessage));
    append(messages, makeMessages(plain));
    return messages;
}

crash_gossip crash_gossip::make(const crash_gossip_settings &settings)
{
    return crash_gossip(settings);
}

crash_gossip::crash_gossip(const crash_gossip_settings &settings)
    : m_reports(settings)
    , m_openAttempts(settings)
    , m_completedParts(settings)
{ }

void crash_gossip::add(instant now, const crash_report &report)
{
    m_reports.add(now, report);
}

void crash_gossip::add(instant now, const open_attempt &report)
{
    m_openAttempts.add(now, report);
}

void crash_gossip::add(instant now, const completed_part &report)
{
    m_completedParts.add(now, report);
}

std::vector<crash_message> crash_gossip::dueMessages(instant now)
{
    std::vector<crash_message> messages;
    // Complete answers come first, so that the crashes that follow are judged with them.
    append(messages, makeMessages(m_completedParts.due(now)));
    append(messages, makeCrashMessages(m_reports.due(now)));
    append(messages, makeMessages(m_openAttempts.due(now)));
    return messages;
}

} // namespace heatherroute
