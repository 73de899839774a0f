#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "heatherroute/core_action.h"
#include "heatherroute/last_reason.h"
#include "net/http_server.h"

namespace heatherroute::node
{

/// A completion request as a caller sends it.
struct completion_request
{
    generation_requested generation; ///< Without its caller id.
    bool stream = false;
};

/// Reads the JSON body and headers of a completion request; on failure returns empty and sets @p reason.
std::optional<completion_request> parseCompletion(const net::http_request &request, last_reason *reason);

/// Reads the headers that all requests share; on failure returns empty and sets @p reason.
std::optional<request_traits> parseTraits(const net::http_request &request, last_reason *reason);

/// The event of one token.
std::string tokenEvent(std::string_view requestName, std::uint32_t offset, std::string_view text);
/// The events that end a stream.
std::string finishEvents(std::string_view requestName, const finish_generation &end);
/// The body of an answer that is not streamed.
std::string completionBody(std::string_view requestName, std::string_view text, const finish_generation &end);
/// The body of an error.
std::string errorBody(const fail_caller &failure);
/// The whole answer to a request that failed before anything was sent.
net::http_answer errorAnswer(const fail_caller &failure);
/// The event that ends a stream with an error.
std::string errorEvent(const fail_caller &failure);
/// The answer to a request that could not be read.
net::http_answer unreadableAnswer(unsigned status, std::string_view reason);

} // namespace heatherroute::node
