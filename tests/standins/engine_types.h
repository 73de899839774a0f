#pragma once

#include "heatherroute/time.h"

#include <cstdint>
#include <string>

namespace heatherroute::standins
{

/// The configuration of a stand-in engine. Fixed at the start, except for the fault switches and the values that orders change.
struct engine_settings
{
    std::string role = "decode";
    std::string model = "model";
    std::string zone;
    std::size_t slots = 20; ///< Max requests that decode at the same time.
    std::size_t pieces = 100; ///< Number of memory pieces.
    std::size_t pieceTokens = 2048; ///< Tokens per memory piece.
    double tokenUs = 20000; ///< Duration of one decode step with one running request, in microseconds.
    double batchSlowdown = 0.03; ///< Fraction of tokenUs that each further running request adds to a step.
    double prefillUsPerToken = 100;
    duration kvTtl = std::chrono::milliseconds(800); ///< Lifetime of a KV cache after its prefill; a running transfer extends it.
    double linkMbps = 10000; ///< Megabits per second, shared by all transfers.
    double kvBytesPerToken = 100000;
    std::size_t cacheTokens = 65536; ///< Size of the prefix cache.
    duration detachTimeout = std::chrono::milliseconds(1000); ///< How long a request continues or can be read without a stream.
};

/// Why an engine rejected a request.
enum class refusal {
    None,
    NoSlot,
    NoMemory,
    Duplicate,
};

/// A request to an engine, in the prefill or the decode role.
struct engine_request
{
    std::string requestId;
    std::string model;
    std::string prompt;
    std::string generated; ///< Prefill: the text that another engine has already generated for this request.
    std::size_t offset = 0; ///< Decode: index of the first token to generate.
    std::size_t maxTokens = 0; ///< Limit for the whole answer, including tokens generated elsewhere.
    std::int64_t priority = 0; ///< Prefill: queued requests with a higher value start first.
    duration deadline = duration::zero(); ///< Relative to the arrival; zero for no deadline.
};

/// How a prefill or decode ended.
enum class end_reason {
    Open, ///< It has not ended yet.
    Done,
    Fetched, ///< Prefill: a decode engine fetched the KV cache before it was dropped.
    Expired, ///< Prefill: no decode engine fetched the KV cache before it expired.
    Cancelled,
    Detached, ///< Decode: no stream was attached for the detach timeout.
    Deadline, ///< The deadline passed before the prefill was computed or the decode finished.
    Refused, ///< Decode: the request was accepted, but its KV cache did not arrive.
};

/// The name of @p reason in records and error codes.
constexpr const char *toString(end_reason reason) noexcept
{
    switch (reason) {
    case end_reason::Open:
        return "open";
    case end_reason::Done:
        return "done";
    case end_reason::Fetched:
        return "fetched";
    case end_reason::Expired:
        return "expired";
    case end_reason::Cancelled:
        return "cancelled";
    case end_reason::Detached:
        return "detached";
    case end_reason::Deadline:
        return "deadline";
    case end_reason::Refused:
        return "refused";
    }
    return "open";
}

/// The record of one prefill, which audits read.
struct prefill_record
{
    std::string requestId;
    instant arrived;
    instant start; ///< When the computation started; the epoch if it never did.
    instant end; ///< When the KV cache was dropped or the prefill was abandoned.
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t computedTokens = 0;
    bool fetched = false;
    end_reason reason = end_reason::Open;
};

/// The record of one decode, which audits read.
struct decode_record
{
    std::string requestId;
    std::size_t offset = 0;
    std::size_t pieces = 0;
    instant accepted;
    instant start; ///< When the KV cache had arrived; the epoch if it never did.
    instant end; ///< When the memory of the request was freed.
    std::size_t tokens = 0; ///< Number of tokens that this engine generated.
    end_reason reason = end_reason::Open;
};

/// The number of memory pieces that @p tokens tokens need.
constexpr std::size_t piecesFor(std::size_t tokens, std::size_t pieceTokens) noexcept
{
    return (tokens + pieceTokens - 1) / pieceTokens;
}

} // namespace heatherroute::standins
