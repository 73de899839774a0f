#pragma once

#include <cstddef>
#include <string>

#include "heatherroute/log_line.h"
#include "heatherroute/time.h"
#include "telemetry/metrics_registry.h"

namespace heatherroute::node
{

/// How one request of a caller ended, for metrics and the log.
struct request_end
{
    std::string kind; ///< `completion`, `service`, `entry`, or `unreadable`.
    std::string requestName;
    std::string team;
    std::string outcome; ///< `done`, `caller_gone` or the code of the error.
    std::string verdict; ///< Of a failed request; `ran` of one that was answered.
    unsigned status = 0; ///< HTTP status; 0 when none was sent.
    duration took{};
};

/**
 * What the callers' duty counts.
 *
 * Belongs to the duty's thread; others get snapshots by value. Labels are of few values: no request ids and no teams. Not thread safe.
 */
class caller_metrics
{
public:
    caller_metrics();

    void onEnd(const request_end &end);
    /// @p sinceRequest is the time from the request's arrival to its first token.
    void onFirstToken(duration sinceRequest);
    /// @p count tokens came @p sinceLast after the ones before.
    void onTokens(duration sinceLast, std::size_t count);
    /// A copy of all values, with the open @p connections and @p requests as they are now.
    metrics_snapshot snapshot(std::size_t connections, std::size_t requests);

private:
    metrics_registry m_registry;
    histogram_value &m_firstToken;
    histogram_value &m_tokenInterval;
    counter_value &m_tokens;
};

/// The line that the log gets for a request that has ended.
log_line endLine(const request_end &end);

} // namespace heatherroute::node
