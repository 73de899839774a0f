#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "heatherroute/last_reason.h"
#include "heatherroute/log_line.h"
#include "net/http_server.h"
#include "node/channel.h"
#include "telemetry/metric_values.h"

namespace heatherroute::node
{

/// Limits on the resources that one caller may use.
struct caller_limits
{
    net::http_limits http;
    std::size_t maxBufferedBytes = std::size_t{1024} * 1024; ///< Maximum memory of the actions queued for a caller that reads slowly.
    std::shared_ptr<net::memory_budget> memory; ///< Of the process; null for no limit.
    bool operator==(const caller_limits &) const = default;
};

/**
 * Serves callers: parses their requests, passes them to the core as events, and writes the core's answers.
 *
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class caller_duty
{
public:
    /// Number of this duty in the high bits of caller ids.
    static constexpr std::uint8_t kDuty = 1;

    /// Listens on @p endpoint. On failure returns null and sets @p reason.
    static std::unique_ptr<caller_duty> make(boost::asio::io_context &context,
                                             const boost::asio::ip::tcp::endpoint &endpoint,
                                             const caller_limits &limits,
                                             channel<core_event> &toCore,
                                             last_reason *reason);
    ~caller_duty();
    caller_duty(const caller_duty &) = delete;
    caller_duty &operator=(const caller_duty &) = delete;

    /// The address on which the duty listens.
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Sets the function that receives the log line of each ended request; it must not block. Precondition: the thread has not started.
    void setLog(std::function<void(log_line)> log);
    /// A snapshot of the current metrics. Call it on the duty's thread.
    metrics_snapshot metrics();
    /// Queues @p action for its exchange, or drops it when the exchange has ended. Aborts an exchange whose queue exceeds the limit.
    void deliver(caller_id caller, core_action action);

private:
    class impl;
    explicit caller_duty(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
