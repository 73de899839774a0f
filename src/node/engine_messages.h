#pragma once

#include <optional>
#include <string>
#include <variant>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "net/http_client.h"

namespace heatherroute::node
{

/// The body of a call to a prefill engine.
std::string prefillBody(const start_prefill &action);
/// The body of a call to a decode engine.
std::string decodeBody(const start_decode &action);
/// The body of a resume.
std::string resumeBody(const resume_decode &action);
/// The body of a cancel.
std::string cancelBody(const cancel_request &action);

/// Reads a prefill engine's answer; empty when it is malformed.
std::optional<prefill_finished> parsePrefill(attempt_id attempt, const std::string &body);

/// One event of a decode stream: a token, the end, or why it ends early.
struct decode_event
{
    std::uint32_t offset = 0;
    std::string text;
    bool done = false;
    std::string reason;
    std::uint32_t tokens = 0;
    std::string errorCode; ///< Set when the engine ends the request itself.
    bool operator==(const decode_event &) const = default;
};

/// Reads one event of a decode stream; empty when it is malformed.
std::optional<decode_event> parseDecodeEvent(const std::string &data);

/// Reads an engine's answer to `GET /v1/load`; empty when it is malformed.
std::optional<engine_load> parseLoad(const std::string &body);

/// What a call's failure, or an answer that refuses, means for an attempt.
attempt_failed failureOf(attempt_id attempt, const net::http_result &result);

} // namespace heatherroute::node
