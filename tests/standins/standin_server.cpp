#include "standins/standin_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace heatherroute::standins
{

namespace
{

constexpr auto kAwaitResult = net::as_tuple(net::use_awaitable);
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr std::size_t kConnectionsPerSweep = 64; // A new connection sweeps closed ones from the list when its size is a multiple of this.

void parseTarget(standin_request &request)
{
    const std::string target(request.raw.target());
    const auto queryStart = target.find('?');
    request.path = target.substr(0, queryStart);
    std::string remaining = queryStart == std::string::npos ? std::string() : target.substr(queryStart + 1);
    while (!remaining.empty()) {
        const auto end = remaining.find('&');
        const std::string pair = remaining.substr(0, end);
        const auto equals = pair.find('=');
        request.query[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
        remaining = end == std::string::npos ? std::string() : remaining.substr(end + 1);
    }
}

} // namespace

net::awaitable<void> notifier::wait(std::chrono::milliseconds limit)
{
    net::steady_timer timer(m_context, limit);
    m_waiting.insert(&timer);
    co_await timer.async_wait(kAwaitResult);
    m_waiting.erase(&timer);
}

void notifier::notify()
{
    for (auto *timer : m_waiting) {
        timer->cancel();
    }
}

std::int64_t standin_request::number(const std::string &name, std::int64_t fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::strtoll(found->second.c_str(), nullptr, 10);
}

standin_connection::standin_connection(net::io_context &context, net::ip::tcp::socket socket)
    : m_context(context)
    , m_stream(std::move(socket))
{ }

net::awaitable<void> standin_connection::answer(unsigned status, const json::value &body)
{
    return answerText(status, "application/json", json::serialize(body));
}

net::awaitable<void> standin_connection::answerText(unsigned status, std::string_view type, std::string body)
{
    if (m_silent) {
        co_return;
    }
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, beast::string_view(type.data(), type.size()));
    response.keep_alive(m_keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    auto [error, size] = co_await http::async_write(m_stream, response, kAwaitResult);
    if (error) {
        drop();
    }
}

net::awaitable<void> standin_connection::fail(unsigned status, std::string_view code, std::string_view message)
{
    return answer(status, errorBody(code, message));
}

net::awaitable<void> standin_connection::beginStream(std::function<void()> onClosed)
{
    m_onClosed = std::move(onClosed);
    if (m_silent) {
        co_return;
    }
    http::response<http::empty_body> response(http::status::ok, 11);
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::cache_control, "no-store");
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    auto [error, size] = co_await http::async_write_header(m_stream, serializer, kAwaitResult);
    if (error) {
        handlePeerClosed();
        co_return;
    }
    net::co_spawn(m_context, watchForClose(), net::detached);
}

net::awaitable<bool> standin_connection::sendEvents(std::string events)
{
    if (m_silent || events.empty()) {
        co_return true;
    }
    auto [error, size] = co_await net::async_write(m_stream, http::make_chunk(net::buffer(events)), kAwaitResult);
    if (error) {
        handlePeerClosed();
    }
    co_return !error;
}

net::awaitable<void> standin_connection::endStream()
{
    m_onClosed = nullptr;
    if (m_silent || m_closed) {
        co_return;
    }
    auto [error, size] = co_await net::async_write(m_stream, http::make_chunk_last(), kAwaitResult);
    if (error) {
        drop();
    } else {
        m_stream.socket().cancel(); // Ends watchForClose().
    }
}

void standin_connection::drop()
{
    m_closed = true;
    m_stream.close();
}

void standin_connection::silence()
{
    m_silent = true;
}

bool standin_connection::isClosed() const
{
    return m_closed;
}

void standin_connection::handlePeerClosed()
{
    m_closed = true;
    if (auto callback = std::exchange(m_onClosed, nullptr)) {
        callback();
    }
}

net::awaitable<void> standin_connection::watchForClose()
{
    const auto self = shared_from_this();
    auto &socket = m_stream.socket();
    auto [waitError] = co_await socket.async_wait(net::ip::tcp::socket::wait_read, kAwaitResult);
    if (waitError || m_silent || m_closed) {
        co_return;
    }
    char byte = 0;
    beast::error_code error;
    socket.receive(net::buffer(&byte, 1), net::ip::tcp::socket::message_peek, error);
    if (error && error != net::error::would_block) {
        handlePeerClosed();
    }
}

net::awaitable<void> standin_connection::serve(standin_server &server)
{
    const auto self = shared_from_this();
    while (!m_closed) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        auto [error, size] = co_await http::async_read(m_stream, m_buffer, parser, kAwaitResult);
        if (error) {
            break;
        }
        if (m_silent) {
            continue;
        }
        standin_request request;
        request.raw = parser.release();
        m_keepAlive = request.raw.keep_alive();
        parseTarget(request);
        beast::error_code parseError;
        request.body = json::parse(request.raw.body(), parseError);
        if (const auto *handler = server.find(request)) {
            co_await (*handler)(request, *this);
        } else {
            co_await fail(404, "no_route", request.path);
        }
        if (!m_keepAlive && !m_silent) {
            break;
        }
    }
    m_stream.close();
}

void standin_server::route(std::string method, std::string path, standin_handler handler)
{
    m_routes.push_back({std::move(method), std::move(path), std::move(handler)});
}

const standin_handler *standin_server::find(const standin_request &request) const
{
    const std::string method(request.raw.method_string());
    for (const auto &entry : m_routes) {
        const bool isPrefix = !entry.path.empty() && entry.path.back() == '*';
        const bool matches = isPrefix ? request.path.compare(0, entry.path.size() - 1, entry.path, 0, entry.path.size() - 1) == 0 : request.path == entry.path;
        if (matches && (entry.method.empty() || entry.method == method)) {
            return &entry.handler;
        }
    }
    return nullptr;
}

net::awaitable<void> standin_server::acceptLoop(net::ip::tcp::acceptor &acceptor)
{
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(kAwaitResult);
        if (error) {
            continue;
        }
        socket.set_option(net::ip::tcp::no_delay(true));
        auto connection = std::make_shared<standin_connection>(m_context, std::move(socket));
        if (m_connections.size() % kConnectionsPerSweep == 0) {
            std::erase_if(m_connections, [](const auto &entry) { return entry.expired(); });
        }
        m_connections.push_back(connection);
        net::co_spawn(m_context, connection->serve(*this), net::detached);
    }
}

bool standin_server::run(const std::string &listen, last_reason *reason)
{
    const auto colon = listen.rfind(':');
    beast::error_code error;
    const auto address = net::ip::make_address(listen.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        setReason(reason, "not an address of the form IP:port: " + listen);
        return false;
    }
    const auto port = static_cast<unsigned short>(std::strtoul(listen.c_str() + colon + 1, nullptr, 10));
    net::ip::tcp::acceptor acceptor(m_context);
    acceptor.open(net::ip::tcp::v4(), error);
    acceptor.set_option(net::socket_base::reuse_address(true), error);
    acceptor.bind({address, port}, error);
    if (!error) {
        acceptor.listen(net::socket_base::max_listen_connections, error);
    }
    if (error) {
        setReason(reason, "cannot listen on " + listen + ": " + error.message());
        return false;
    }
    net::signal_set signals(m_context, SIGTERM, SIGINT);
    signals.async_wait([this](const beast::error_code &, int) { m_context.stop(); });
    net::co_spawn(m_context, acceptLoop(acceptor), net::detached);
    std::printf("listening %s:%u\n", address.to_string().c_str(), static_cast<unsigned>(acceptor.local_endpoint().port()));
    std::fflush(stdout);
    m_context.run();
    return true;
}

void standin_server::silenceConnections(const standin_connection *except)
{
    for (const auto &entry : m_connections) {
        if (const auto connection = entry.lock(); connection && connection.get() != except) {
            connection->silence();
        }
    }
}

json::object errorBody(std::string_view code, std::string_view message)
{
    return {{"error", {{"code", code}, {"message", message}}}};
}

std::string eventText(const json::value &body)
{
    return "data: " + json::serialize(body) + "\n\n";
}

} // namespace heatherroute::standins
