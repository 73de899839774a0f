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

std::chrono::microseconds elapsedSince(bench_clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(bench_clock::now() - start);
}

/// Collects the tokens of a stream and their arrival times.
class stream_reader
{
public:
    stream_reader(bench_clock::time_point start, completion_result &result)
        : m_start(start)
        , m_result(result)
    { }

    asio::awaitable<void> feed(std::string_view chunk)
    {
        for (const std::string &data : m_parser.feed(chunk)) {
            parseEvent(data);
        }
        co_return;
    }

private:
    void parseEvent(const std::string &data)
    {
        json::error_code error;
        const json::value document = json::parse(data, error);
        if (error || !document.is_object()) {
            return;
        }
        const json::object &object = document.get_object();
        if (object.contains("error")) {
            setError(object.at("error"));
        } else if (object.contains("done")) {
            m_result.tokens = object.at("tokens").to_number<std::uint32_t>();
            m_result.complete = !m_hasGap && m_nextOffset == m_result.tokens;
        } else if (object.contains("text")) {
            addToken(object);
        }
    }

    void addToken(const json::object &object)
    {
        const auto now = elapsedSince(m_start);
        if (m_nextOffset == 0) {
            m_result.firstToken = now;
        } else {
            m_result.intervals.push_back(now - m_lastTokenAt);
        }
        m_lastTokenAt = now;
        m_hasGap = m_hasGap || object.at("offset").to_number<std::uint32_t>() != m_nextOffset;
        ++m_nextOffset;
        m_result.text += object.at("text").as_string();
    }

    void setError(const json::value &error)
    {
        m_result.code = std::string(error.at("code").as_string());
        m_result.verdict = std::string(error.at("verdict").as_string());
    }

    bench_clock::time_point m_start;
    completion_result &m_result;
    net::event_stream_parser m_parser;
    std::uint32_t m_nextOffset = 0;
    std::chrono::microseconds m_lastTokenAt{};
    bool m_hasGap = false;
};

void parseErrorBody(const std::string &body, completion_result &result)
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
    const net::http_result ended = co_await exchange->run([&reader](std::string_view chunk) { return reader.feed(chunk); });
    result.total = elapsedSince(start);
    if (!ended.answer) {
        result.code = result.code.empty() ? ended.failure.reason : result.code;
        co_return;
    }
    result.status = ended.answer->status;
    if (result.status >= kFirstErrorStatus) {
        parseErrorBody(ended.answer->body, result);
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

asio::awaitable<completion_result> complete(completion_request request)
{
    json::object body{{"model", request.model}, {"prompt", request.prompt}, {"max_tokens", request.maxTokens}, {"stream", true}};
    net::http_call call = postCall(request.entry, "/v1/completions", body);
    call.fields.push_back({"X-Team", request.team});
    call.fields.push_back({"X-Priority", request.priority});
    call.fields.push_back({"X-Deadline-Ms", std::to_string(request.deadline.count())});
    completion_result result;
    co_await readStream(std::move(call), bench_clock::now(), result);
    co_return result;
}

asio::awaitable<completion_result>
completeDirectly(asio::ip::tcp::endpoint prefill, asio::ip::tcp::endpoint decode, std::string requestId, completion_request request)
{
    const auto start = bench_clock::now();
    completion_result result;
    json::object body{{"request_id", requestId},
                      {"model", request.model},
                      {"prompt", request.prompt},
                      {"max_tokens", request.maxTokens},
                      {"priority", request.priority},
                      {"deadline_ms", request.deadline.count()}};
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

std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double fraction)
{
    if (samples.empty()) {
        return {};
    }
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1));
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
