#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "heatherroute/core_action.h"
#include "heatherroute/last_reason.h"
#include "net/http_server.h"

namespace heatherroute::node
{

/// A parsed completion request of a caller.
struct completion_request
{
    generation_requested generation; ///< The caller id is not set.
    bool stream = false;
};

/// Parses the JSON body and the headers of a completion request; on failure returns empty and sets @p reason.
std::optional<completion_request> parseCompletion(const net::http_request &request, last_reason *reason);

/// Parses the headers that are common to all requests; on failure returns empty and sets @p reason.
std::optional<request_traits> parseTraits(const net::http_request &request, last_reason *reason);

/// The server-sent event of one token.
std::string tokenEvent(std::string_view requestName, std::uint32_t offset, std::string_view text);
/// The server-sent events that end a complete stream: the finish reason and `[DONE]`.
std::string finishEvents(std::string_view requestName, const finish_generation &end);
/// The JSON body of a completion that is not streamed.
std::string completionBody(std::string_view requestName, std::string_view text, const finish_generation &end);
/// The JSON body of an error.
std::string errorBody(const fail_caller &failure);
/// The HTTP answer to a request that failed before anything was sent.
net::http_answer errorAnswer(const fail_caller &failure);
/// The server-sent event that ends a stream with an error.
std::string errorEvent(const fail_caller &failure);
/// The HTTP answer to a request that could not be read; @p status is the HTTP status and @p reason the message.
net::http_answer unreadableAnswer(unsigned status, std::string_view reason);

} // namespace heatherroute::node
