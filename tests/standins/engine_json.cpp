#include "standins/engine_json.h"

namespace heatherroute::standins
{

namespace json = boost::json;

namespace
{

const json::value *member(const json::value &body, const char *name)
{
    const auto *object = body.if_object();
    return object == nullptr ? nullptr : object->if_contains(name);
}

} // namespace

std::string textOf(const json::value &body, const char *name, const std::string &fallback)
{
    const auto *found = member(body, name);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : fallback;
}

std::int64_t intOf(const json::value &body, const char *name, std::int64_t fallback)
{
    const auto *found = member(body, name);
    if (found == nullptr || !found->is_number()) {
        return fallback;
    }
    return found->is_double() ? static_cast<std::int64_t>(found->as_double()) : found->to_number<std::int64_t>();
}

double doubleOf(const json::value &body, const char *name, double fallback)
{
    const auto *found = member(body, name);
    return found != nullptr && found->is_number() ? found->to_number<double>() : fallback;
}

bool boolOf(const json::value &body, const char *name)
{
    const auto *found = member(body, name);
    return found != nullptr && found->is_bool() && found->as_bool();
}

engine_request engineRequestOf(const json::value &body)
{
    engine_request request;
    request.requestId = textOf(body, "request_id");
    request.model = textOf(body, "model");
    request.prompt = textOf(body, "prompt");
    request.generated = textOf(body, "generated");
    request.offset = static_cast<std::size_t>(intOf(body, "offset"));
    request.maxTokens = static_cast<std::size_t>(intOf(body, "max_tokens"));
    request.priority = intOf(body, "priority");
    request.deadline = std::chrono::milliseconds(intOf(body, "deadline_ms"));
    return request;
}

json::array toJson(const std::vector<prefill_record> &records)
{
    json::array result;
    for (const auto &record : records) {
        const bool ended = record.reason != end_reason::Open;
        result.push_back({{"request_id", record.requestId},
                          {"arrived_ms", toMs(record.arrived)},
                          {"start_ms", toMs(record.start)},
                          {"end_ms", toMs(record.end)},
                          {"prompt_tokens", record.promptTokens},
                          {"cached_tokens", record.cachedTokens},
                          {"computed_tokens", record.computedTokens},
                          {"fetched", record.fetched},
                          {"wasted", ended && !record.fetched && record.computedTokens > 0},
                          {"reason", toString(record.reason)}});
    }
    return result;
}

json::array toJson(const std::vector<decode_record> &records)
{
    json::array result;
    for (const auto &record : records) {
        result.push_back({{"request_id", record.requestId},
                          {"offset", record.offset},
                          {"pieces", record.pieces},
                          {"accepted_ms", toMs(record.accepted)},
                          {"start_ms", toMs(record.start)},
                          {"end_ms", toMs(record.end)},
                          {"tokens", record.tokens},
                          {"reason", toString(record.reason)}});
    }
    return result;
}

} // namespace heatherroute::standins
