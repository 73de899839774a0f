#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace heatherroute::bench
{

using bench_clock = std::chrono::steady_clock;

/// A completion request to an entry.
struct completion_request
{
    boost::asio::ip::tcp::endpoint entry;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::string team = "bench";
    std::string priority = "interactive";
    std::chrono::milliseconds deadline{60'000};
};

/// The outcome of one completion.
struct completion_result
{
    unsigned status = 0; ///< HTTP status; 0 when there was no response.
    std::string text;
    std::uint32_t tokens = 0;
    bool complete = false; ///< Whether the end event arrived and every token arrived in order.
    std::string code; ///< Error code, or the reason of the failure when there was no response; empty without an error.
    std::string verdict; ///< Verdict of the error; empty without an error.
    std::chrono::microseconds firstToken{}; ///< Time to first token.
    std::vector<std::chrono::microseconds> intervals; ///< Times between successive tokens.
    std::chrono::microseconds total{}; ///< Time to the end of the response.
};

/// Requests a completion as a stream from `request.entry` and reads the stream to its end.
boost::asio::awaitable<completion_result> complete(completion_request request);

/// Sends a prefill and then a decode directly to the engines, without an entry, and reads the stream to its end. The
/// time to the first token and the total time count from the start of the prefill.
boost::asio::awaitable<completion_result>
completeDirectly(boost::asio::ip::tcp::endpoint prefill, boost::asio::ip::tcp::endpoint decode, std::string requestId, completion_request request);

/// Calls a plain service through an entry. An empty @p idempotencyKey sends none.
boost::asio::awaitable<net::http_result>
callService(boost::asio::ip::tcp::endpoint entry, std::string method, std::string target, std::string body, std::string idempotencyKey);

/// Returns the value below which a @p fraction of @p samples lies; 0 without samples. Precondition: @p fraction is from 0 to 1.
std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double fraction);

/// Parses a comma-separated list of `IP:port`; returns nullopt when an item is malformed.
std::optional<std::vector<boost::asio::ip::tcp::endpoint>> parseEndpoints(const std::string &list);

} // namespace heatherroute::bench
