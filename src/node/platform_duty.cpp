#include "node/platform_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <optional>

#include "net/http_client.h"
#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kMaxRecordsPerRead = 500;

std::optional<json::object> objectOf(const net::http_answer &answer)
{
    json::error_code error;
    json::value document = json::parse(answer.body, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    return std::move(document.get_object());
}

std::optional<log_offset> offsetOf(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr || !member->is_number()) {
        return std::nullopt;
    }
    json::error_code error;
    const auto offset = member->to_number<log_offset>(error);
    return error ? std::nullopt : std::optional(offset);
}

std::optional<log_record> recordOf(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *data = object == nullptr ? nullptr : object->if_contains("data");
    if (data == nullptr || !data->is_string()) {
        return std::nullopt;
    }
    const auto offset = offsetOf(*object, "offset");
    if (!offset) {
        return std::nullopt;
    }
    return log_record{*offset, std::string(data->get_string())};
}

std::optional<log_batch> batchOf(const json::object &object)
{
    const auto oldest = offsetOf(object, "oldest");
    const auto next = offsetOf(object, "next");
    const json::value *records = object.if_contains("records");
    if (!oldest || !next || records == nullptr || !records->is_array()) {
        return std::nullopt;
    }
    log_batch batch{*oldest, *next, {}};
    for (const json::value &value : records->get_array()) {
        auto record = recordOf(value);
        if (!record) {
            return std::nullopt;
        }
        batch.records.push_back(std::move(*record));
    }
    return batch;
}

/// What a read's answer tells the core.
core_event eventOf(instant askedAt, const net::http_result &result)
{
    if (!result.answer) {
        return log_unavailable{result.failure.reason};
    }
    const auto object = objectOf(*result.answer);
    if (object && result.answer->status == kGone) {
        const auto oldest = offsetOf(*object, "oldest");
        if (oldest) {
            return log_forgotten{*oldest};
        }
    }
    auto batch = object && result.answer->status == kOk ? batchOf(*object) : std::nullopt;
    if (!batch) {
        return log_unavailable{"status " + std::to_string(result.answer->status)};
    }
    return log_read{askedAt, std::move(*batch)};
}

} // namespace

class platform_duty::impl
{
public:
    impl(asio::io_context &context, platform_options options, channel<core_event> &toCore)
        : m_context(context)
        , m_options(std::move(options))
        , m_toCore(toCore)
    { }

    void perform(const read_log &action)
    {
        asio::co_spawn(m_context, runRead(action.from), asio::detached);
    }

    void perform(const append_log &action)
    {
        asio::co_spawn(m_context, runAppend(action.record), asio::detached);
    }

    template<typename Other>
    void perform(const Other &)
    { }

private:
    net::http_call callTo(std::string target) const
    {
        net::http_call call;
        call.endpoint = m_options.log;
        call.target = "/log/" + m_options.configStream + std::move(target);
        call.progressTimeout = m_options.pollWait + m_options.timeout;
        return call;
    }

    asio::awaitable<void> runRead(log_offset from)
    {
        const std::string wait = std::to_string(m_options.pollWait.count());
        net::http_call call = callTo("?from=" + std::to_string(from) + "&max=" + std::to_string(kMaxRecordsPerRead) + "&wait_ms=" + wait);
        call.method = "GET";
        const instant askedAt = coreNow();
        const net::http_result result = co_await net::performCall(std::move(call));
        core_event event = eventOf(askedAt, result);
        co_await m_toCore.push(std::move(event));
    }

    asio::awaitable<void> runAppend(std::string record)
    {
        net::http_call call = callTo("/append");
        json::array records;
        records.push_back(json::value(record));
        call.body = json::serialize(json::object{{"records", std::move(records)}});
        co_await net::performCall(std::move(call));
    }

    asio::io_context &m_context;
    platform_options m_options;
    channel<core_event> &m_toCore;
};

platform_duty::platform_duty(asio::io_context &context, platform_options options, channel<core_event> &toCore)
    : m_impl(std::make_unique<impl>(context, std::move(options), toCore))
{ }

platform_duty::~platform_duty() = default;

bool platform_duty::takes(const core_action &action) noexcept
{
    return std::holds_alternative<read_log>(action) || std::holds_alternative<append_log>(action);
}

void platform_duty::perform(core_action action)
{
    std::visit([this](const auto &typed) { m_impl->perform(typed); }, action);
}

} // namespace heatherroute::node
