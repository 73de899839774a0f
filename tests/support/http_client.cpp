#include "support/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <limits>
#include <utility>

namespace heatherroute::support
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace detail
{

/// A connection for one call. Each step runs the io_context until its operation completes or times out.
struct client_connection
{
    explicit client_connection(std::chrono::milliseconds stepTimeout)
        : timeout(stepTimeout)
        , stream(context)
    {
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    /// Starts one asynchronous operation and waits until it completes. Returns whether it succeeded.
    template<typename Start>
    bool step(Start &&start)
    {
        context.restart();
        stream.expires_after(timeout);
        start([this](const beast::error_code &result, auto &&...) { error = result; });
        context.run();
        return !error;
    }

    bool open(const std::string &address)
    {
        const auto colon = address.rfind(':');
        const auto ip = net::ip::make_address(address.substr(0, colon), error);
        if (error || colon == std::string::npos) {
            return false;
        }
        const auto port = static_cast<unsigned short>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
        const net::ip::tcp::endpoint endpoint(ip, port);
        const bool connected = step([&](auto handler) { stream.async_connect(endpoint, std::move(handler)); });
        if (connected) {
            stream.socket().set_option(net::ip::tcp::no_delay(true));
        }
        return connected;
    }

    bool send(const std::string &address, const std::string &method, const std::string &target, const std::string &body, const http_fields &fields)
    {
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(method);
        request.target(target);
        request.set(http::field::host, address);
        request.set(http::field::connection, "close");
        if (!body.empty()) {
            request.set(http::field::content_type, "application/json");
        }
        for (const auto &[name, value] : fields) {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        return step([&](auto handler) { http::async_write(stream, request, std::move(handler)); });
    }

    bool readHead()
    {
        return step([&](auto handler) { http::async_read_header(stream, buffer, parser, std::move(handler)); });
    }

    bool readSome()
    {
        return step([&](auto handler) { http::async_read_some(stream, buffer, parser, std::move(handler)); });
    }

    http_fields fields() const
    {
        http_fields result;
        for (const auto &field : parser.get()) {
            std::string name(field.name_string());
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
            result[name] = std::string(field.value());
        }
        return result;
    }

    std::chrono::milliseconds timeout;
    net::io_context context{1};
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code error;
    std::string errorText;
};

} // namespace detail

std::unique_ptr<event_stream>
event_stream::make(const std::string &address, const std::string &target, const boost::json::value &body, const http_options &options, last_reason *reason)
{
    auto connection = std::make_unique<detail::client_connection>(options.timeout);
    if (!connection->open(address) || !connection->send(address, "POST", target, boost::json::serialize(body), options.fields) || !connection->readHead()) {
        setReason(reason, connection->error.message());
        return nullptr;
    }
    return std::unique_ptr<event_stream>(new event_stream(std::move(connection)));
}

event_stream::event_stream(std::unique_ptr<detail::client_connection> connection)
    : m_connection(std::move(connection))
{ }

event_stream::~event_stream() = default;

unsigned event_stream::status() const
{
    return m_connection->parser.get().result_int();
}

http_fields event_stream::fields() const
{
    return m_connection->fields();
}

std::optional<sse_event> event_stream::next()
{
    std::string &text = m_connection->parser.get().body();
    std::size_t end = text.find("\n\n");
    while (end == std::string::npos) {
        if (m_connection->parser.is_done()) {
            return std::nullopt;
        }
        if (!m_connection->readSome()) {
            m_connection->errorText = m_connection->error.message();
            return std::nullopt;
        }
        end = text.find("\n\n");
    }
    sse_event event;
    for (std::size_t begin = 0; begin < end;) {
        const std::size_t stop = std::min(text.find('\n', begin), end);
        const std::string line = text.substr(begin, stop - begin);
        if (line.compare(0, 7, "event: ") == 0) {
            event.name = line.substr(7);
        } else if (line.compare(0, 6, "data: ") == 0) {
            event.data += line.substr(6);
        }
        begin = stop + 1;
    }
    text.erase(0, end + 2);
    return event;
}

const std::string &event_stream::error() const
{
    return m_connection->errorText;
}

std::string event_stream::readRest()
{
    while (!m_connection->parser.is_done()) {
        if (!m_connection->readSome()) {
            m_connection->errorText = m_connection->error.message();
            break;
        }
    }
    return std::exchange(m_connection->parser.get().body(), {});
}

http_reply callHttp(const std::string &address, const std::string &method, const std::string &target, const std::string &body, const http_options &options)
{
    http_reply reply;
    detail::client_connection call(options.timeout);
    const auto until = std::chrono::steady_clock::now() + options.timeout;
    bool succeeded = call.open(address) && call.send(address, method, target, body, options.fields) && call.readHead();
    while (succeeded && !call.parser.is_done()) {
        call.timeout = std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
        succeeded = call.timeout.count() > 0 && call.readSome();
    }
    if (!succeeded) {
        reply.error = call.error ? call.error.message() : "timeout";
        return reply;
    }
    reply.status = call.parser.get().result_int();
    reply.fields = call.fields();
    reply.body = std::move(call.parser.get().body());
    beast::error_code parseError;
    reply.json = boost::json::parse(reply.body, parseError);
    return reply;
}

http_reply getJson(const std::string &address, const std::string &target, const http_options &options)
{
    return callHttp(address, "GET", target, {}, options);
}

http_reply postJson(const std::string &address, const std::string &target, const boost::json::value &body, const http_options &options)
{
    return callHttp(address, "POST", target, boost::json::serialize(body), options);
}

} // namespace heatherroute::support
