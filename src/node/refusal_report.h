#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "heatherroute/log_line.h"
#include "net/http_server.h"

namespace heatherroute::node
{

/**
 * Logs the refusals and closed connections of a process's listeners, with a bounded number of lines.
 *
 * Answers the load pattern of callers that are refused thousands of times a second: of each reason, a few lines are written in an interval, and the
 * first one of the next interval says how many were not. Not thread safe.
 */
class refusal_report
{
public:
    /// @p log receives the lines.
    explicit refusal_report(std::function<void(log_line)> log);

    /// Records a refusal at the listener @p listener of the caller @p remoteAddress, at @p now.
    void note(std::chrono::steady_clock::time_point now, const std::string &listener, net::refusal_reason reason, const std::string &remoteAddress);

private:
    struct interval
    {
        std::chrono::steady_clock::time_point begin{};
        std::uint32_t written = 0;
        std::uint64_t omitted = 0;
    };

    std::function<void(log_line)> m_log;
    std::map<net::refusal_reason, interval> m_intervals;
};

} // namespace heatherroute::node
