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

namespace heatherroute::net
{

/// One header field of a request or an answer.
struct http_field
{
    std::string name;
    std::string value;
    bool operator==(const http_field &) const = default;
};

/// Bounds on what one connection may cost. All sizes in bytes.
struct http_limits
{
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxConnections = 4096;
    std::size_t sendBufferBytes = std::size_t{256} * 1024; ///< Asked of the kernel, which else holds megabytes for a peer that doesn't read.
    std::size_t maxRequestsPerConnection = 1000; ///< The answer to the last one tells the peer that the connection ends.
    std::chrono::milliseconds headerTimeout{10'000};
    std::chrono::milliseconds bodyTimeout{30'000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds writeTimeout{10'000};
    bool operator==(const http_limits &) const = default;
};

/// A request whose head and body have arrived whole.
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<http_field> fields;
    std::string remoteAddress;

    /// The value of header @p name, compared without regard to case; empty when absent.
    std::string_view header(std::string_view name) const noexcept;
    /// The target without its query.
    std::string_view path() const noexcept;
    /// The value of query parameter @p name, not decoded; empty when absent.
    std::string_view query(std::string_view name) const noexcept;
};

/// A whole answer.
struct http_answer
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json"; ///< Not sent when empty.
    std::vector<http_field> fields; ///< Sent in this order; names may repeat.
    /// The value of header @p name, compared without regard to case; empty when absent.
    std::string_view header(std::string_view name) const noexcept;
    bool operator==(const http_answer &) const = default;
};

/**
 * Writes the answer to one request.
 *
 * Lives as long as its exchange. Not thread safe: used only on the server's executor. After a call returned false the peer
 * is gone and further calls do nothing.
 */
class http_responder
{
public:
    virtual ~http_responder() = default;
    /// Sends a whole answer. Precondition: nothing was sent before.
    virtual boost::asio::awaitable<bool> send(http_answer answer) = 0;
    /// Sends the head of a chunked answer. Precondition: nothing was sent before.
    virtual boost::asio::awaitable<bool> beginStream(http_answer head) = 0;
    /// Sends one chunk. Precondition: beginStream() returned true.
    virtual boost::asio::awaitable<bool> write(std::string data) = 0;
    /// Ends a chunked answer.
    virtual boost::asio::awaitable<bool> endStream() = 0;
    /// Sets @p hook to be called once when the peer closes before the answer is complete.
    virtual void onClosed(std::function<void()> hook) = 0;
    /// Gives the peer up: a write that waits for it fails at once and its connection is closed.
    virtual void abort() = 0;
    /// Whether the peer is known to be gone.
    virtual bool isClosed() const noexcept = 0;
};

/// Answers one request. Runs on the server's executor; must send exactly one answer before it returns.
using http_handler = std::function<boost::asio::awaitable<void>(http_request, http_responder &)>;

/// Makes the answer to a request that could not be read; @p status is the HTTP status to use.
using http_bad_request_handler = std::function<http_answer(unsigned status, std::string_view reason)>;

/**
 * An HTTP/1.1 server with bounded memory and time per connection.
 *
 * A request that can't be read and a connection over the limit get an answer before the connection ends. A peer that closes its
 * sending half while its answer is made counts as gone, because a closed socket looks the same.
 *
 * Not thread safe: make, use and destroy it on the thread that runs the io_context.
 */
class http_server
{
public:
    /// Listens on @p endpoint (port 0 takes a free one). On failure returns null and sets @p reason.
    static std::unique_ptr<http_server> make(boost::asio::io_context &context,
                                             const boost::asio::ip::tcp::endpoint &endpoint,
                                             const http_limits &limits,
                                             http_handler handler,
                                             http_bad_request_handler badRequest,
                                             last_reason *reason);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// The address listened on, with the port that was taken.
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// The number of open connections.
    std::size_t connectionCount() const noexcept;
    /// Stops accepting; open exchanges go on.
    void stopAccepting();
    /// Replaces the limits on sizes and times; exchanges that have begun keep the earlier ones in part.
    void setLimits(const http_limits &limits);
    /// Ends idle connections and tells the peers of all others to close them. New connections are still accepted.
    void drain();

private:
    class impl;
    explicit http_server(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::net
