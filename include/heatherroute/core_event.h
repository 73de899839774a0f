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
 * What the decision core is told.
 *
 * Events are plain values; whoever embeds the core (the daemon's threads, a bench, a test) makes them from sockets, timers
 * or a script. Safe to copy and move between threads.
 */

/// A request of a caller, unique within one process.
struct caller_id
{
    std::uint64_t value = 0;
    auto operator<=>(const caller_id &) const = default;
};

/// One try of something on one upstream, unique within one process. A new try gets a new id, so late answers are told apart.
struct attempt_id
{
    std::uint64_t value = 0;
    auto operator<=>(const attempt_id &) const = default;
};

/// What the headers of a caller's request say about it, of whatever kind it is.
struct request_traits
{
    std::string requestName; ///< Echoed to the caller and written to logs.
    std::string team;
    std::optional<priority_class> priority;
    std::optional<duration> deadline; ///< Relative to its arrival.
    std::string idempotencyKey;
    std::string ticket;
    bool operator==(const request_traits &) const = default;
};

/// A caller asks for a generation.
struct generation_requested
{
    caller_id caller;
    request_traits traits;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
};

/// A caller calls a plain service.
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

/// A caller asks which entries to use.
struct entries_requested
{
    caller_id caller;
    std::string zone; ///< The caller's availability zone when it names one.
    std::string callerHost; ///< The caller's IP number, which tells callers apart.
};

/// A caller has closed, stopped reading, or gone silent.
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
    duration lifetime{}; ///< How long the engine keeps the KV cache.
};

/// Tokens of a generation, in order, the first at @c offset.
struct tokens_received
{
    attempt_id attempt;
    std::uint32_t offset = 0;
    std::vector<std::string> texts;
};

/// A decode engine says that a generation is complete.
struct decode_finished
{
    attempt_id attempt;
    std::string reason; ///< "stop" or "length".
    std::uint32_t tokens = 0; ///< Of the whole generation.
};

/// A plain service has answered.
struct service_answered
{
    attempt_id attempt;
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/// Why an attempt failed.
enum class attempt_failure {
    Unreachable, ///< No connection.
    ConnectionLost, ///< The connection ended early or went silent.
    Refused, ///< The upstream answered that it takes no work.
    NoCapacity, ///< No slot or no memory.
    KvGone, ///< The KV cache to import has been dropped.
    TransferStalled, ///< The KV cache could not be moved.
    UnknownRequest, ///< Nothing to resume.
    Rejected, ///< The upstream finds the request itself invalid.
};

/// An attempt has ended without its result.
struct attempt_failed
{
    attempt_id attempt;
    attempt_failure failure = attempt_failure::ConnectionLost;
    verdict outcome = verdict::MayHaveRun;
    std::string reason;
};

/// The outcome of a cancel order; @c done is false when it has to be sent again.
struct cancel_finished
{
    attempt_id attempt;
    bool done = false;
};

/// Who asks for a stop.
enum class stop_origin {
    Operator, ///< Through the operators' port; several operators may ask for the same stop.
    Signal, ///< A signal to the process.
};

/// A graceful shutdown is asked for; a second signal cuts what still runs.
struct stop_requested
{
    stop_origin origin = stop_origin::Signal;
};

/// Time has passed. Sent every few milliseconds; carries the core's timers.
struct tick
{ };

/// An operator asks for the state dump.
struct dump_requested
{
    caller_id caller;
};

/// An operator asks which entry owns an upstream.
struct owner_requested
{
    caller_id caller;
    std::string upstreamName;
};

/// The log has answered a read.
struct log_read
{
    instant askedAt; ///< When the question was sent.
    log_batch batch;
};

/// The log no longer holds the record that a read asked for.
struct log_forgotten
{
    log_offset oldest = 0;
};

/// The log did not answer a read.
struct log_unavailable
{
    std::string reason;
};

/// A peer's message has come.
struct peer_received
{
    std::string fromAddress; ///< Of the sender over UDP, of the connection over TCP.
    member_id sender;
    peer_body body;
};

/// The platform has listed its VMs. The list lags: it says where peers may be, never that one is or isn't.
struct vms_listed
{
    std::vector<std::string> addresses; ///< IP numbers, with or without a port.
};

/// What an engine told of its load; late.
struct engine_load
{
    std::uint32_t running = 0; ///< Requests that hold a decode slot, or prefills that run.
    std::uint32_t queued = 0; ///< Prefills that wait.
    std::uint32_t usedPieces = 0;
    bool operator==(const engine_load &) const = default;
};

/// The outcome of poll_load; without a load when the engine gave no answer.
struct load_reported
{
    std::string upstreamName;
    std::optional<engine_load> load;
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
                                log_forgotten,
                                log_unavailable,
                                peer_received,
                                vms_listed,
                                load_reported>;

} // namespace heatherroute
