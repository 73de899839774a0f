#include "net/port_check.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace heatherroute::net
{

namespace asio = boost::asio;

const char *toString(port_state state) noexcept
{
    switch (state) {
    case port_state::Open:
        return "open";
    case port_state::Refused:
        return "refused";
    case port_state::Silent:
        return "silent";
    }
    return "unknown";
}

asio::awaitable<port_state> checkPort(asio::ip::tcp::endpoint endpoint, std::chrono::milliseconds timeout)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_return port_state::Open;
    }
    co_return error == asio::error::connection_refused ? port_state::Refused : port_state::Silent;
}

} // namespace heatherroute::net
