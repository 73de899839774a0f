#include "node/refusal_report.h"

#include <utility>
#include <vector>

namespace heatherroute::node
{

namespace
{

constexpr std::chrono::seconds kInterval{10};
constexpr std::uint32_t kLinesPerInterval = 5;

} // namespace

refusal_report::refusal_report(std::function<void(log_line)> log)
    : m_log(std::move(log))
{ }

void refusal_report::note(std::chrono::steady_clock::time_point now, const std::string &listener, net::refusal_reason reason, const std::string &remoteAddress)
{
    interval &current = m_intervals[reason];
    std::uint64_t omittedBefore = 0;
    if (now - current.begin >= kInterval) {
        omittedBefore = current.omitted;
        current = interval{now};
    }
    if (current.written >= kLinesPerInterval) {
        ++current.omitted;
        return;
    }
    ++current.written;
    std::vector<log_field> fields = {{"listener", listener}, {"reason", std::string(net::toString(reason))}, {"caller", remoteAddress}};
    if (omittedBefore > 0) {
        fields.push_back({"lines_omitted_before", std::to_string(omittedBefore)});
    }
    if (m_log) {
        m_log({log_level::Warning, "connection_refused", std::move(fields)});
    }
}

} // namespace heatherroute::node
