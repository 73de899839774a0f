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
 * Actions requested by the decision core.
 *
 * The embedding program executes the actions in the given order and reports results as events. Actions are plain values that
 * are safe to copy and to move between threads.
 */

/// Computes the KV cache of a prompt on a prefill engine.
struct start_prefill
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest; ///< The id by which the engine identifies the request.
    std::string model;
    std::string prompt;
    std::string generated; ///< Text already delivered to the caller when a generation moves to another engine.
    std::uint32_t maxTokens = 0;
    priority_class priority = priority_class::Interactive;
    duration deadline{}; ///< Relative to now.
};

/// Generates tokens on a decode engine from a KV cache on a prefill engine.
struct start_decode
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest;
    std::string model;
    std::string prompt;
    std::string kvSource; ///< The address of the prefill engine that holds the KV cache.
    std::string kvId; ///< The id of the KV cache on that engine.
    std::uint32_t offset = 0; ///< The index of the first token to send.
    std::uint32_t maxTokens = 0;
    priority_class priority = priority_class::Interactive;
    duration deadline{}; ///< Relative to now.
};

/// Resumes reading a running generation over a new connection.
struct resume_decode
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest;
    std::uint32_t offset = 0; ///< The index of the first token to send.
};

/// Calls a plain service.
struct start_service_call
{
    attempt_id attempt;
    std::string address;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    duration deadline{}; ///< Relative to now.
};

/// Closes the connection of an attempt whose result is no longer needed.
struct abandon_attempt
{
    attempt_id attempt;
};

/// Frees the resources that an engine holds for a request. The result is reported as cancel_finished.
struct cancel_request
{
    attempt_id attempt;
    std::string address;
    std::string engineRequest;
};

/// Delivers tokens to a caller, in order.
struct deliver_tokens
{
    caller_id caller;
    std::uint32_t offset = 0;
    std::vector<std::string> texts;
};

/// Ends the answer to a generation request.
struct finish_generation
{
    caller_id caller;
    std::string reason;
    std::uint32_t tokens = 0;
};

/// Answers a call to a plain service.
struct finish_service_call
{
    caller_id caller;
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/// Answers a caller or an operator with a JSON document.
struct answer_document
{
    caller_id caller;
    unsigned status = 200;
    std::string body;
};

/// Reports to a caller that its request failed.
struct fail_caller
{
    caller_id caller;
    unsigned status = 503; ///< HTTP status, used when nothing has been sent to the caller yet.
    std::string code;
    std::string message;
    verdict outcome = verdict::NotRun;
    std::optional<duration> retryAfter;
};

/// Ends the process.
struct stop_process
{
    int exitCode = 0;
};

/// Reads the configuration stream of the platform's log with a long poll. The result is reported as exactly one of log_read,
/// log_truncated and log_unavailable.
struct read_log
{
    log_offset from = 0;
};

/// Appends one record to the configuration stream. No result is reported: the record is seen when the stream is read.
struct append_log
{
    std::string record;
};

/// Sends a message to a peer. No result is reported: a sender that needs an answer retries.
struct send_to_peer
{
    std::string address;
    peer_body body;
    bool overTcp = false; ///< Whether the message is sent as a frame over TCP instead of in a UDP datagram.
};

/// Queries the load of an engine. The result is reported as exactly one load_reported.
struct poll_load
{
    std::string upstreamName;
    std::string address;
};

/// Finds out whether the process of an upstream is alive. The result is reported as exactly one upstream_checked.
struct check_upstream
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
                                 send_to_peer,
                                 check_upstream>;

} // namespace heatherroute
