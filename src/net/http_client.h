#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/verdict.h"
#include "net/http_server.h"

namespace heatherroute::net
{

/// A request to an outside system.
struct http_call
{
    boost::asio::ip::tcp::endpoint endpoint;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string contentType = "application/json"; ///< Not sent when empty or when there is no body.
    std::vector<http_field> fields; ///< Sent in this order; a `Host` field replaces the endpoint's address.
    /// The longest time to establish the connection; progressTimeout when it is zero.
    std::chrono::milliseconds connectTimeout{0};
    /// The longest time without any progress: connect, each write and each read.
    std::chrono::milliseconds progressTimeout{5'000};
    std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;
};

/// Why a call failed, and whether the request may have run.
struct http_failure
{
    verdict outcome = verdict::NotRun;
    std::string reason;
    bool operator==(const http_failure &) const = default;
};

/// The end of a call: an answer, or a failure.
struct http_result
{
    std::optional<http_answer> answer;
    http_failure failure;
    bool timedOut = false; ///< The call failed because a timeout passed.
    bool operator==(const http_result &) const = default;
};

/**
 * One request on a connection of its own.
 *
 * A connection is never reused, so that a request cannot end up on a connection that has gone silent, and "not run" can be
 * told exactly: it holds as long as no byte of the request was written. cancel() may be called at any time on the same
 * executor. Not thread safe.
 */
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// Takes the bytes of a successful answer as they arrive; the next are read when it has returned.
    using body_hook = std::function<boost::asio::awaitable<void>(std::string_view)>;
    /// Takes the head of an answer before its body; true lets the body go to the body hook, false collects it in the result.
    using head_hook = std::function<boost::asio::awaitable<bool>(const http_answer &head)>;

    /// Prepares @p call on @p executor; nothing is sent before run().
    static std::shared_ptr<http_exchange> make(const boost::asio::any_io_executor &executor, http_call call);
    virtual ~http_exchange() = default;

    /// Performs the call. With @p onBody a 2xx answer's body goes to it piecewise and stays empty in the result.
    /// Precondition: called once.
    virtual boost::asio::awaitable<http_result> run(body_hook onBody) = 0;
    /// As above, but @p onHead decides for each answer where its body goes. Precondition: both hooks are set; called once.
    virtual boost::asio::awaitable<http_result> run(head_hook onHead, body_hook onBody) = 0;
    /// Closes the connection; run() then ends with a failure.
    virtual void cancel() = 0;
};

/// Performs @p call and returns its end. For calls that are never cancelled.
boost::asio::awaitable<http_result> performCall(http_call call);

/// Has the kernel probe @p socket, so that a connection that went silent fails within seconds while the other end may take its time.
void detectSilence(boost::asio::ip::tcp::socket &socket) noexcept;

/// Parses "IP:port"; empty when @p text is not an address by number.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace heatherroute::net
