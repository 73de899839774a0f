#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherroute/core_event.h"
#include "heatherroute/log_line.h"

namespace heatherroute
{

/**
 * What the decision core wants done.
 *
 * The embedding program carries actions out in the order given and reports results as events. Plain values, safe to copy
 * and move between threads.
 */

/// Compute a prompt's KV cache on a prefill engine.
struct start_prefill
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest; ///< The id that the engine knows the request by.
    std::string model;
    std::string prompt;
    std::string generated; ///< Text already delivered when a generation moves.
    std::uint32_t maxTokens = 0;
    priority_class priority = priority_class::Interactive;
    duration deadline{}; ///< Relative.
};

/// Generate tokens on a decode engine from a KV cache on a prefill engine.
struct start_decode
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest;
    std::string model;
    std::string prompt;
    std::string kvSource;
    std::string kvId;
    std::uint32_t offset = 0;
    std::uint32_t maxTokens = 0;
    priority_class priority = priority_class::Interactive;
    duration deadline{}; ///< Relative.
};

/// Go on reading a generation that still runs, over a new connection.
struct resume_decode
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest;
    std::uint32_t offset = 0;
};

/// Call a plain service.
struct start_service_call
{
    attempt_id attempt;
    std::string address;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    duration deadline{}; ///< Relative.
};

/// Close the connection of an attempt whose result is no longer wanted.
struct abandon_attempt
{
    attempt_id attempt;
};

/// Free what an engine holds for a request. Answered by cancel_finished.
struct cancel_request
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest;
};

/// Hand tokens to a caller, in order.
struct deliver_tokens
{
    caller_id caller;
    std::uint32_t offset = 0;
    std::vector<std::string> texts;
};

/// End a generation's answer.
struct finish_generation
{
    caller_id caller;
    std::string reason;
    std::uint32_t tokens = 0;
};

/// Answer a call to a plain service.
struct finish_service_call
{
    caller_id caller;
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/// Answer a caller or an operator with a JSON document.
struct answer_document
{
    caller_id caller;
    unsigned status = 200;
    std::string body;
};

/// Tell a caller that its request failed.
struct fail_caller
{
    caller_id caller;
    unsigned status = 503; ///< HTTP status when nothing was sent yet.
    std::string code;
    std::string message;
    verdict outcome = verdict::NotRun;
    std::optional<duration> retryAfter;
};

/// End the process.
struct stop_process
{
    int exitCode = 0;
};

/// Read the configuration stream of the platform's log, waiting a while for a record. Answered by exactly one of log_read,
/// log_forgotten and log_unavailable.
struct read_log
{
    log_offset from = 0;
};

/// Append one record to the configuration stream. Not answered: a record that matters shows when it is read.
struct append_log
{
    std::string record;
};

/// Send a message to a peer. Not answered: whoever needs an answer asks again.
struct send_to_peer
{
    std::string address;
    peer_body body;
    bool isFrame = false; ///< Over TCP rather than in a datagram.
};

/// Ask an engine for its load. Answered by exactly one load_reported.
struct poll_load
{
    std::string upstreamName;
    std::string address;
};

using core_action = std::variant<start_prefill,
                                 start_decode,
                                 resume_decode,
                                 start_service_call,
                                 abandon_attempt,
                                 cancel_request,
                                 deliver_tokens,
                                 finish_generation,
                                 finish_service_call,
                                 answer_document,
                                 fail_caller,
                                 log_line,
                                 poll_load,
                                 read_log,
                                 append_log,
                                 stop_process,
                                 send_to_peer>;

} // namespace heatherroute
