#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "heatherroute/last_reason.h"
#include "net/http_server.h"
#include "node/channel.h"
#include "telemetry/metric_values.h"

namespace heatherroute::node
{

/// What the operators' port may use.
struct operator_limits
{
    std::size_t maxConnections = 64;
    std::shared_ptr<net::memory_budget> memory; ///< Of the process; null for no limit.
    net::refusal_hook onRefused; ///< Called on the duty's thread; may be empty.
};

/**
 * Serves the operators' port: metrics, state dump, ownership, log level, graceful shutdown.
 *
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class operator_duty
{
public:
    /// Number of this duty in the high bits of caller ids.
    static constexpr std::uint8_t kDuty = 2;

    /// Listens on @p endpoint. On failure returns null and sets @p reason.
    static std::unique_ptr<operator_duty> make(boost::asio::io_context &context,
                                               const boost::asio::ip::tcp::endpoint &endpoint,
                                               operator_limits limits,
                                               channel<core_event> &toCore,
                                               last_reason *reason);
    ~operator_duty();
    operator_duty(const operator_duty &) = delete;
    operator_duty &operator=(const operator_duty &) = delete;

    /// The address on which the duty listens.
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Adds a source of metrics. @p snapshot runs on @p context, so that the duties share no data. Precondition: the thread has not
    /// started.
    void addMetrics(boost::asio::io_context &context, std::function<metrics_snapshot()> snapshot);
    /// Queues @p action for its exchange, or drops it when the exchange has ended.
    void deliver(caller_id caller, core_action action);

private:
    class impl;
    explicit operator_duty(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
