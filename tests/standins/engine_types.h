#pragma once

#include "heatherroute/time.h"

#include <cstdint>
#include <string>

namespace heatherroute::standins
{

/// How a stand-in engine behaves; fixed at its start, but for the fault switches.
struct engine_settings
{
    std::string role = "decode";
    std::string model = "model";
    std::string zone;
    std::size_t slots = 20;
    std::size_t pieces = 100;
    std::size_t pieceTokens = 2048;
    double tokenUs = 20000; ///< Time of one step with one running request.
    double batchSlowdown = 0.03; ///< Each further running request adds this share of tokenUs to a step.
    double prefillUsPerToken = 100;
    duration kvTtl = std::chrono::milliseconds(800);
    double linkMbps = 10000; ///< Megabits a second, shared by all transfers.
    double kvBytesPerToken = 100000;
    std::size_t cacheTokens = 65536;
    duration detach = std::chrono::milliseconds(1000);
};

/// Why an engine did not start a request.
enum class refusal {
    None,
    NoSlot,
    NoMemory,
    Duplicate,
};

/// Work for an engine, in either role.
struct engine_request
{
    std::string requestId;
    std::string model;
    std::string prompt;
    std::string generated; ///< Prefill: text already delivered elsewhere.
    std::size_t offset = 0; ///< Decode: the first token to generate.
    std::size_t maxTokens = 0; ///< Of the whole answer.
    std::int64_t priority = 0; ///< Higher runs first.
    duration deadline = duration::zero(); ///< Relative; zero for none.
};

/// How work ended.
enum class end_reason {
    Open, ///< It has not ended.
    Done,
    Fetched, ///< Prefill: the KV cache was pulled before it was dropped.
    Expired, ///< Prefill: nobody pulled the KV cache in time.
    Cancelled,
    Detached,
    Deadline,
    Refused, ///< Decode: accepted, but the KV cache did not arrive.
};

/// The name used in records.
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

/// One prefill as audits see it.
struct prefill_record
{
    std::string requestId;
    instant arrived;
    instant start; ///< Of the computation; the epoch when it never started.
    instant end; ///< When the KV cache was dropped or the work abandoned.
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t computedTokens = 0;
    bool fetched = false;
    end_reason reason = end_reason::Open;
};

/// One decode as audits see it.
struct decode_record
{
    std::string requestId;
    std::size_t offset = 0;
    std::size_t pieces = 0;
    instant accepted;
    instant start; ///< When the KV cache had arrived; the epoch when it never did.
    instant end; ///< When its memory was freed.
    std::size_t tokens = 0; ///< Generated here.
    end_reason reason = end_reason::Open;
};

/// The number of memory pieces that @p tokens need.
constexpr std::size_t piecesFor(std::size_t tokens, std::size_t pieceTokens) noexcept
{
    return (tokens + pieceTokens - 1) / pieceTokens;
}

} // namespace heatherroute::standins
