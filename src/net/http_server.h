#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/last_reason.h"
#include "net/memory_budget.h"

namespace heatherroute::net
{

/// A header field of a request or a response.
struct http_field
{
    std::string name;
    std::string value;
    bool operator==(const http_field &) const = default;
};

/// Limits of a server: the number of its connections, and the memory and time that each one may use.
struct http_limits
{
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxConnections = 4096;
    std::size_t sendBufferBytes = std::size_t{256} * 1024; ///< Requested from the kernel, which otherwise buffers megabytes for a peer that does not read.
    std::size_t maxRequestsPerConnection = 1000; ///< The last response announces that the connection will be closed.
    std::chrono::milliseconds headerTimeout{10'000};
    std::chrono::milliseconds bodyTimeout{30'000};
    std::chrono::milliseconds bodyProgressTimeout{10'000}; ///< Longest time in which nothing arrives of a body.
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds writeTimeout{10'000};
    bool operator==(const http_limits &) const = default;
};

/// A request whose header and body have been received completely.
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<http_field> fields;
    std::string remoteAddress; ///< The peer's IP address without a port; empty when unknown.

    /// The value of header @p name, which is compared case-insensitively; empty when absent.
    std::string_view header(std::string_view name) const noexcept;
    /// The target without its query.
    std::string_view path() const noexcept;
    /// The value of query parameter @p name without percent-decoding; empty when absent.
    std::string_view query(std::string_view name) const noexcept;
};

/// How the end of a response body is marked.
enum class body_framing : std::uint8_t {
    Length, ///< By `Content-Length`; also a response without a body.
    Chunks, ///< By the last chunk.
    ConnectionClose, ///< By the end of the connection, so that only a reset shows that the body was broken off.
};

/// The name of @p framing in logs. Thread safe.
std::string_view toString(body_framing framing) noexcept;

/// A complete response.
struct http_answer
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json"; ///< Not sent when empty.
    std::vector<http_field> fields; ///< Sent in this order; names may repeat.
    body_framing framing = body_framing::Length; ///< Of a received response. It doesn't determine how a response is sent.
    std::shared_ptr<const memory_share> memory = nullptr; ///< What a collected body holds of a budget, until the response is destroyed.
    /// The value of header @p name, which is compared case-insensitively; empty when absent.
    std::string_view header(std::string_view name) const noexcept;
    bool operator==(const http_answer &) const = default;
};

/**
 * Writes the response to one request.
 *
 * Valid until the handler of the request has finished. Not thread safe: use it only on the server's executor. When a method
 * returns false, the peer has disconnected, and further calls have no effect.
 */
class http_responder
{
public:
    virtual ~http_responder() = default;
    /// Sends a complete response. Precondition: nothing was sent before.
    virtual boost::asio::awaitable<bool> send(http_answer answer) = 0;
    /// Sends the header of a response whose body follows in pieces. For a peer that speaks HTTP/1.0 the end of the connection always ends
    /// the body. Such a body is reset unless endStream() has ended it. Preconditions: nothing was sent before; @p framing isn't `Length`.
    virtual boost::asio::awaitable<bool> beginStream(http_answer head, body_framing framing) = 0;
    /// As above, with chunks.
    boost::asio::awaitable<bool> beginStream(http_answer head);
    /// Sends one piece of the body. Precondition: beginStream() returned true.
    virtual boost::asio::awaitable<bool> write(std::string data) = 0;
    /// Ends the body.
    virtual boost::asio::awaitable<bool> endStream() = 0;
    /// Sets @p hook, which is called once when the peer disconnects before the response is complete. It is not called when the peer is
    /// already known to have disconnected: check isClosed().
    virtual void onClosed(std::function<void()> hook) = 0;
    /// Aborts the response: a pending write fails at once, and the connection is closed. Counts as a disconnection and so calls the hook.
    virtual void abort() = 0;
    /// Whether the peer is known to have disconnected.
    virtual bool isClosed() const noexcept = 0;
};

/// Handles one request. Runs on the server's executor and must send exactly one response before it returns.
using http_handler = std::function<boost::asio::awaitable<void>(http_request, http_responder &)>;

/// Creates the response to a request that could not be read, or to a connection over the limit, with HTTP status @p status.
using http_bad_request_handler = std::function<http_answer(unsigned status, std::string_view reason)>;

/// Why a server refused a request or closed a connection.
enum class refusal_reason : std::uint8_t {
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
    Timeout, ///< The head or the whole body did not arrive in time.
    NoProgress, ///< Nothing arrived of a body for too long.
    NoMemory, ///< The memory budget of the process is exhausted.
    TooManyConnections,
    Idle, ///< An idle connection made room for a new one.
    AcceptFailed,
    Failed, ///< An exception ended the connection.
};

/// The name of @p reason in logs and metrics. Thread safe.
std::string_view toString(refusal_reason reason) noexcept;

/// Receives each refusal and closing of a server, with the address of the caller, on the server's executor.
using refusal_hook = std::function<void(refusal_reason reason, const std::string &remoteAddress)>;

/**
 * An HTTP/1.1 server, also for clients that speak HTTP/1.0, with bounded memory and time per connection.
 *
 * An unreadable request and a connection over the limit get a response before the connection is closed. A peer that closes its
 * sending half before it has received the response counts as disconnected, because a closed socket looks the same.
 *
 * Not thread safe: make, use and destroy it on the thread that runs the io_context.
 */
class http_server
{
public:
    /// Creates a server that listens on @p endpoint; port 0 selects a free port. On failure returns null and sets @p reason.
    static std::unique_ptr<http_server> make(boost::asio::io_context &context,
                                             const boost::asio::ip::tcp::endpoint &endpoint,
                                             const http_limits &limits,
                                             http_handler handler,
                                             http_bad_request_handler badRequest,
                                             last_reason *reason);
    /// Stops accepting connections. Requests in progress may still call the handlers afterwards.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// The address that the server listens on, with the actual port.
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// The number of open connections.
    std::size_t connectionCount() const noexcept;
    /// Lets connections hold memory of @p budget only, and reports refusals to @p onRefused; both may be empty. Precondition: the io_context has not
    /// run since make().
    void guard(std::shared_ptr<memory_budget> budget, refusal_hook onRefused);
    /// Stops accepting connections. Requests in progress continue, and their connections close afterwards. An idle connection stays open until
    /// its next request has been served or its idle timeout has passed.
    void stopAccepting();
    /// Replaces the limits. Requests in progress may still use some of the previous ones, and open connections keep their maximum number of
    /// requests and their send buffer.
    void setLimits(const http_limits &limits);
    /// Closes idle connections and announces with the next response on each other connection that it will be closed. New connections are still
    /// accepted.
    void drain();

private:
    class impl;
    explicit http_server(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::net
