#include "node/engine_messages.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace heatherroute::node
{

namespace json = boost::json;

namespace
{

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

std::int64_t positiveMilliseconds(duration value)
{
    return std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::optional<std::uint32_t> readCount(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    const std::int64_t *value = member == nullptr ? nullptr : member->if_int64();
    if (value == nullptr || *value < 0 || *value > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*value);
}

std::optional<std::string> readText(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    const json::string *value = member == nullptr ? nullptr : member->if_string();
    if (value == nullptr) {
        return std::nullopt;
    }
    return std::string(value->begin(), value->end());
}

std::optional<json::object> parseObject(const std::string &body)
{
    json::error_code error;
    json::value document = json::parse(body, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    return std::move(document.get_object());
}

/// The code of a JSON error; empty when @p body is not a JSON error.
std::string errorCode(const std::string &body)
{
    const auto object = parseObject(body);
    const json::value *error = object ? object->if_contains("error") : nullptr;
    if (error == nullptr || !error->is_object()) {
        return {};
    }
    return readText(error->get_object(), "code").value_or(std::string());
}

/// Classifies a conflict (409). Only the codes that the protocol defines as refusals guarantee that nothing was started.
std::pair<attempt_failure, verdict> classifyConflict(const std::string &code)
{
    if (code == "no_slot" || code == "no_memory") {
        return {attempt_failure::NoCapacity, verdict::NotRun};
    }
    if (code == "wrong_model" || code == "wrong_role") {
        return {attempt_failure::Refused, verdict::NotRun};
    }
    // `cancelled`, `detached` and `duplicate` mean that the engine accepted the request earlier.
    return {attempt_failure::UnknownRequest, verdict::MayHaveRun};
}

/// Classifies an engine's error answer. Only the answers that the protocol defines as refusals guarantee that nothing was started.
std::pair<attempt_failure, verdict> classifyRefusal(unsigned status, const std::string &code)
{
    switch (status) {
    case kConflict:
        return classifyConflict(code);
    case kGone:
        return {attempt_failure::KvGone, verdict::NotRun};
    case kGatewayTimeout:
        if (code == "transfer_stalled") {
            return {attempt_failure::TransferStalled, verdict::NotRun};
        }
        return {attempt_failure::UnknownRequest, verdict::MayHaveRun};
    case kNotFound:
        return {attempt_failure::UnknownRequest, verdict::NotRun};
    case kTooManyRequests:
    case kUnavailable:
        return {attempt_failure::Refused, verdict::NotRun};
    default:
        break;
    }
    if (status >= kBadRequest && status < kServerError) {
        return {attempt_failure::Rejected, verdict::NotRun};
    }
    return {attempt_failure::ConnectionLost, verdict::MayHaveRun};
}

} // namespace

std::string prefillBody(const start_prefill &action)
{
    json::object body{{"request_id", action.engineRequest},
                      {"model", action.model},
                      {"prompt", action.prompt},
                      {"max_tokens", action.maxTokens},
                      {"priority", toString(action.priority)},
                      {"deadline_ms", positiveMilliseconds(action.deadline)}};
    if (!action.generated.empty()) {
        body["generated"] = action.generated;
    }
    return json::serialize(body);
}

std::string decodeBody(const start_decode &action)
{
    return json::serialize(json::object{{"request_id", action.engineRequest},
                                        {"model", action.model},
                                        {"prompt", action.prompt},
                                        {"kv_source", action.kvSource},
                                        {"kv_id", action.kvId},
                                        {"offset", action.offset},
                                        {"max_tokens", action.maxTokens},
                                        {"priority", toString(action.priority)},
                                        {"deadline_ms", positiveMilliseconds(action.deadline)}});
}

std::string resumeBody(const resume_decode &action)
{
    return json::serialize(json::object{{"request_id", action.engineRequest}, {"offset", action.offset}});
}

std::string cancelBody(const cancel_request &action)
{
    return json::serialize(json::object{{"request_id", action.engineRequest}});
}

std::optional<prefill_finished> parsePrefill(attempt_id attempt, const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    const auto kvId = readText(*object, "kv_id");
    const auto promptTokens = readCount(*object, "prompt_tokens");
    const auto cachedTokens = readCount(*object, "cached_tokens");
    const auto lifetime = readCount(*object, "ttl_ms");
    if (!kvId || !promptTokens || !cachedTokens || !lifetime) {
        return std::nullopt;
    }
    return prefill_finished{attempt, *kvId, *promptTokens, *cachedTokens, std::chrono::milliseconds(*lifetime)};
}

std::optional<decode_event> parseDecodeEvent(const std::string &data)
{
    const auto object = parseObject(data);
    if (!object) {
        return std::nullopt;
    }
    decode_event event;
    event.errorCode = errorCode(data);
    if (!event.errorCode.empty()) {
        return event;
    }
    const json::value *done = object->if_contains("done");
    if (done != nullptr) {
        const auto tokens = readCount(*object, "tokens");
        const auto reason = readText(*object, "finish_reason");
        if (!tokens || !reason) {
            return std::nullopt;
        }
        event.done = true;
        event.tokens = *tokens;
        event.reason = *reason;
        return event;
    }
    const auto offset = readCount(*object, "offset");
    auto token = readText(*object, "text");
    if (!offset || !token) {
        return std::nullopt;
    }
    event.offset = *offset;
    event.text = std::move(*token);
    return event;
}

std::optional<engine_load> parseLoad(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    const auto running = readCount(*object, "running");
    const auto queued = readCount(*object, "queue");
    const auto total = readCount(*object, "pieces_total");
    const auto free = readCount(*object, "pieces_free");
    if (!running || !queued || !total || !free || *free > *total) {
        return std::nullopt;
    }
    return engine_load{*running, *queued, *total - *free};
}

attempt_failed failureOf(attempt_id attempt, const net::http_result &result)
{
    if (!result.answer) {
        const bool connected = !result.failure.reason.starts_with("connect");
        const attempt_failure kind = connected ? attempt_failure::ConnectionLost : attempt_failure::Unreachable;
        return {attempt, kind, result.failure.outcome, result.failure.reason};
    }
    const std::string code = errorCode(result.answer->body);
    const auto [failure, outcome] = classifyRefusal(result.answer->status, code);
    return {attempt, failure, outcome, "status " + std::to_string(result.answer->status) + (code.empty() ? "" : " " + code)};
}

} // namespace heatherroute::node
