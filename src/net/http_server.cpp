#include "net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>

namespace heatherroute::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    const auto lower = [](unsigned char c) { return std::tolower(c); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) { return lower(x) == lower(y); });
}

/// Maps a read error to the status of the response; 0 when the peer can no longer receive one.
unsigned statusOfReadError(const beast::error_code &error) noexcept
{
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    if (error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::operation_aborted) {
        return 0;
    }
    return 400;
}

http_request makeRequest(http::request<http::string_body> &&message, const std::string &remoteAddress)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.remoteAddress = remoteAddress;
    for (const auto &field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

/// Whether the peer has closed or reset the connection of a readable socket. Consumes no data.
bool peerHasClosed(tcp::socket &socket) noexcept
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return false;
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/// Whether bytes have arrived that were not read yet. Consumes none.
bool hasUnreadBytes(tcp::socket &socket) noexcept
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

constexpr std::size_t kFirstReadBytes = 4096;
constexpr unsigned kFirstVersionWithChunks = 11; ///< HTTP/1.1, as Beast counts versions.
constexpr unsigned kTooManyConnectionsStatus = 503;
constexpr std::size_t kMaxConcurrentRefusals = 64; ///< Connections over the limit that get a 503 response concurrently; further ones are closed without one.
/// Limit of received bytes that aren't parsed yet, beyond a header. Without it, an endless line in a chunked body would be kept until the timeout.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{128} * 1024;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;
constexpr std::chrono::milliseconds kLingerTimeout{500};

/// Cancels a read after a timeout but leaves the connection open, so that an error response can be sent.
class read_deadline
{
public:
    explicit read_deadline(tcp::socket &socket)
        : m_socket(socket)
        , m_timer(socket.get_executor())
        , m_passed(std::make_shared<bool>(false))
    { }

    ~read_deadline()
    {
        disarm();
    }

    read_deadline(const read_deadline &) = delete;
    read_deadline &operator=(const read_deadline &) = delete;

    void arm(std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([socket = &m_socket, armed = std::weak_ptr<bool>(m_passed)](const beast::error_code &error) {
            const auto passed = armed.lock();
            if (error || !passed) {
                return;
            }
            *passed = true;
            beast::error_code ignored;
            socket->cancel(ignored);
        });
    }

    void disarm()
    {
        m_timer.cancel();
    }

    bool hasPassed() const noexcept
    {
        return *m_passed;
    }

private:
    tcp::socket &m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_passed;
};

/// State shared by the handler of a request and the coroutine that detects that the peer has closed the connection before the response is complete.
struct close_watch
{
    bool active = true;
    bool closed = false;
    std::function<void()> hook;

    void markClosed()
    {
        if (closed) {
            return;
        }
        closed = true;
        if (hook) {
            hook();
        }
    }
};

/// What a request says of the response to it.
struct response_traits
{
    bool knowsChunks = true; ///< Whether the peer speaks HTTP/1.1.
    bool hasBody = true; ///< False for a response to HEAD.
    bool keepAlive = false;
};

/// Writes the response of one request to the connection's stream.
class responder : public http_responder
{
public:
    responder(beast::tcp_stream &stream, const http_limits &limits, const response_traits &traits, const bool &draining, std::shared_ptr<close_watch> watch)
        : m_stream(stream)
        , m_limits(limits)
        , m_knowsChunks(traits.knowsChunks)
        , m_hasBody(traits.hasBody)
        , m_keepAlive(traits.keepAlive)
        , m_draining(draining)
        , m_watch(std::move(watch))
    { }

    asio::awaitable<bool> send(http_answer answer) override
    {
        if (m_aborted) {
            co_return false;
        }
        http::response<http::string_body> message{static_cast<http::status>(answer.status), 11};
        setHead(message, answer);
        if (m_hasBody) {
            message.body() = std::move(answer.body);
            message.prepare_payload();
        } else if (!answer.body.empty()) {
            message.content_length(answer.body.size());
        }
        http::response_serializer<http::string_body> serializer{message};
        m_sent = true;
        m_complete = true;
        m_stream.expires_after(m_limits.writeTimeout);
        beast::error_code error;
        if (m_hasBody) {
            co_await http::async_write(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
        } else {
            co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
        }
        co_return finish(error);
    }

    asio::awaitable<bool> beginStream(http_answer head, body_framing framing) override
    {
        if (m_aborted) {
            co_return false;
        }
        m_framing = m_knowsChunks ? framing : body_framing::ConnectionClose;
        m_keepAlive = m_keepAlive && m_framing == body_framing::Chunks;
        setResetOnClose(m_framing == body_framing::ConnectionClose);
        http::response<http::empty_body> message{static_cast<http::status>(head.status), 11};
        setHead(message, head);
        message.chunked(m_framing == body_framing::Chunks);
        http::response_serializer<http::empty_body> serializer{message};
        m_sent = true;
        m_stream.expires_after(m_limits.writeTimeout);
        beast::error_code error;
        co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
        co_return finish(error);
    }

    asio::awaitable<bool> write(std::string data) override
    {
        if (m_aborted) {
            co_return false;
        }
        if (data.empty() || !m_hasBody) {
            co_return !isClosed();
        }
        m_stream.expires_after(m_limits.writeTimeout);
        beast::error_code error;
        if (m_framing == body_framing::Chunks) {
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(data)), asio::redirect_error(asio::use_awaitable, error));
        } else {
            co_await asio::async_write(m_stream, asio::buffer(data), asio::redirect_error(asio::use_awaitable, error));
        }
        co_return finish(error);
    }

    asio::awaitable<bool> endStream() override
    {
        if (m_aborted) {
            co_return false;
        }
        if (m_framing == body_framing::ConnectionClose || !m_hasBody) {
            m_complete = !isClosed();
            setResetOnClose(!m_complete);
            co_return m_complete;
        }
        m_stream.expires_after(m_limits.writeTimeout);
        beast::error_code error;
        co_await asio::async_write(m_stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
        m_complete = !error;
        co_return finish(error);
    }

    void onClosed(std::function<void()> hook) override
    {
        m_watch->hook = std::move(hook);
    }

    void abort() override
    {
        m_aborted = true;
        m_watch->markClosed();
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    bool isClosed() const noexcept override
    {
        return m_watch->closed;
    }

    bool wasSent() const noexcept
    {
        return m_sent;
    }

    bool mayReuseConnection() const noexcept
    {
        return m_complete && m_keepAlive && !isClosed();
    }

    /// Whether an orderly end of the connection would make an incomplete body look complete.
    bool mustReset() const noexcept
    {
        return m_framing == body_framing::ConnectionClose && !m_complete;
    }

private:
    template<typename Message>
    void setHead(Message &message, const http_answer &answer)
    {
        if (!answer.contentType.empty()) {
            message.set(http::field::content_type, answer.contentType);
        }
        for (const http_field &field : answer.fields) {
            message.insert(field.name, field.value);
        }
        m_keepAlive = m_keepAlive && !m_draining;
        message.keep_alive(m_keepAlive);
        if (m_keepAlive && !m_knowsChunks) {
            // An older client takes a connection for closed unless the response says otherwise.
            message.set(http::field::connection, "keep-alive");
        }
    }

    /// Sets whether the kernel resets the connection when it is closed, also by the end of the process. Not set through Asio, which
    /// would clear the option when it destroys the socket.
    void setResetOnClose(bool reset) noexcept
    {
        const linger option{reset ? 1 : 0, 0};
        static_cast<void>(::setsockopt(m_stream.socket().native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option)));
    }

    bool finish(const beast::error_code &error)
    {
        m_stream.expires_never();
        if (error) {
            m_watch->markClosed();
        }
        return !error;
    }

    beast::tcp_stream &m_stream;
    const http_limits &m_limits;
    bool m_knowsChunks;
    bool m_hasBody;
    bool m_keepAlive;
    const bool &m_draining;
    std::shared_ptr<close_watch> m_watch;
    body_framing m_framing = body_framing::Length;
    bool m_sent = false;
    bool m_complete = false;
    bool m_aborted = false;
};

/// Waits until the socket becomes readable and marks @p watch closed when the peer has closed the connection. When the peer has sent further
/// data instead, such as a pipelined request, the wait ends, and only a failed write detects a later disconnection.
asio::awaitable<void> watchForClose(tcp::socket &socket, std::shared_ptr<close_watch> watch)
{
    beast::error_code error;
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (watch->active && !error && peerHasClosed(socket)) {
        watch->markClosed();
    }
}

} // namespace

namespace
{

std::string_view valueOf(const std::vector<http_field> &fields, std::string_view name) noexcept
{
    for (const http_field &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

} // namespace

std::string_view toString(body_framing framing) noexcept
{
    switch (framing) {
    case body_framing::Length:
        return "length";
    case body_framing::Chunks:
        return "chunks";
    case body_framing::ConnectionClose:
        return "connection_close";
    }
    return "";
}

asio::awaitable<bool> http_responder::beginStream(http_answer head)
{
    return beginStream(std::move(head), body_framing::Chunks);
}

std::string_view http_request::header(std::string_view name) const noexcept
{
    return valueOf(fields, name);
}

std::string_view http_answer::header(std::string_view name) const noexcept
{
    return valueOf(fields, name);
}

std::string_view http_request::path() const noexcept
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

std::string_view http_request::query(std::string_view name) const noexcept
{
    const std::string_view whole = target;
    const auto start = whole.find('?');
    std::string_view rest = start == std::string_view::npos ? std::string_view{} : whole.substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

class http_server::impl : public std::enable_shared_from_this<http_server::impl>
{
public:
    impl(asio::io_context &context, const http_limits &limits, http_handler handler, http_bad_request_handler badRequest)
        : m_context(context)
        , m_acceptor(context)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_badRequest(std::move(badRequest))
    { }

    bool listen(const tcp::endpoint &endpoint, last_reason *reason)
    {
        beast::error_code error;
        m_acceptor.open(endpoint.protocol(), error);
        if (!error) {
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            setReason(reason, "cannot listen on " + endpoint.address().to_string() + ":" + std::to_string(endpoint.port()) + ": " + error.message());
            return false;
        }
        asio::co_spawn(m_context, accept(shared_from_this()), asio::detached);
        return true;
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    std::size_t connectionCount() const noexcept
    {
        return m_connections;
    }

    void stopAccepting()
    {
        beast::error_code ignored;
        m_acceptor.close(ignored);
    }

    void setLimits(const http_limits &limits)
    {
        m_limits = limits;
    }

    void drain()
    {
        m_draining = true;
        for (tcp::socket *socket : m_idle) {
            // A request that has arrived is answered first, and its answer announces the end of the connection.
            if (!hasUnreadBytes(*socket)) {
                beast::error_code ignored;
                socket->cancel(ignored);
            }
        }
    }

private:
    static asio::awaitable<void> accept(std::shared_ptr<impl> self)
    {
        while (self->m_acceptor.is_open()) {
            beast::error_code error;
            tcp::socket socket = co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            socket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(self->m_limits.sendBufferBytes)), error);
            if (self->m_connections >= self->m_limits.maxConnections) {
                if (self->m_refusals < kMaxConcurrentRefusals) {
                    asio::co_spawn(self->m_context, refuseConnection(self, std::move(socket)), asio::detached);
                }
                continue;
            }
            asio::co_spawn(self->m_context, serve(self, std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> refuseConnection(std::shared_ptr<impl> self, tcp::socket socket)
    {
        ++self->m_refusals;
        beast::tcp_stream stream(std::move(socket));
        co_await self->sendRefusal(stream, kTooManyConnectionsStatus, "too many connections are open at this entry");
        co_await lingeringClose(stream);
        --self->m_refusals;
    }

    /// Closes the sending half, then discards a limited number of incoming bytes for a limited time before the socket is closed. Closing a
    /// socket with unread bytes resets the connection, and the peer may lose the response.
    static asio::awaitable<void> lingeringClose(beast::tcp_stream &stream)
    {
        beast::error_code error;
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        stream.expires_after(kLingerTimeout);
        std::string discarded(kFirstReadBytes, '\0');
        std::size_t total = 0;
        while (!error && total < kMaxDiscardedBytes) {
            total += co_await stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<impl> self, tcp::socket socket)
    {
        ++self->m_connections;
        beast::error_code error;
        const tcp::endpoint remote = socket.remote_endpoint(error);
        const std::string remoteAddress = error ? std::string{} : remote.address().to_string();
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer(self->m_limits.maxHeaderBytes + kMaxUnparsedBytes);
        std::size_t requestsLeft = self->m_limits.maxRequestsPerConnection;
        bool keepOpen = requestsLeft > 0;
        while (keepOpen && self->m_acceptor.is_open()) {
            --requestsLeft;
            keepOpen = co_await self->serveOne(stream, buffer, remoteAddress, requestsLeft > 0);
        }
        co_await lingeringClose(stream);
        --self->m_connections;
    }

    asio::awaitable<bool> serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer, const std::string &remoteAddress, bool mayKeepAlive)
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
        parser.body_limit(m_limits.maxBodyBytes);
        beast::error_code error;
        read_deadline deadline(stream.socket());
        if (buffer.size() == 0) {
            deadline.arm(m_limits.idleTimeout);
            m_idle.insert(&stream.socket());
            const std::size_t count = co_await stream.async_read_some(buffer.prepare(kFirstReadBytes), asio::redirect_error(asio::use_awaitable, error));
            m_idle.erase(&stream.socket());
            buffer.commit(count);
            if (error) {
                co_return false;
            }
        }
        deadline.arm(m_limits.headerTimeout);
        co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (!error && hasAmbiguousLength(parser)) {
            error = http::error::bad_transfer_encoding;
        }
        if (!error) {
            co_await acceptExpectation(stream, parser, error);
        }
        if (!error) {
            deadline.arm(m_limits.bodyTimeout);
            co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
        deadline.disarm();
        if (error) {
            co_await refuse(stream, deadline.hasPassed() ? beast::error_code(beast::error::timeout) : error);
            co_return false;
        }
        co_return co_await answer(stream, parser.release(), remoteAddress, mayKeepAlive);
    }

    /// Whether parsers could disagree on the length of the body, which would allow request smuggling.
    static bool hasAmbiguousLength(const http::request_parser<http::string_body> &parser)
    {
        const auto &head = parser.get();
        return head.count(http::field::transfer_encoding) > 0 && !parser.chunked();
    }

    /// Sends "100 Continue" when the request expects it before its body.
    asio::awaitable<void> acceptExpectation(beast::tcp_stream &stream, http::request_parser<http::string_body> &parser, beast::error_code &error)
    {
        if (!equalsIgnoringCase(parser.get()[http::field::expect], "100-continue")) {
            co_return;
        }
        http::response<http::empty_body> continueResponse{http::status::continue_, 11};
        co_await http::async_write(stream, continueResponse, asio::redirect_error(asio::use_awaitable, error));
    }

    asio::awaitable<void> refuse(beast::tcp_stream &stream, const beast::error_code &error)
    {
        const unsigned status = statusOfReadError(error);
        if (status == 0 || !stream.socket().is_open()) {
            co_return;
        }
        co_await sendRefusal(stream, status, error.message());
    }

    asio::awaitable<void> sendRefusal(beast::tcp_stream &stream, unsigned status, std::string reason)
    {
        auto watch = std::make_shared<close_watch>();
        responder out(stream, m_limits, {}, m_draining, watch);
        co_await out.send(m_badRequest(status, reason));
    }

    asio::awaitable<bool> answer(beast::tcp_stream &stream, http::request<http::string_body> message, const std::string &remoteAddress, bool mayKeepAlive)
    {
        auto watch = std::make_shared<close_watch>();
        const response_traits traits{message.version() >= kFirstVersionWithChunks, message.method() != http::verb::head, mayKeepAlive && message.keep_alive()};
        responder out(stream, m_limits, traits, m_draining, watch);
        asio::co_spawn(m_context, watchForClose(stream.socket(), watch), asio::detached);
        co_await m_handler(makeRequest(std::move(message), remoteAddress), out);
        watch->active = false;
        beast::error_code ignored;
        stream.socket().cancel(ignored);
        if (out.mustReset()) {
            stream.socket().close(ignored);
        }
        co_return out.wasSent() && out.mayReuseConnection();
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    http_limits m_limits;
    http_handler m_handler;
    http_bad_request_handler m_badRequest;
    std::set<tcp::socket *> m_idle; ///< Sockets of connections that wait for the first byte of a request.
    std::size_t m_connections = 0;
    std::size_t m_refusals = 0;
    bool m_draining = false;
};

std::unique_ptr<http_server> http_server::make(asio::io_context &context,
                                               const tcp::endpoint &endpoint,
                                               const http_limits &limits,
                                               http_handler handler,
                                               http_bad_request_handler badRequest,
                                               last_reason *reason)
{
    auto implementation = std::make_shared<impl>(context, limits, std::move(handler), std::move(badRequest));
    if (!implementation->listen(endpoint, reason)) {
        return nullptr;
    }
    return std::unique_ptr<http_server>(new http_server(std::move(implementation)));
}

http_server::http_server(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

http_server::~http_server()
{
    m_impl->stopAccepting();
}

tcp::endpoint http_server::endpoint() const
{
    return m_impl->endpoint();
}

std::size_t http_server::connectionCount() const noexcept
{
    return m_impl->connectionCount();
}

void http_server::stopAccepting()
{
    m_impl->stopAccepting();
}

void http_server::setLimits(const http_limits &limits)
{
    m_impl->setLimits(limits);
}

void http_server::drain()
{
    m_impl->drain();
}

} // namespace heatherroute::net
