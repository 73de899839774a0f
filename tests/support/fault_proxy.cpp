#include "support/fault_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace heatherroute::support
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// The two sockets of one connection through the proxy.
struct proxied_connection
{
    tcp::socket client;
    tcp::socket target;
};

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct fault_proxy::shared_state
{
    shared_state(asio::io_context &context, tcp::endpoint to)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , target(std::move(to))
    { }

    static asio::awaitable<void> accept(std::shared_ptr<shared_state> self)
    {
        while (self->acceptor.is_open()) {
            boost::system::error_code error;
            tcp::socket socket = co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                continue;
            }
            if (self->fault == proxy_fault::Refuse) {
                reset(socket);
                continue;
            }
            auto pair = std::make_shared<proxied_connection>(proxied_connection{std::move(socket), tcp::socket(self->acceptor.get_executor())});
            asio::co_spawn(self->acceptor.get_executor(), connect(self, std::move(pair)), asio::detached);
        }
    }

    static asio::awaitable<void> connect(std::shared_ptr<shared_state> self, std::shared_ptr<proxied_connection> pair)
    {
        boost::system::error_code error;
        co_await pair->target.async_connect(self->target, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            reset(pair->client);
            co_return;
        }
        self->connections.insert(pair);
        asio::co_spawn(self->acceptor.get_executor(), forward(self, pair, true), asio::detached);
        co_await forward(self, pair, false);
        self->connections.erase(pair);
    }

    static asio::awaitable<void> forward(std::shared_ptr<shared_state> self, std::shared_ptr<proxied_connection> pair, bool toTarget)
    {
        tcp::socket &from = toTarget ? pair->client : pair->target;
        tcp::socket &to = toTarget ? pair->target : pair->client;
        std::array<char, 16384> bytes{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = co_await from.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            if (self->delay.count() > 0) {
                asio::steady_timer timer(self->acceptor.get_executor(), self->delay);
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (!self->dropsBytes(toTarget)) {
                co_await asio::async_write(to, asio::buffer(bytes.data(), count), asio::redirect_error(asio::use_awaitable, error));
            }
        }
        boost::system::error_code ignored;
        if (error == asio::error::eof && !self->dropsBytes(toTarget)) {
            to.shutdown(tcp::socket::shutdown_send, ignored);
        } else if (error != asio::error::eof) {
            reset(pair->client);
            reset(pair->target);
        }
    }

    bool dropsBytes(bool toTarget) const
    {
        return fault == proxy_fault::DropAll || fault == (toTarget ? proxy_fault::DropToTarget : proxy_fault::DropFromTarget);
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    proxy_fault fault = proxy_fault::None;
    std::chrono::milliseconds delay{0};
    std::set<std::shared_ptr<proxied_connection>> connections;
};

fault_proxy::fault_proxy(asio::io_context &context, tcp::endpoint target)
    : m_state(std::make_shared<shared_state>(context, std::move(target)))
{
    asio::co_spawn(context, shared_state::accept(m_state), asio::detached);
}

fault_proxy::~fault_proxy()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

tcp::endpoint fault_proxy::endpoint() const
{
    return m_state->acceptor.local_endpoint();
}

void fault_proxy::setFault(proxy_fault fault)
{
    m_state->fault = fault;
}

void fault_proxy::setDelay(std::chrono::milliseconds delay)
{
    m_state->delay = delay;
}

void fault_proxy::resetAll()
{
    for (const std::shared_ptr<proxied_connection> &pair : m_state->connections) {
        reset(pair->client);
        reset(pair->target);
    }
}

} // namespace heatherroute::support
