#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
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
#include "net/memory_budget.h"

namespace heatherroute::net
{

/// A request to another system, such as an upstream or a platform service.
struct http_call
{
    boost::asio::ip::tcp::endpoint endpoint;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string contentType = "application/json"; ///< Not sent when empty or when there is no body.
    std::vector<http_field> fields; ///< Sent in this order; a `Host` field replaces the endpoint's address.
    /// Timeout for establishing the connection; progressTimeout applies when this is zero.
    std::chrono::milliseconds connectTimeout{0};
    /// Maximum time without progress: to connect, until the response header and between pieces of the body. Writing the request does not extend it.
    std::chrono::milliseconds progressTimeout{5'000};
    /// Timeout of the whole call, however much progress it makes; none when zero.
    std::chrono::milliseconds totalTimeout{0};
    /// Budget for the collected body; none when null. Held until the response is destroyed. A growing body counts twice while it moves.
    std::shared_ptr<memory_budget> memory;
    unsigned memoryPolls = 25; ///< How often, 20 ms apart, a body that doesn't fit waits for others to return memory.
    std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024; ///< Maximum size of the response body, even when a hook receives it.
    std::function<void()> onConnected; ///< Called when the connection has been established; may be empty.
    std::function<void()> onAnswered; ///< Called when the response header has arrived, also that of an interim response; may be empty.
    std::function<bool()> maySend; ///< Called right before the request is written; if it returns false, the call fails and has not run. May be empty.
};

/// The reason why a call failed, and whether the request may have been executed.
struct http_failure
{
    verdict outcome = verdict::NotRun;
    std::string reason;
    bool operator==(const http_failure &) const = default;
};

/// The result of a call: a response, or a failure when there is no response.
struct http_result
{
    std::optional<http_answer> answer;
    http_failure failure;
    bool timedOut = false; ///< The call failed because of a timeout.
    bool refused = false; ///< No process listens at the endpoint.
    bool notConnected = false; ///< No connection could be established; false if the call was cancelled meanwhile.
    std::chrono::steady_clock::time_point startedAt{}; ///< When the call began; not set if there is an answer.
    bool operator==(const http_result &) const = default;
};

/**
 * One request and its response on a dedicated connection.
 *
 * Connections are never reused. A request therefore cannot be sent on a connection that is already dead, and the verdict
 * "not run" is exact: it holds as long as no byte of the request has been written. cancel() may be called at any time on the
 * same executor. Not thread safe.
 */
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// Receives the bytes of a response body as they arrive. The next bytes are read only after it has returned, which limits the peer's rate.
    /// The time that it takes counts towards `progressTimeout`.
    using body_hook = std::function<boost::asio::awaitable<void>(std::string_view)>;
    /// Receives the head of a response before its body. Returns true to pass the body to the body hook, false to collect it in the result.
    /// The time that it takes counts towards `progressTimeout`.
    using head_hook = std::function<boost::asio::awaitable<bool>(const http_answer &head)>;

    /// Creates an exchange for @p call on @p executor; nothing is sent before run().
    static std::shared_ptr<http_exchange> make(const boost::asio::any_io_executor &executor, http_call call);
    virtual ~http_exchange() = default;

    /// Performs the call. When @p onBody is set, it receives the body of a 2xx response in pieces, and the body in the result is empty.
    /// Precondition: called once.
    virtual boost::asio::awaitable<http_result> run(body_hook onBody) = 0;
    /// As above, but @p onHead decides whether @p onBody receives the body. Precondition: both hooks are set; called once.
    virtual boost::asio::awaitable<http_result> run(head_hook onHead, body_hook onBody) = 0;
    /// Closes the connection; run() then returns a failure.
    virtual void cancel() = 0;
};

/// Performs @p call and returns its result. A signal of @p cancel, if it is connected, cancels the call. Precondition: the signal is emitted on
/// the executor of the caller and outlives the call.
boost::asio::awaitable<http_result> performCall(http_call call, boost::asio::cancellation_slot cancel = {});

/// Enables TCP keep-alive probes and limits the time of unacknowledged bytes on @p socket, so that a dead connection fails within seconds
/// although the peer may take longer than that to respond.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket) noexcept;

/// Parses "IP:port"; empty when @p text is not a numeric address with a port.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace heatherroute::net
