#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherroute/config_replica.h"
#include "heatherroute/inventory.h"
#include "heatherroute/peer_message.h"
#include "heatherroute/time.h"
#include "heatherroute/verdict.h"

namespace heatherroute
{

/**
 * Inputs of the decision core.
 *
 * Events are plain values. The program that embeds the core (the daemon's threads, a benchmark or a test) creates them from
 * sockets, timers or a script. They are safe to copy and to move between threads.
 */

/// Identifies a request of a caller; unique within one process.
struct caller_id
{
    std::uint64_t value = 0;
    auto operator<=>(const caller_id &) const = default;
};

/// Identifies one attempt of an operation on one upstream; unique within one process. Each retry gets a new id, so that late
/// answers to an earlier attempt can be recognised.
struct attempt_id
{
    std::uint64_t value = 0;
    auto operator<=>(const attempt_id &) const = default;
};

/// The properties of a request that its headers carry; the same for all kinds of requests.
struct request_traits
{
    std::string requestName; ///< The request id, echoed to the caller and written to logs.
    std::string team;
    std::optional<priority_class> priority;
    std::optional<duration> deadline; ///< Relative to the arrival of the request.
    std::string idempotencyKey;
    std::string ticket;
    bool operator==(const request_traits &) const = default;
};

/// A caller has requested a generation.
struct generation_requested
{
    caller_id caller;
    request_traits traits;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
};

/// A caller has called a plain service.
struct service_requested
{
    caller_id caller;
    request_traits traits;
    std::string service;
    std::string method;
    std::string path; ///< Below the service's route, with its query; starts with `/`.
    std::string contentType;
    std::string body;
};

/// A caller has requested the list of entries to use.
struct entries_requested
{
    caller_id caller;
    std::string zone; ///< The caller's availability zone; empty when the caller names none.
    std::string callerHost; ///< The caller's IP address, which distinguishes callers.
};

/// A caller has closed its connection, stopped reading, or stopped responding.
struct caller_gone
{
    caller_id caller;
};

/// A prefill engine has computed a KV cache.
struct prefill_finished
{
    attempt_id attempt;
    std::string kvId;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    duration lifetime{}; ///< The time for which the engine keeps the KV cache.
};

/// Tokens of a generation have arrived, in order, the first with index @c offset.
struct tokens_received
{
    attempt_id attempt;
    std::uint32_t offset = 0;
    std::vector<std::string> texts;
};

/// A decode engine has completed a generation.
struct decode_finished
{
    attempt_id attempt;
    std::string reason; ///< "stop" or "length".
    std::uint32_t tokens = 0; ///< Number of tokens of the whole generation.
};

/// A plain service has answered.
struct service_answered
{
    attempt_id attempt;
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/// The reason why an attempt failed.
enum class attempt_failure {
    Unreachable, ///< No connection could be established.
    ConnectionLost, ///< The connection ended early or no data arrived in time.
    Refused, ///< The upstream answered that it accepts no work.
    NoCapacity, ///< The upstream has no free slot or not enough memory.
    KvGone, ///< The KV cache to import no longer exists.
    TransferStalled, ///< The KV cache could not be transferred.
    UnknownRequest, ///< The upstream does not know the request to resume.
    Rejected, ///< The upstream rejected the request as invalid.
};

/// An attempt has ended without a result.
struct attempt_failed
{
    attempt_id attempt;
    attempt_failure failure = attempt_failure::ConnectionLost;
    verdict outcome = verdict::MayHaveRun;
    std::string reason;
};

/// The outcome of a cancel order; @c done is false when the order has to be retried.
struct cancel_finished
{
    attempt_id attempt;
    bool done = false;
};

/// The source of a stop request.
enum class stop_origin {
    Operator, ///< A request on the operators' port. Several operators may request the same stop.
    Signal, ///< A signal to the process.
};

/// A graceful shutdown has been requested. A second signal aborts the requests that are still in flight.
struct stop_requested
{
    stop_origin origin = stop_origin::Signal;
};

/// Time has passed. Sent every few milliseconds to drive the core's timers.
struct tick
{ };

/// An operator has requested the state dump.
struct dump_requested
{
    caller_id caller;
};

/// An operator has requested the owner of an upstream.
struct owner_requested
{
    caller_id caller;
    std::string upstreamName;
};

/// The log has answered a read.
struct log_read
{
    instant requestedAt; ///< The time at which the read request was sent.
    log_batch batch;
};

/// The log no longer holds the record that was to be read.
struct log_truncated
{
    log_offset oldest = 0; ///< The offset of the oldest record that the log still holds.
};

/// The log did not answer a read.
struct log_unavailable
{
    std::string reason;
};

/// A message from a peer has arrived.
struct peer_received
{
    std::string fromAddress; ///< The address of the sender for UDP, of the connection for TCP.
    member_id sender;
    peer_body body;
};

/// The platform has listed its VMs. The list lags, so it only suggests addresses of peers and does not prove that a peer exists or is gone.
struct vms_listed
{
    std::vector<std::string> addresses; ///< IP addresses, with or without a port.
};

/// A load report of an engine, which lags behind the actual load.
struct engine_load
{
    std::uint32_t running = 0; ///< Number of requests that hold a slot of a decode engine, or of prefills that run on a prefill engine.
    std::uint32_t queued = 0; ///< Number of prefills that wait.
    std::uint32_t usedPieces = 0;
    bool operator==(const engine_load &) const = default;
};

/// The result of poll_load; @c load is empty when the engine did not answer.
struct load_reported
{
    std::string upstreamName;
    std::optional<engine_load> load;
};

/// What a connection to an upstream's address shows about its process.
enum class process_state {
    Alive, ///< It accepts connections.
    Ended, ///< The host refuses connections to its port.
    Unknown, ///< No answer came.
};

/// The result of check_upstream.
struct upstream_checked
{
    std::string upstreamName;
    process_state state = process_state::Unknown;
};

using core_event = std::variant<tick,
                                generation_requested,
                                service_requested,
                                entries_requested,
                                caller_gone,
                                prefill_finished,
                                tokens_received,
                                decode_finished,
                                service_answered,
                                attempt_failed,
                                cancel_finished,
                                stop_requested,
                                dump_requested,
                                owner_requested,
                                log_read,
                                log_truncated,
                                log_unavailable,
                                peer_received,
                                vms_listed,
                                load_reported,
                                upstream_checked>;

} // namespace heatherroute
