#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace heatherroute::support
{

/// The fault that a fault_proxy injects into its connections.
enum class proxy_fault : std::uint8_t {
    None,
    Refuse, ///< New connections are reset.
    DropToTarget, ///< Bytes to the target are dropped.
    DropFromTarget, ///< Bytes from the target are dropped.
    DropAll, ///< Bytes in both directions are dropped; connections stay open.
};

/**
 * A TCP proxy on loopback that injects faults into the connections between two programs.
 *
 * Not thread safe; runs on the thread of its io_context.
 */
class fault_proxy
{
public:
    /// Listens on a free port and forwards connections to @p target.
    fault_proxy(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint target);
    /// Stops accepting connections; open connections are still forwarded.
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Sets the fault. Faults that drop bytes also apply to connections that are already open.
    void setFault(proxy_fault fault);
    /// Sets the delay before each chunk of bytes is forwarded.
    void setDelay(std::chrono::milliseconds delay);
    /// Resets all connections that are open now.
    void resetAll();

private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace heatherroute::support
