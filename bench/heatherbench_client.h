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

/// A completion to ask for.
struct completion_order
{
    boost::asio::ip::tcp::endpoint entry;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::string team = "bench";
    std::string priority = "interactive";
    std::chrono::milliseconds deadline{60'000};
};

/// What became of one completion.
struct completion_result
{
    unsigned status = 0; ///< 0 when there was no answer.
    std::string text;
    std::uint32_t tokens = 0;
    bool complete = false; ///< Whether the end was announced and every token came in order.
    std::string code; ///< Of the error, if there was one.
    std::string verdict; ///< Of the error, if there was one.
    std::chrono::microseconds firstToken{};
    std::vector<std::chrono::microseconds> intervals; ///< Between two tokens that follow each other.
    std::chrono::microseconds total{};
};

/// Asks for a completion as a stream and reads it to its end.
boost::asio::awaitable<completion_result> complete(completion_order order);

/// Reads a direct decode of a stand-in: a prefill, then a decode from it, without an entry.
boost::asio::awaitable<completion_result>
completeDirectly(boost::asio::ip::tcp::endpoint prefill, boost::asio::ip::tcp::endpoint decode, std::string requestId, completion_order order);

/// Calls a plain service through an entry.
boost::asio::awaitable<net::http_result>
callService(boost::asio::ip::tcp::endpoint entry, std::string method, std::string target, std::string body, std::string idempotencyKey);

/// The value below which @p share of @p samples lie; 0 for none. Precondition: @p share is from 0 to 1.
std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double share);

/// Parses a list of `IP:port` separated by commas; empty when one is malformed.
std::optional<std::vector<boost::asio::ip::tcp::endpoint>> parseEndpoints(const std::string &list);

} // namespace heatherroute::bench
