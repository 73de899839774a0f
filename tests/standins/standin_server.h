#pragma once

#include "heatherroute/last_reason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::standins
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

/**
 * Wakes coroutines of one io_context that wait for a change of state.
 *
 * A waiter looks at its condition again after each wake-up; wake-ups may be spurious. Not thread safe.
 */
class notifier
{
public:
    explicit notifier(net::io_context &context)
        : m_context(context)
    { }

    /// Suspends the calling coroutine until notify() or until @p limit has passed.
    net::awaitable<void> wait(std::chrono::milliseconds limit = std::chrono::hours(24));

    /// Wakes all waiting coroutines.
    void notify();

private:
    net::io_context &m_context;
    std::set<net::steady_timer *> m_waiting;
};

/// One request as a handler sees it.
struct standin_request
{
    http::request<http::string_body> raw;
    std::string path;
    std::map<std::string, std::string> query;
    json::value body; ///< Null when the body is empty or no JSON.

    /// The member @p name of the query as a number, or @p fallback.
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
};

/**
 * One connection of a stand-in, and through it the answer to the request in hand.
 *
 * Not thread safe; used from the coroutine that handles the request.
 */
class standin_connection : public std::enable_shared_from_this<standin_connection>
{
public:
    standin_connection(net::io_context &context, net::ip::tcp::socket socket);

    /// Sends a whole JSON answer.
    net::awaitable<void> answer(unsigned status, const json::value &body);
    /// Sends a whole answer of any type.
    net::awaitable<void> answerText(unsigned status, std::string_view type, std::string body);
    /// Sends the error body that every stand-in uses.
    net::awaitable<void> fail(unsigned status, std::string_view code, std::string_view message = {});
    /// Sends the head of an event stream; from here on @p onClosed runs once when the peer closes.
    net::awaitable<void> beginStream(std::function<void()> onClosed);
    /// Sends @p events, which is text in the form of server-sent events; false when the connection is broken.
    net::awaitable<bool> sendEvents(std::string events);
    /// Ends the stream; the connection serves further requests.
    net::awaitable<void> endStream();
    /// Closes the connection without an answer.
    void drop();
    /// From now on nothing is answered and nothing that arrives is served, but the connection stays open.
    void silence();
    /// Whether the peer has closed, as far as this side knows.
    bool isClosed() const;

private:
    friend class standin_server;
    net::awaitable<void> serve(class standin_server &server);
    net::awaitable<void> watch();
    void peerClosed();

    net::io_context &m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::function<void()> m_onClosed;
    bool m_keepAlive = true;
    bool m_silent = false;
    bool m_closed = false;
};

using standin_handler = std::function<net::awaitable<void>(const standin_request &, standin_connection &)>;

/**
 * The HTTP server of the stand-ins: routes by method and path, on the one thread that runs its io_context.
 *
 * Not thread safe.
 */
class standin_server
{
public:
    explicit standin_server(net::io_context &context)
        : m_context(context)
    { }

    /// Serves @p method (empty: any) at @p path; a path that ends in `*` stands for all below it. The first match wins.
    void route(std::string method, std::string path, standin_handler handler);
    /// Binds `IP:port`, prints `listening IP:port` when ready, and serves until SIGTERM or SIGINT. False if it can't bind.
    bool run(const std::string &listen, last_reason *reason);
    /// Makes all connections that are open now, but for @p except, silent for good; see standin_connection::silence().
    void silenceConnections(const standin_connection *except);

private:
    friend class standin_connection;
    struct route_entry
    {
        std::string method;
        std::string path;
        standin_handler handler;
    };

    net::awaitable<void> acceptLoop(net::ip::tcp::acceptor &acceptor);
    const standin_handler *find(const standin_request &request) const;

    net::io_context &m_context;
    std::vector<route_entry> m_routes;
    std::vector<std::weak_ptr<standin_connection>> m_connections;
};

/// The body that every error of a stand-in has.
json::object errorBody(std::string_view code, std::string_view message);

/// One server-sent event that carries @p body.
std::string eventText(const json::value &body);

} // namespace heatherroute::standins
