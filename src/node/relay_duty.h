#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "heatherroute/last_reason.h"
#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "net/http_server.h"
#include "net/memory_budget.h"
#include "node/channel.h"
#include "node/relay_event.h"
#include "relay/fleet_retry_budget.h"
#include "relay/platform_dialect.h"
#include "telemetry/metric_values.h"

namespace heatherroute::node
{

/// Listen addresses, identity and limits of the relay.
struct relay_duty_settings
{
    boost::asio::ip::tcp::endpoint callers;
    boost::asio::ip::tcp::endpoint readiness;
    boost::asio::ip::tcp::endpoint directory;
    std::optional<boost::asio::ip::tcp::endpoint> entries; ///< Takes requests that other entries pass on.
    std::string callerAddress; ///< The address that the directory gives to callers.
    std::string entryName;
    std::uint64_t incarnation = 0; ///< Of this process, as in its member_id.
    std::string zone;
    std::string region;
    retry_limit retries;
    std::chrono::milliseconds stopGrace{8'000}; ///< Time between the stop signal and the platform killing the process.
    /// Delay between acquiring the lease and the first order; late orders of the previous holder may arrive until then.
    std::chrono::milliseconds takeoverDelay{3'300};
    duration revokeTime{}; ///< Time after which no request with a removed API key may run; zero without a bound.
    quota_rule quota; ///< How the use of teams is judged.
    std::uint32_t sharedPlacementEntries = 0; ///< Number of entries from which a coordinator assigns engines; 0 for never.
    std::uint64_t seed = 0; ///< Seed of the random number generator.
    std::shared_ptr<net::memory_budget> memory; ///< Of the process; null for one of what the system reports.
    net::connection_shares connections = net::connectionSharesOf(net::processDescriptorLimit());
    std::chrono::milliseconds bodyProgressTimeout{10'000}; ///< Longest time in which nothing arrives of a caller's body.
};

/**
 * Passes the requests of callers to upstreams, answers directory queries and the platform's readiness checks, and sends orders
 * to engines while this entry holds the lease.
 *
 * Belongs to the thread that runs its io_context. Must be made before that thread starts and destroyed after it has ended.
 */
class relay_duty
{
public:
    /// Binds the listen addresses of @p settings. On failure returns null and sets @p reason.
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
    /// Handles an event from another duty. Must be called on this duty's thread.
    void handle(relay_event event);
    /// Starts a graceful shutdown. Calls @p onStopped when the caller port is closed and no request is in flight or expected any more,
    /// or when the grace period is nearly over. Must be called on this duty's thread.
    void stop(std::function<void()> onStopped);
    /// Logs and counts a refusal at a listener of the process. Must be called on this duty's thread.
    void noteRefusal(const std::string &listener, net::refusal_reason reason, const std::string &remoteAddress);
    /// Returns a copy of the metrics. Must be called on this duty's thread.
    metrics_snapshot metrics() const;

private:
    class impl;
    explicit relay_duty(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl; ///< Shared with the coroutines of requests in flight.
};

} // namespace heatherroute::node
