#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "heatherroute/log_line.h"
#include "heatherroute/time.h"
#include "telemetry/metrics_registry.h"

namespace heatherroute::node
{

/// How one request of a caller ended, for metrics and the log.
struct request_end
{
    std::string kind; ///< `completion`, `service`, `entry`, `other` or `unreadable`.
    std::string requestName;
    std::string team;
    std::string outcome; ///< `done`, `caller_gone` or the code of the error.
    std::string verdict; ///< The verdict of a failed request; `ran` for an answered one.
    unsigned status = 0; ///< HTTP status; 0 when none was sent.
    duration elapsed{}; ///< From arrival to end; zero for a request that was refused before it reached the core.
};

/**
 * The metrics of caller_duty.
 *
 * Used only on the duty's thread; other threads get snapshots by value. Labels have few distinct values, so request ids and teams are not
 * used as labels. Not thread safe.
 */
class caller_metrics
{
public:
    caller_metrics();

    void onRequestEnd(const request_end &end);
    /// Records a first token; @p sinceRequest is the time from the request's arrival to it.
    void onFirstToken(duration sinceRequest);
    /// Records @p count tokens that arrived @p sinceLast after the previous ones; @p sinceLast is zero for the first tokens.
    void onTokens(duration sinceLast, std::size_t count);
    /// Records a request that was refused unread or a connection that was closed, because of @p reason, which has few distinct values.
    void onRefused(std::string_view reason);
    /// A copy of all values, with the current numbers of open @p connections and @p requests.
    metrics_snapshot snapshot(std::size_t connections, std::size_t requests);

private:
    metrics_registry m_registry;
    histogram_value &m_firstToken;
    histogram_value &m_tokenInterval;
    counter_value &m_tokens;
};

/// The log line of a request that has ended.
log_line makeRequestEndLine(const request_end &end);

} // namespace heatherroute::node
