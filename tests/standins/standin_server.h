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
 * Wakes the coroutines of one io_context that wait for a state change.
 *
 * Wake-ups may be spurious, so a waiter must check its condition after each one. Not thread safe.
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

/// An HTTP request with its parsed target and JSON body.
struct standin_request
{
    http::request<http::string_body> raw;
    std::string path;
    std::map<std::string, std::string> query;
    json::value body; ///< Null if the body is empty or not JSON.

    /// The query parameter @p name as a number, or @p fallback if it is absent.
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
};

/**
 * One client connection of a stand-in; handlers send the answer to the current request through it.
 *
 * Not thread safe; used from the coroutine that handles the request.
 */
class standin_connection : public std::enable_shared_from_this<standin_connection>
{
public:
    standin_connection(net::io_context &context, net::ip::tcp::socket socket);

    /// Sends a complete JSON answer.
    net::awaitable<void> answer(unsigned status, const json::value &body);
    /// Sends a complete answer with the content type @p type.
    net::awaitable<void> answerText(unsigned status, std::string_view type, std::string body);
    /// Sends an error answer with the body that all stand-ins use; see errorBody().
    net::awaitable<void> fail(unsigned status, std::string_view code, std::string_view message = {});
    /// Sends the header of an event stream. Afterwards @p onClosed is called once if the peer closes the connection.
    net::awaitable<void> beginStream(std::function<void()> onClosed);
    /// Sends @p events, which must be formatted as server-sent events. Returns false if the connection is broken.
    net::awaitable<bool> sendEvents(std::string events);
    /// Ends the stream. The connection can serve further requests afterwards.
    net::awaitable<void> endStream();
    /// Closes the connection without an answer.
    void drop();
    /// Stops answering: requests that arrive later are ignored, but the connection stays open.
    void silence();
    /// Whether the connection is known to be closed.
    bool isClosed() const;

private:
    friend class standin_server;
    net::awaitable<void> serve(class standin_server &server);
    net::awaitable<void> watchForClose();
    void handlePeerClosed();

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
 * The HTTP server of the stand-ins, with routes by method and path.
 *
 * Not thread safe; runs on the single thread of its io_context.
 */
class standin_server
{
public:
    explicit standin_server(net::io_context &context)
        : m_context(context)
    { }

    /// Adds a route for @p method (empty for any) and @p path. A path that ends in `*` matches as a prefix. The first matching route wins.
    void route(std::string method, std::string path, standin_handler handler);
    /// Binds @p listen (`IP:port`), prints `listening IP:port` and serves until SIGTERM or SIGINT. Returns false with @p reason if it can't bind.
    bool run(const std::string &listen, last_reason *reason);
    /// Permanently silences all open connections except @p except; see standin_connection::silence().
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

/// The JSON body of the error answers of all stand-ins.
json::object errorBody(std::string_view code, std::string_view message);

/// A server-sent event with @p body as its data.
std::string eventText(const json::value &body);

} // namespace heatherroute::standins
