#include "node/log_answer.h"

#include <boost/json.hpp>

#include <optional>

namespace heatherroute::node
{

namespace json = boost::json;

namespace
{

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kMaxRecordsPerRead = 500;

std::optional<json::object> parseBody(const net::http_answer &answer)
{
    json::error_code error;
    json::value document = json::parse(answer.body, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    return std::move(document.get_object());
}

std::optional<log_offset> readOffset(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr || !member->is_number()) {
        return std::nullopt;
    }
    json::error_code error;
    const auto offset = member->to_number<log_offset>(error);
    return error ? std::nullopt : std::optional(offset);
}

std::optional<log_record> parseRecord(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *data = object == nullptr ? nullptr : object->if_contains("data");
    if (data == nullptr || !data->is_string()) {
        return std::nullopt;
    }
    const auto offset = readOffset(*object, "offset");
    if (!offset) {
        return std::nullopt;
    }
    return log_record{*offset, std::string(data->get_string())};
}

std::optional<log_batch> parseBatch(const json::object &object)
{
    const auto oldest = readOffset(object, "oldest");
    const auto next = readOffset(object, "next");
    const json::value *records = object.if_contains("records");
    if (!oldest || !next || records == nullptr || !records->is_array()) {
        return std::nullopt;
    }
    log_batch batch{*oldest, *next, {}};
    for (const json::value &value : records->get_array()) {
        auto record = parseRecord(value);
        if (!record) {
            return std::nullopt;
        }
        batch.records.push_back(std::move(*record));
    }
    return batch;
}

} // namespace

std::string readTarget(std::string_view stream, log_offset from, std::chrono::milliseconds wait)
{
    std::string target = "/log/";
    target += stream;
    target += "?from=" + std::to_string(from);
    target += "&max=" + std::to_string(kMaxRecordsPerRead);
    target += "&wait_ms=" + std::to_string(wait.count());
    return target;
}

std::string appendTarget(std::string_view stream)
{
    std::string target = "/log/";
    target += stream;
    target += "/append";
    return target;
}

std::string appendBody(std::string_view record)
{
    json::array records;
    records.push_back(json::string(record));
    return json::serialize(json::object{{"records", std::move(records)}});
}

core_event parseReadResult(instant sentAt, const net::http_result &result)
{
    if (!result.answer) {
        return log_unavailable{result.failure.reason};
    }
    const auto object = parseBody(*result.answer);
    if (object && result.answer->status == kGone) {
        const auto oldest = readOffset(*object, "oldest");
        if (oldest) {
            return log_truncated{*oldest};
        }
    }
    auto batch = object && result.answer->status == kOk ? parseBatch(*object) : std::nullopt;
    if (!batch) {
        return log_unavailable{"status " + std::to_string(result.answer->status)};
    }
    return log_read{sentAt, std::move(*batch)};
}

std::optional<vms_listed> parseVmList(const net::http_result &result)
{
    const auto object = result.answer && result.answer->status == kOk ? parseBody(*result.answer) : std::nullopt;
    const json::value *list = object ? object->if_contains("vms") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return std::nullopt;
    }
    vms_listed listed;
    for (const json::value &value : list->get_array()) {
        const json::object *vm = value.if_object();
        const json::value *address = vm != nullptr ? vm->if_contains("address") : nullptr;
        if (address != nullptr && address->is_string()) {
            listed.addresses.emplace_back(address->get_string());
        }
    }
    return listed;
}

} // namespace heatherroute::node
