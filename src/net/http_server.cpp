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
#include <iterator>
#include <list>
#include <optional>

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

/// Why a request was not read, and the status of the response; 0 when the peer can no longer receive one.
struct read_failure
{
    unsigned status = 0;
    std::optional<refusal_reason> reason;
    std::string text;
};

read_failure failureOf(const beast::error_code &error)
{
    if (error == http::error::header_limit) {
        return {431, refusal_reason::HeadTooLarge, error.message()};
    }
    if (error == http::error::body_limit) {
        return {413, refusal_reason::BodyTooLarge, error.message()};
    }
    if (error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::operation_aborted) {
        return {0, std::nullopt, error.message()};
    }
    return {400, refusal_reason::Malformed, error.message()};
}

http_request makeRequest(http::request<http::string_body> &&message, const std::string &remoteAddress)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.remoteAddress = remoteAddress;
    request.fields.reserve(static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    for (const auto &field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    // The message lives as long as its request is served, and its fields cost more than their copies.
    message.clear();
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
constexpr std::size_t kMinConcurrentRefusals = 16; ///< Where few connections are allowed.
/// Limit of received bytes that aren't parsed yet, beyond a header. Without it, an endless line in a chunked body would be kept until the timeout.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{128} * 1024;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxBodyReadBytes = std::size_t{64} * 1024;
/// Counted for each connection: its coroutines, timers and socket, the first read and the response's head.
constexpr std::size_t kConnectionBytes = std::size_t{12} * 1024;
/// Counted for a field in addition to its characters, while a request is read: a node of the parser's message and the block around it.
constexpr std::size_t kParsedFieldBytes = 96;
/// As above, while a request is served: a field of http_request, its copy for the upstream, and a node of the message that is sent there.
constexpr std::size_t kServedFieldBytes = 2 * sizeof(http_field) + kParsedFieldBytes;
/// Counted for a request that is served: its coroutines, the connection to an upstream and the piece of the response that is passed on.
constexpr std::size_t kServedRequestBytes = std::size_t{32} * 1024;
constexpr std::size_t kServedCopies = 4; ///< Of the characters of a head: in the request, for the upstream, in the message to it and for decisions.
constexpr std::size_t kReservationStepBytes = std::size_t{64} * 1024;
/// How long a request waits for others to return memory, and how often it looks.
constexpr std::chrono::milliseconds kMaxMemoryWait{1'000};
constexpr std::chrono::milliseconds kMemoryPollInterval{20};
/// Pause after a failed accept, which usually fails again until a descriptor has been closed.
constexpr std::chrono::milliseconds kAcceptPause{50};
/// An idle connection without any request so far makes room for a new one after this time.
constexpr std::chrono::milliseconds kMinIdleTime{200};
constexpr unsigned kNoMemoryStatus = 503;
constexpr unsigned kTimeoutStatus = 408;
constexpr const char *kRetryAfterS = "1";
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
        armUntil(std::chrono::steady_clock::now() + timeout);
    }

    void armUntil(std::chrono::steady_clock::time_point until)
    {
        m_timer.expires_at(until);
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

std::string_view toString(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::HeadTooLarge:
        return "head_too_large";
    case refusal_reason::BodyTooLarge:
        return "body_too_large";
    case refusal_reason::Malformed:
        return "malformed";
    case refusal_reason::Timeout:
        return "timeout";
    case refusal_reason::NoProgress:
        return "no_progress";
    case refusal_reason::NoMemory:
        return "no_memory";
    case refusal_reason::TooManyConnections:
        return "too_many_connections";
    case refusal_reason::Idle:
        return "idle";
    case refusal_reason::AcceptFailed:
        return "accept_failed";
    case refusal_reason::Failed:
        return "failed";
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
        for (connection *link : m_idle) {
            // A request that has arrived is answered first, and its answer announces the end of the connection.
            tcp::socket &socket = link->stream.socket();
            if (!hasUnreadBytes(socket)) {
                beast::error_code ignored;
                socket.cancel(ignored);
            }
        }
    }

    void guard(std::shared_ptr<memory_budget> budget, refusal_hook onRefused)
    {
        m_budget = std::move(budget);
        m_onRefused = std::move(onRefused);
    }

private:
    using request_parser = http::request_parser<http::string_body>;

    /// A connection and what is held for it.
    struct connection
    {
        connection(tcp::socket socket, std::string address, std::size_t bufferBytes)
            : stream(std::move(socket))
            , buffer(bufferBytes)
            , remoteAddress(std::move(address))
        { }

        /// Asks to refuse the request that is being read, because its memory is needed.
        void evict()
        {
            if (isReading) {
                isEvicted = true;
                beast::error_code ignored;
                stream.socket().cancel(ignored);
            }
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::string remoteAddress;
        std::optional<memory_share> memory; ///< Set as long as the connection is served.
        std::chrono::steady_clock::time_point idleSince{};
        bool hasServed = false;
        bool isReading = false; ///< The request is incomplete.
        bool isEvicted = false;
        bool isClosing = false; ///< Closed while idle, to make room.
    };

    /// The size of the request that is being read.
    struct request_size
    {
        std::size_t lines = 0; ///< Lines of the head.
        std::size_t headBytes = 0;
    };

    void noteRefusal(refusal_reason reason, const std::string &remoteAddress) const
    {
        if (m_onRefused) {
            m_onRefused(reason, remoteAddress);
        }
    }

    static asio::awaitable<void> accept(std::shared_ptr<impl> self)
    {
        asio::steady_timer pause(self->m_context);
        while (self->m_acceptor.is_open()) {
            beast::error_code error;
            tcp::socket socket = co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                if (self->m_acceptor.is_open() && error != asio::error::connection_aborted) {
                    self->noteRefusal(refusal_reason::AcceptFailed, {});
                    pause.expires_after(kAcceptPause);
                    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
                }
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            socket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(self->m_limits.sendBufferBytes)), error);
            if (self->m_connections >= self->m_limits.maxConnections && !self->closeIdleConnection()) {
                self->noteRefusal(refusal_reason::TooManyConnections, {});
                if (self->m_refusals < std::clamp(self->m_limits.maxConnections / 4, kMinConcurrentRefusals, kMaxConcurrentRefusals)) {
                    asio::co_spawn(self->m_context, refuseConnection(self, std::move(socket)), asio::detached);
                }
                continue;
            }
            asio::co_spawn(self->m_context, serve(self, std::move(socket)), asio::detached);
        }
    }

    /// Closes the connection that has waited longest for its first request. Returns false if there is none, or none that has waited long enough.
    bool closeIdleConnection()
    {
        const auto found = std::find_if(m_idle.begin(), m_idle.end(), [](const connection *link) { return !link->hasServed && !link->isClosing; });
        if (found == m_idle.end() || std::chrono::steady_clock::now() - (*found)->idleSince < kMinIdleTime) {
            return false;
        }
        connection &link = **found;
        m_idle.erase(found);
        link.isClosing = true;
        beast::error_code ignored;
        link.stream.socket().close(ignored);
        noteRefusal(refusal_reason::Idle, link.remoteAddress);
        return true;
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
        std::string remoteAddress = error ? std::string{} : remote.address().to_string();
        const auto link = std::make_shared<connection>(std::move(socket), std::move(remoteAddress), self->m_limits.maxHeaderBytes + kMaxUnparsedBytes);
        link->memory.emplace(self->m_budget, memory_use::Request, self->evictionHook(link));
        std::size_t requestsLeft = self->m_limits.maxRequestsPerConnection;
        bool keepOpen = requestsLeft > 0;
        try {
            if (keepOpen && !link->memory->tryResize(kConnectionBytes)) {
                keepOpen = false;
                self->noteRefusal(refusal_reason::NoMemory, link->remoteAddress);
                std::string text = memoryFailure().text;
                co_await self->sendRefusal(link->stream, kNoMemoryStatus, std::move(text));
            }
            while (keepOpen && self->m_acceptor.is_open()) {
                --requestsLeft;
                keepOpen = co_await self->serveOne(*link, requestsLeft > 0);
            }
            if (!link->isClosing) {
                co_await lingeringClose(link->stream);
            }
        } catch (const std::exception &) {
            self->noteRefusal(refusal_reason::Failed, link->remoteAddress);
        }
        self->m_idle.remove(link.get());
        link->memory.reset();
        --self->m_connections;
    }

    /// Passes the wish of the budget, on any thread, to the connection's executor.
    std::function<void()> evictionHook(const std::shared_ptr<connection> &link)
    {
        if (!m_budget) {
            return {};
        }
        return [executor = m_context.get_executor(), weak = std::weak_ptr<connection>(link)] {
            asio::post(executor, [weak] {
                if (const auto locked = weak.lock()) {
                    locked->evict();
                }
            });
        };
    }

    asio::awaitable<bool> serveOne(connection &link, bool mayKeepAlive)
    {
        std::optional<request_parser> parser(std::in_place);
        parser->header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
        parser->body_limit(m_limits.maxBodyBytes);
        read_deadline deadline(link.stream.socket());
        if (link.buffer.size() == 0) {
            const bool isAwake = co_await waitForRequest(link, deadline);
            if (!isAwake) {
                co_return false;
            }
        }
        link.isReading = true;
        link.memory->setIncomplete(true);
        std::optional<read_failure> failure = co_await readRequest(link, *parser, deadline);
        deadline.disarm();
        link.isReading = false;
        link.memory->setIncomplete(false);
        if (failure) {
            parser.reset();
            link.buffer.clear();
            link.buffer.shrink_to_fit();
            link.memory->resize(kConnectionBytes);
            if (failure->reason) {
                noteRefusal(*failure->reason, link.remoteAddress);
            }
            if (failure->status != 0 && link.stream.socket().is_open()) {
                co_await sendRefusal(link.stream, failure->status, std::move(failure->text));
            }
            co_return false;
        }
        link.hasServed = true;
        http::request<http::string_body> message = parser->release();
        parser.reset();
        if (link.buffer.size() == 0 && link.buffer.capacity() > kFirstReadBytes) {
            link.buffer.shrink_to_fit();
        }
        const bool keepOpen = co_await answer(link.stream, std::move(message), link.remoteAddress, mayKeepAlive);
        link.memory->resize(kConnectionBytes);
        co_return keepOpen;
    }

    /// Waits for the first bytes of a request. Returns false when the connection has ended instead.
    asio::awaitable<bool> waitForRequest(connection &link, read_deadline &deadline)
    {
        beast::error_code error;
        deadline.arm(m_limits.idleTimeout);
        link.idleSince = std::chrono::steady_clock::now();
        const auto position = m_idle.insert(m_idle.end(), &link);
        const std::size_t count = co_await link.stream.async_read_some(link.buffer.prepare(kFirstReadBytes), asio::redirect_error(asio::use_awaitable, error));
        if (!link.isClosing) {
            m_idle.erase(position);
        }
        link.buffer.commit(count);
        co_return !error;
    }

    /// Reads a request in steps, each of which the memory budget allows before. Returns why it was not read; empty on success.
    asio::awaitable<std::optional<read_failure>> readRequest(connection &link, request_parser &parser, read_deadline &deadline)
    {
        const auto headUntil = std::chrono::steady_clock::now() + m_limits.headerTimeout;
        request_size size;
        while (!parser.is_header_done()) {
            const std::size_t lines = size.lines + countLines(link.buffer, link.buffer.size());
            const std::size_t cost = link.buffer.capacity() + lines * kParsedFieldBytes + size.headBytes + link.buffer.size();
            bool fits = tryMakeRoom(link, cost);
            if (!fits) {
                fits = co_await waitForRoom(link, cost);
            }
            if (!fits) {
                co_return memoryFailure();
            }
            beast::error_code error;
            const std::size_t used = parser.put(link.buffer.data(), error);
            size.lines += countLines(link.buffer, used);
            size.headBytes += used;
            link.buffer.consume(used);
            if (error && error != http::error::need_more) {
                co_return failureOf(error);
            }
            if (!parser.is_header_done()) {
                if (link.buffer.size() >= m_limits.maxHeaderBytes) {
                    co_return failureOf(http::error::header_limit);
                }
                std::optional<read_failure> failure = co_await readMore(link, kFirstReadBytes, deadline, headUntil, headUntil);
                if (failure) {
                    co_return failure;
                }
            }
        }
        if (hasAmbiguousLength(parser)) {
            co_return failureOf(http::error::bad_transfer_encoding);
        }
        beast::error_code expectationError;
        co_await acceptExpectation(link.stream, parser, expectationError);
        if (expectationError) {
            co_return failureOf(expectationError);
        }
        if (!parser.is_done()) {
            std::optional<read_failure> failure = co_await readBody(link, parser, size, deadline);
            if (failure) {
                co_return failure;
            }
        }
        // From here on the request may run: what it needs is held before.
        const std::size_t served = kServedRequestBytes + size.lines * kServedFieldBytes + size.headBytes * kServedCopies + 2 * parser.get().body().size();
        bool fits = tryMakeRoom(link, served);
        if (!fits) {
            fits = co_await waitForRoom(link, served);
        }
        if (!fits) {
            co_return memoryFailure();
        }
        co_return std::nullopt;
    }

    asio::awaitable<std::optional<read_failure>> readBody(connection &link, request_parser &parser, request_size size, read_deadline &deadline)
    {
        const auto bodyUntil = std::chrono::steady_clock::now() + m_limits.bodyTimeout;
        const std::size_t headCost = size.lines * kParsedFieldBytes + size.headBytes;
        parser.eager(true);
        while (true) {
            // The parser allocates a body of known length at once, and a kernel may make all of it resident. One without moves as it grows, and both
            // places count.
            const std::size_t received = parser.get().body().size() + link.buffer.size();
            const std::size_t bodyCapacity = received > 0 ? static_cast<std::size_t>(parser.content_length().value_or(received)) : 0;
            const std::size_t cost = headCost + (parser.chunked() ? 2 * received : bodyCapacity) + link.buffer.capacity();
            bool fits = tryMakeRoom(link, cost);
            if (!fits) {
                fits = co_await waitForRoom(link, cost);
            }
            if (!fits) {
                co_return memoryFailure();
            }
            if (link.buffer.size() > 0) {
                beast::error_code error;
                const std::size_t used = parser.put(link.buffer.data(), error);
                link.buffer.consume(used);
                if (error && error != http::error::need_more) {
                    co_return failureOf(error);
                }
            }
            if (parser.is_done()) {
                co_return std::nullopt;
            }
            // What remains is a chunk's header or the trailer, whose lines cost as much as those of a head.
            if (link.buffer.size() > m_limits.maxHeaderBytes) {
                co_return failureOf(http::error::buffer_overflow);
            }
            const std::uint64_t expected = parser.content_length_remaining().value_or(parser.get().body().size());
            const std::size_t wanted =
                std::clamp(static_cast<std::size_t>(std::min<std::uint64_t>(expected, kMaxBodyReadBytes)), kFirstReadBytes, kMaxBodyReadBytes);
            const auto progressUntil = std::chrono::steady_clock::now() + m_limits.bodyProgressTimeout;
            std::optional<read_failure> failure = co_await readMore(link, wanted, deadline, std::min(bodyUntil, progressUntil), bodyUntil);
            if (failure) {
                co_return failure;
            }
            link.memory->noteProgress();
        }
    }

    /// Reads at most @p bytes until @p until. @p totalUntil: when the whole part of the request is late.
    asio::awaitable<std::optional<read_failure>> readMore(connection &link,
                                                          std::size_t bytes,
                                                          read_deadline &deadline,
                                                          std::chrono::steady_clock::time_point until,
                                                          std::chrono::steady_clock::time_point totalUntil)
    {
        beast::error_code error;
        deadline.armUntil(until);
        const std::size_t wanted = std::min(bytes, link.buffer.max_size() - link.buffer.size());
        const std::size_t count = co_await link.stream.async_read_some(link.buffer.prepare(wanted), asio::redirect_error(asio::use_awaitable, error));
        link.buffer.commit(count);
        if (link.isEvicted) {
            co_return memoryFailure();
        }
        if (error && deadline.hasPassed()) {
            const bool isLate = until >= totalUntil;
            co_return read_failure{kTimeoutStatus,
                                   isLate ? refusal_reason::Timeout : refusal_reason::NoProgress,
                                   isLate ? "the request did not arrive in time" : "the body made no progress"};
        }
        if (error) {
            co_return failureOf(error == asio::error::eof ? beast::error_code(http::error::partial_message) : error);
        }
        co_return std::nullopt;
    }

    static read_failure memoryFailure()
    {
        return {kNoMemoryStatus, refusal_reason::NoMemory, "the memory of this entry is used up"};
    }

    /// The number of lines that end in the first @p bytes of @p buffer.
    static std::size_t countLines(const beast::flat_buffer &buffer, std::size_t bytes) noexcept
    {
        const auto *begin = static_cast<const char *>(buffer.data().data());
        return static_cast<std::size_t>(std::count(begin, begin + bytes, '\n'));
    }

    /// What @p link holds in total for a request that needs @p bytes. Large requests hold memory in steps, which saves calls.
    static std::size_t heldFor(std::size_t bytes) noexcept
    {
        const std::size_t wanted = std::max(kConnectionBytes, bytes + kFirstReadBytes);
        return wanted <= memory_budget::kSmallBytes ? wanted : (wanted + kReservationStepBytes - 1) / kReservationStepBytes * kReservationStepBytes;
    }

    /// Makes @p link hold at least @p bytes. Returns false when it doesn't fit now, or when the request has to be refused.
    static bool tryMakeRoom(connection &link, std::size_t bytes)
    {
        const std::size_t wanted = heldFor(bytes);
        return !link.isEvicted && (wanted <= link.memory->held() || link.memory->tryResize(wanted));
    }

    /// As above, but waits for others to return memory. Returns false when the request has to be refused.
    asio::awaitable<bool> waitForRoom(connection &link, std::size_t bytes)
    {
        const auto until = std::chrono::steady_clock::now() + kMaxMemoryWait;
        asio::steady_timer timer(m_context);
        while (!link.isEvicted && std::chrono::steady_clock::now() < until) {
            timer.expires_after(kMemoryPollInterval);
            beast::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            if (tryMakeRoom(link, bytes)) {
                co_return true;
            }
        }
        co_return false;
    }

    /// Whether parsers could disagree on the length of the body, which would allow request smuggling.
    static bool hasAmbiguousLength(const http::request_parser<http::string_body> &parser)
    {
        const auto &head = parser.get();
        return head.count(http::field::transfer_encoding) > 0 && !parser.chunked();
    }

    /// Sends "100 Continue" when the request expects it before its body.
    asio::awaitable<void> acceptExpectation(beast::tcp_stream &stream, request_parser &parser, beast::error_code &error)
    {
        if (!equalsIgnoringCase(parser.get()[http::field::expect], "100-continue")) {
            co_return;
        }
        http::response<http::empty_body> continueResponse{http::status::continue_, 11};
        co_await http::async_write(stream, continueResponse, asio::redirect_error(asio::use_awaitable, error));
    }

    asio::awaitable<void> sendRefusal(beast::tcp_stream &stream, unsigned status, std::string reason)
    {
        auto watch = std::make_shared<close_watch>();
        responder out(stream, m_limits, {}, m_draining, watch);
        http_answer refusal = m_badRequest(status, reason);
        if (status == kNoMemoryStatus && refusal.header("Retry-After").empty()) {
            refusal.fields.push_back({"Retry-After", kRetryAfterS});
        }
        co_await out.send(std::move(refusal));
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
    std::shared_ptr<memory_budget> m_budget;
    refusal_hook m_onRefused;
    std::list<connection *> m_idle; ///< Connections that wait for the first byte of a request, those that wait longest first.
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

void http_server::guard(std::shared_ptr<memory_budget> budget, refusal_hook onRefused)
{
    m_impl->guard(std::move(budget), std::move(onRefused));
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
