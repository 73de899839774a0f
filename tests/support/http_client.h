#pragma once

#include "heatherroute/last_reason.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace heatherroute::support
{

namespace detail
{
struct client_connection;
}

/// Header fields of a request or an answer. The names of an answer's fields are in lower case.
using http_fields = std::map<std::string, std::string>;

/// The answer to a call, or the error if no complete answer came.
struct http_reply
{
    unsigned status = 0; ///< Zero if no complete answer came.
    http_fields fields;
    std::string body;
    boost::json::value json; ///< Null if the body is not JSON.
    std::string error; ///< Why no complete answer came.
};

/// Options of a call.
struct http_options
{
    http_fields fields;
    std::chrono::milliseconds timeout = std::chrono::seconds(10); ///< Timeout of each step: connecting, sending, and each read. callHttp() also requires that
                                                                  ///< the body is complete this long after the start of the call.
};

/**
 * Sends a @p method request for @p target to @p address (`IP:port`) over a new connection and waits for the complete answer.
 *
 * Used by tests and benchmarks; independent of the HTTP client code under test. Thread safe.
 */
http_reply
callHttp(const std::string &address, const std::string &method, const std::string &target, const std::string &body = {}, const http_options &options = {});

/// Sends a GET request for @p target. Thread safe.
http_reply getJson(const std::string &address, const std::string &target, const http_options &options = {});

/// Sends @p body in a POST request to @p target. Thread safe.
http_reply postJson(const std::string &address, const std::string &target, const boost::json::value &body, const http_options &options = {});

/// One server-sent event.
struct sse_event
{
    std::string name; ///< Empty for plain `data:` events.
    std::string data;
};

/**
 * An answer that is read event by event.
 *
 * The destructor closes the connection, like a caller that disconnects. Not thread safe; calls block.
 */
class event_stream
{
public:
    /// Sends @p body in a POST request and reads the header of the answer. Null with @p reason if no header came.
    static std::unique_ptr<event_stream>
    make(const std::string &address, const std::string &target, const boost::json::value &body, const http_options &options, last_reason *reason);
    ~event_stream();
    event_stream(const event_stream &) = delete;
    event_stream &operator=(const event_stream &) = delete;

    /// The status of the answer.
    unsigned status() const;
    /// The header fields of the answer.
    http_fields fields() const;
    /// The next event; empty at the end of the answer, on failure and on timeout. error() tells these cases apart.
    std::optional<sse_event> next();
    /// Why next() or readRest() failed; empty at a regular end of the answer.
    const std::string &error() const;
    /// The rest of an answer that is not an event stream, such as the JSON of an error.
    std::string readRest();

private:
    explicit event_stream(std::unique_ptr<detail::client_connection> connection);

    std::unique_ptr<detail::client_connection> m_connection;
};

} // namespace heatherroute::support
