#pragma once

#include <optional>
#include <string>
#include <variant>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "net/http_client.h"

namespace heatherroute::node
{

/// The JSON body of `POST /v1/prefill`.
std::string prefillBody(const start_prefill &action);
/// The JSON body of `POST /v1/decode`.
std::string decodeBody(const start_decode &action);
/// The JSON body of `POST /v1/resume`.
std::string resumeBody(const resume_decode &action);
/// The JSON body of `POST /v1/cancel`.
std::string cancelBody(const cancel_request &action);

/// Parses a prefill engine's answer; empty when it is malformed.
std::optional<prefill_finished> parsePrefill(attempt_id attempt, const std::string &body);

/// One event of a decode stream: a token, the end of the answer, or an error that ends the stream early.
struct decode_event
{
    std::uint32_t offset = 0;
    std::string text;
    bool done = false;
    std::string reason;
    std::uint32_t tokens = 0;
    std::string errorCode; ///< Set when the engine ended the request with an error.
    bool operator==(const decode_event &) const = default;
};

/// Parses one event of a decode stream; empty when it is malformed.
std::optional<decode_event> parseDecodeEvent(const std::string &data);

/// Parses an engine's answer to `GET /v1/load`; empty when it is malformed.
std::optional<engine_load> parseLoad(const std::string &body);

/// Converts a failed call or an error answer into the failure of @p attempt.
attempt_failed failureOf(attempt_id attempt, const net::http_result &result);

} // namespace heatherroute::node
