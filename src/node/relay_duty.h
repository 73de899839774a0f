#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "heatherroute/last_reason.h"
#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "node/channel.h"
#include "node/relay_event.h"
#include "relay/platform_dialect.h"
#include "relay/retry_pool.h"
#include "telemetry/metric_values.h"

namespace heatherroute::node
{

/// What the relay serves and within which bounds.
struct relay_duty_settings
{
    boost::asio::ip::tcp::endpoint callers;
    boost::asio::ip::tcp::endpoint readiness;
    boost::asio::ip::tcp::endpoint directory;
    std::string callerAddress; ///< What callers are told to connect to.
    std::string entryName;
    std::string zone;
    std::string region;
    retry_limit retries;
    std::chrono::milliseconds stopGrace{8'000}; ///< From the signal to stop until the platform ends the process.
    std::chrono::milliseconds takeOverWait{3'300}; ///< Before the first order under a lease, as its last holder's may still arrive.
    std::uint64_t seed = 0; ///< Of random choices.
};

/**
 * Serves callers: passes their requests to upstreams, answers the directory and the platform's readiness checks, and gives
 * orders to engines while this entry holds the lease.
 *
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class relay_duty
{
public:
    /// Listens on the addresses of @p settings. On failure returns null and sets @p reason.
    static std::unique_ptr<relay_duty> make(boost::asio::io_context &context,
                                            relay_duty_settings settings,
                                            platform_dialect dialect,
                                            channel<member_event> &toMembers,
                                            channel<store_event> &toStore,
                                            std::function<void(log_line)> log,
                                            last_reason *reason);
    ~relay_duty();
    relay_duty(const relay_duty &) = delete;
    relay_duty &operator=(const relay_duty &) = delete;

    /// Starts the timers. Precondition: called once, before the thread starts.
    void start();
    /// Takes in what another duty says. On the duty's thread.
    void take(relay_event event);
    /// Begins the planned stop; @p onStopped is called when nothing is left in flight or the grace is nearly over.
    void stop(std::function<void()> onStopped);
    /// A copy of the counts. On the duty's thread.
    metrics_snapshot metrics() const;

private:
    class impl;
    explicit relay_duty(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl; ///< Shared with the requests in flight.
};

} // namespace heatherroute::node
