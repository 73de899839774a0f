#include "node/caller_answer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

#include "net/event_stream.h"

namespace heatherroute::node
{

namespace json = boost::json;

namespace
{

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

/// Whether @p text is safe in a log line and a header: printable ASCII without spaces and not too long.
bool isPrintableName(std::string_view text)
{
    const auto printable = [](unsigned char c) { return c > ' ' && c < 127; };
    return text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), printable);
}

bool readNameHeader(const net::http_request &request, std::string_view header, std::string &out, last_reason *reason)
{
    out = std::string(request.header(header));
    if (!isPrintableName(out)) {
        setReason(reason, std::string(header) + " must be at most 128 printable characters without blanks");
        return false;
    }
    return true;
}

const json::string *stringMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member == nullptr ? nullptr : member->if_string();
}

} // namespace

std::optional<request_traits> parseTraits(const net::http_request &request, last_reason *reason)
{
    request_traits traits;
    const bool namesAreValid = readNameHeader(request, "X-Request-Id", traits.requestName, reason) && readNameHeader(request, "X-Team", traits.team, reason)
                               && readNameHeader(request, "Idempotency-Key", traits.idempotencyKey, reason)
                               && readNameHeader(request, "X-Ticket", traits.ticket, reason);
    if (!namesAreValid) {
        return std::nullopt;
    }
    const std::string_view priority = request.header("X-Priority");
    if (!priority.empty()) {
        traits.priority = parsePriorityClass(priority);
        if (!traits.priority) {
            setReason(reason, "X-Priority must be interactive or batch");
            return std::nullopt;
        }
    }
    const std::string_view deadline = request.header("X-Deadline-Ms");
    if (!deadline.empty()) {
        std::int64_t value = 0;
        const auto [end, status] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), value);
        if (status != std::errc{} || end != deadline.data() + deadline.size() || value < 1 || value > kMaxDeadlineMs) {
            setReason(reason, "X-Deadline-Ms must be a whole number from 1 to 3600000");
            return std::nullopt;
        }
        traits.deadline = std::chrono::milliseconds(value);
    }
    return traits;
}

std::optional<completion_request> parseCompletion(const net::http_request &request, last_reason *reason)
{
    auto traits = parseTraits(request, reason);
    if (!traits) {
        return std::nullopt;
    }
    json::error_code error;
    const json::value document = json::parse(request.body, error);
    const json::object *object = error ? nullptr : document.if_object();
    if (object == nullptr) {
        setReason(reason, "the body must be a JSON object" + (error ? ": " + error.message() : std::string{}));
        return std::nullopt;
    }
    const json::string *model = stringMember(*object, "model");
    const json::string *prompt = stringMember(*object, "prompt");
    if (model == nullptr || prompt == nullptr) {
        setReason(reason, "model and prompt must be strings");
        return std::nullopt;
    }
    const json::value *maxTokens = object->if_contains("max_tokens");
    const std::int64_t *count = maxTokens == nullptr ? nullptr : maxTokens->if_int64();
    if (count == nullptr || *count < 1 || *count > std::numeric_limits<std::uint32_t>::max()) {
        setReason(reason, "max_tokens must be a positive whole number");
        return std::nullopt;
    }
    const json::value *stream = object->if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        setReason(reason, "stream must be true or false");
        return std::nullopt;
    }
    completion_request result;
    result.stream = stream != nullptr && stream->get_bool();
    result.generation.traits = std::move(*traits);
    result.generation.model = std::string(model->begin(), model->end());
    result.generation.prompt = std::string(prompt->begin(), prompt->end());
    result.generation.maxTokens = static_cast<std::uint32_t>(*count);
    return result;
}

std::string tokenEvent(std::string_view requestName, std::uint32_t offset, std::string_view text)
{
    return net::formatEvent(json::serialize(json::object{{"id", requestName}, {"offset", offset}, {"text", text}}));
}

std::string finishEvents(std::string_view requestName, const finish_generation &end)
{
    const json::object last{{"id", requestName}, {"done", true}, {"finish_reason", end.reason}, {"tokens", end.tokens}};
    return net::formatEvent(json::serialize(last)) + net::formatEvent("[DONE]");
}

std::string completionBody(std::string_view requestName, std::string_view text, const finish_generation &end)
{
    return json::serialize(json::object{{"id", requestName}, {"text", text}, {"tokens", end.tokens}, {"finish_reason", end.reason}});
}

std::string errorBody(const fail_caller &failure)
{
    json::object error{{"code", failure.code}, {"message", failure.message}, {"verdict", toString(failure.outcome)}};
    if (failure.retryAfter) {
        error["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*failure.retryAfter).count();
    }
    return json::serialize(json::object{{"error", std::move(error)}});
}

net::http_answer errorAnswer(const fail_caller &failure)
{
    net::http_answer answer;
    answer.status = failure.status;
    answer.body = errorBody(failure);
    answer.fields.push_back({"X-Verdict", std::string(toString(failure.outcome))});
    if (failure.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter).count();
        answer.fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    return answer;
}

std::string errorEvent(const fail_caller &failure)
{
    return "event: error\n" + net::formatEvent(errorBody(failure));
}

net::http_answer unreadableAnswer(unsigned status, std::string_view reason)
{
    return errorAnswer({{}, status, "unreadable_request", std::string(reason), verdict::NotRun, std::nullopt});
}

} // namespace heatherroute::node
