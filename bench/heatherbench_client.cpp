#include "heatherbench_client.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

#include "net/event_stream.h"

namespace heatherroute::bench
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned kFirstErrorStatus = 300;

std::chrono::microseconds since(bench_clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(bench_clock::now() - start);
}

/// Collects a stream's tokens and their times.
class stream_reader
{
public:
    stream_reader(bench_clock::time_point start, completion_result &result)
        : m_start(start)
        , m_result(result)
    { }

    asio::awaitable<void> feed(std::string_view piece)
    {
        for (const std::string &data : m_parser.feed(piece)) {
            take(data);
        }
        co_return;
    }

private:
    void take(const std::string &data)
    {
        json::error_code error;
        const json::value document = json::parse(data, error);
        if (error || !document.is_object()) {
            return;
        }
        const json::object &object = document.get_object();
        if (object.contains("error")) {
            noteError(object.at("error"));
        } else if (object.contains("done")) {
            m_result.tokens = object.at("tokens").to_number<std::uint32_t>();
            m_result.complete = !m_gap && m_next == m_result.tokens;
        } else if (object.contains("text")) {
            takeToken(object);
        }
    }

    void takeToken(const json::object &object)
    {
        const auto now = since(m_start);
        if (m_next == 0) {
            m_result.firstToken = now;
        } else {
            m_result.intervals.push_back(now - m_last);
        }
        m_last = now;
        m_gap = m_gap || object.at("offset").to_number<std::uint32_t>() != m_next;
        ++m_next;
        m_result.text += object.at("text").as_string();
    }

    void noteError(const json::value &error)
    {
        m_result.code = std::string(error.at("code").as_string());
        m_result.verdict = std::string(error.at("verdict").as_string());
    }

    bench_clock::time_point m_start;
    completion_result &m_result;
    net::event_stream_parser m_parser;
    std::uint32_t m_next = 0;
    std::chrono::microseconds m_last{};
    bool m_gap = false;
};

void takeErrorBody(const std::string &body, completion_result &result)
{
    json::error_code parseError;
    const json::value document = json::parse(body, parseError);
    const json::value *error = parseError || !document.is_object() ? nullptr : document.get_object().if_contains("error");
    if (error == nullptr || !error->is_object()) {
        return;
    }
    const json::object &object = error->get_object();
    const json::value *code = object.if_contains("code");
    const json::value *verdict = object.if_contains("verdict");
    result.code = code != nullptr && code->is_string() ? std::string(code->get_string()) : std::string{};
    result.verdict = verdict != nullptr && verdict->is_string() ? std::string(verdict->get_string()) : std::string{};
}

asio::awaitable<void> readStream(net::http_call call, bench_clock::time_point start, completion_result &result)
{
    stream_reader reader(start, result);
    const auto executor = co_await asio::this_coro::executor;
    const auto exchange = net::http_exchange::make(executor, std::move(call));
    const net::http_result ended = co_await exchange->run([&reader](std::string_view piece) { return reader.feed(piece); });
    result.total = since(start);
    if (!ended.answer) {
        result.code = result.code.empty() ? ended.failure.reason : result.code;
        co_return;
    }
    result.status = ended.answer->status;
    if (result.status >= kFirstErrorStatus) {
        takeErrorBody(ended.answer->body, result);
    }
}

net::http_call postCall(const asio::ip::tcp::endpoint &endpoint, std::string target, const json::object &body)
{
    net::http_call call;
    call.endpoint = endpoint;
    call.target = std::move(target);
    call.body = json::serialize(body);
    call.progressTimeout = std::chrono::seconds(60);
    return call;
}

} // namespace

asio::awaitable<completion_result> complete(completion_order order)
{
    json::object body{{"model", order.model}, {"prompt", order.prompt}, {"max_tokens", order.maxTokens}, {"stream", true}};
    net::http_call call = postCall(order.entry, "/v1/completions", body);
    call.fields.push_back({"X-Team", order.team});
    call.fields.push_back({"X-Priority", order.priority});
    call.fields.push_back({"X-Deadline-Ms", std::to_string(order.deadline.count())});
    completion_result result;
    co_await readStream(std::move(call), bench_clock::now(), result);
    co_return result;
}

asio::awaitable<completion_result>
completeDirectly(asio::ip::tcp::endpoint prefill, asio::ip::tcp::endpoint decode, std::string requestId, completion_order order)
{
    const auto start = bench_clock::now();
    completion_result result;
    json::object body{{"request_id", requestId},
                      {"model", order.model},
                      {"prompt", order.prompt},
                      {"max_tokens", order.maxTokens},
                      {"priority", order.priority},
                      {"deadline_ms", order.deadline.count()}};
    const net::http_result prefilled = co_await net::performCall(postCall(prefill, "/v1/prefill", body));
    if (!prefilled.answer || prefilled.answer->status >= kFirstErrorStatus) {
        result.code = "prefill failed";
        co_return result;
    }
    const json::value kv = json::parse(prefilled.answer->body);
    body["kv_source"] = prefill.address().to_string() + ":" + std::to_string(prefill.port());
    body["kv_id"] = kv.at("kv_id");
    body["offset"] = 0;
    co_await readStream(postCall(decode, "/v1/decode", body), start, result);
    co_return result;
}

asio::awaitable<net::http_result>
callService(asio::ip::tcp::endpoint entry, std::string method, std::string target, std::string body, std::string idempotencyKey)
{
    net::http_call call;
    call.endpoint = entry;
    call.method = std::move(method);
    call.target = std::move(target);
    call.body = std::move(body);
    if (!idempotencyKey.empty()) {
        call.fields.push_back({"Idempotency-Key", std::move(idempotencyKey)});
    }
    co_return co_await net::performCall(std::move(call));
}

std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double share)
{
    if (samples.empty()) {
        return {};
    }
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    return samples[index];
}

std::optional<std::vector<asio::ip::tcp::endpoint>> parseEndpoints(const std::string &list)
{
    std::vector<asio::ip::tcp::endpoint> endpoints;
    std::istringstream stream(list);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const auto endpoint = net::parseEndpoint(item);
        if (!endpoint) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

} // namespace heatherroute::bench
