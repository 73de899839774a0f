#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>

namespace heatherroute::net
{

/// What a connection attempt says about the process at an endpoint.
enum class port_state : std::uint8_t {
    Open, ///< A process listens.
    Refused, ///< The host answers, and no process listens.
    Silent, ///< No answer in time, or the host can't be reached; the process may be alive.
};

/// The name used in logs. Thread safe.
const char *toString(port_state state) noexcept;

/// Connects to @p endpoint without sending anything, and closes the connection.
boost::asio::awaitable<port_state> checkPort(boost::asio::ip::tcp::endpoint endpoint, std::chrono::milliseconds timeout);

} // namespace heatherroute::net
