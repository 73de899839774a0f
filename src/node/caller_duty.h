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

/// Bounds on what one caller may cost beyond its connection.
struct caller_limits
{
    net::http_limits http;
    std::size_t maxBufferedBytes = std::size_t{1024} * 1024; ///< Text that waits for a caller who reads slowly.
    bool operator==(const caller_limits &) const = default;
};

/**
 * Serves callers: reads their requests, tells the core, and writes the core's answers.
 *
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class caller_duty
{
public:
    /// Number of this duty in caller ids.
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

    /// The address that is listened on.
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Sets who gets the line about each request that has ended; it must not wait. Precondition: the thread has not started.
    void setLog(std::function<void(log_line)> log);
    /// The metrics as they are now. Call on the duty's thread.
    metrics_snapshot metrics();
    /// Hands @p action to the exchange it is for; dropped when that has ended.
    void deliver(caller_id caller, core_action action);

private:
    class impl;
    explicit caller_duty(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
