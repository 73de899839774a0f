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

/// Header fields of a request or an answer; those of an answer have lower-case names.
using http_fields = std::map<std::string, std::string>;

/// The answer to a call, or why there is none.
struct http_reply
{
    unsigned status = 0; ///< Zero when no whole answer came.
    http_fields fields;
    std::string body;
    boost::json::value json; ///< Null when the body is no JSON.
    std::string error; ///< Why no whole answer came.
};

/// How a call is made.
struct http_options
{
    http_fields fields;
    std::chrono::milliseconds limit = std::chrono::seconds(10); ///< Of the whole call, or of one step of a stream.
};

/**
 * Calls @p method on @p target at @p address (`IP:port`) over a new connection and waits for the whole answer.
 *
 * For tests and benches: independent of the client code that it helps to test. Thread safe.
 */
http_reply
callHttp(const std::string &address, const std::string &method, const std::string &target, const std::string &body = {}, const http_options &options = {});

/// GET @p target. Thread safe.
http_reply getJson(const std::string &address, const std::string &target, const http_options &options = {});

/// POST @p body to @p target. Thread safe.
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
 * The destructor closes the connection, as a caller that goes away does. Not thread safe; blocks.
 */
class event_stream
{
public:
    /// POSTs @p body and reads the head of the answer. Null when no head came.
    static std::unique_ptr<event_stream>
    make(const std::string &address, const std::string &target, const boost::json::value &body, const http_options &options, last_reason *reason);
    ~event_stream();
    event_stream(const event_stream &) = delete;
    event_stream &operator=(const event_stream &) = delete;

    /// The status of the answer.
    unsigned status() const;
    /// The header fields of the answer.
    http_fields fields() const;
    /// The next event; empty at the end of the answer, on failure and when the limit passes: error() tells these apart.
    std::optional<sse_event> next();
    /// Why next() was empty; empty itself at a regular end.
    const std::string &error() const;
    /// The rest of an answer that is no event stream, such as an error's JSON.
    std::string readRest();

private:
    explicit event_stream(std::unique_ptr<detail::client_connection> open);

    std::unique_ptr<detail::client_connection> m_connection;
};

} // namespace heatherroute::support
