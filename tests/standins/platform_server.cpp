#include "standins/platform_server.h"

#include "standins/engine_json.h"

#include <algorithm>
#include <utility>

namespace heatherroute::standins
{

namespace
{

constexpr std::string_view kLogPrefix = "/log/";
constexpr std::string_view kAppendSuffix = "/append";
constexpr std::size_t kDefaultReadRecords = 1000;
constexpr std::size_t kMaxReadBytes = 1U << 20U; // A read ends with the record that makes its data larger than this.

bool isAppend(const standin_request &request)
{
    const std::string &path = request.path;
    return path.size() > kLogPrefix.size() + kAppendSuffix.size() && path.compare(path.size() - kAppendSuffix.size(), kAppendSuffix.size(), kAppendSuffix) == 0;
}

} // namespace

platform_server::platform_server(net::io_context &context, standin_server &server, const log_settings &log, const platform_options &options)
    : m_settings(log)
    , m_options(options)
    , m_log(log)
    , m_vms(options.vmLag)
    , m_changed(context)
{
    const auto bind = [this](net::awaitable<void> (platform_server::*method)(const standin_request &, standin_connection &)) {
        return [this, method](const standin_request &request, standin_connection &connection) { return (this->*method)(request, connection); };
    };
    server.route("POST", "/log/*", bind(&platform_server::append));
    server.route("GET", "/log/*", bind(&platform_server::read));
    server.route("GET", "/vms", bind(&platform_server::listVms));
    server.route("POST", "/vms", bind(&platform_server::setVms));
    server.route("GET", "/weights/*", bind(&platform_server::weights));
    server.route("POST", "/truncate", bind(&platform_server::truncate));
    server.route("GET", "/records", [this](const auto &, auto &connection) { return connection.answer(200, records()); });
    server.route("POST", "/fault", [this, &server](const standin_request &request, standin_connection &connection) {
        setFaults(request.body);
        if (boolOf(request.body, "silent")) {
            server.silenceConnections(&connection);
        }
        return connection.answer(200, json::object());
    });
}

net::awaitable<bool> platform_server::applyLogFaults(standin_connection &connection)
{
    if (m_faults.logDelay.count() > 0) {
        const auto until = std::chrono::steady_clock::now() + m_faults.logDelay;
        for (auto now = std::chrono::steady_clock::now(); now < until; now = std::chrono::steady_clock::now()) {
            co_await m_changed.wait(std::chrono::ceil<std::chrono::milliseconds>(until - now));
        }
    }
    while (m_faults.silentOutage) {
        co_await m_changed.wait();
    }
    if (m_faults.outage) {
        co_await connection.fail(503, "outage");
        co_return false;
    }
    co_return true;
}

net::awaitable<void> platform_server::append(const standin_request &request, standin_connection &connection)
{
    const bool available = co_await applyLogFaults(connection);
    if (!available) {
        co_return;
    }
    const auto *body = request.body.if_object();
    const auto *list = body == nullptr ? nullptr : body->if_contains("records");
    const bool wellFormed = isAppend(request) && list != nullptr && list->is_array() && !list->as_array().empty()
                            && list->as_array().size() <= m_settings.recordsPerAppend
                            && std::all_of(list->as_array().begin(), list->as_array().end(), [](const auto &record) { return record.is_string(); });
    if (!wellFormed) {
        co_await connection.fail(400, "bad_request");
        co_return;
    }
    const instant now = realTime();
    if (!m_log.admitAppend(now)) {
        ++m_appendsLimited;
        co_await connection.fail(429, "append_limit");
        co_return;
    }
    std::vector<std::string> records;
    for (const auto &record : list->as_array()) {
        records.emplace_back(record.as_string());
    }
    const std::string stream = request.path.substr(kLogPrefix.size(), request.path.size() - kLogPrefix.size() - kAppendSuffix.size());
    const append_result result = m_log.append(now, stream, std::move(records));
    ++m_appends;
    m_changed.notify();
    if (shouldLoseAnswer()) {
        ++m_answersLost;
        connection.drop();
        co_return;
    }
    json::object answer{{"first", result.first}, {"next", result.next}};
    co_await connection.answer(200, std::move(answer));
}

bool platform_server::shouldLoseAnswer()
{
    if (m_faults.loseNext > 0) {
        --m_faults.loseNext;
        return true;
    }
    return m_faults.loseEvery > 0 && m_appends % m_faults.loseEvery == 0;
}

net::awaitable<void> platform_server::read(const standin_request &request, standin_connection &connection)
{
    ++m_reads;
    const std::string stream = request.path.substr(kLogPrefix.size());
    const auto from = static_cast<std::uint64_t>(request.number("from", 0));
    const auto max = static_cast<std::size_t>(request.number("max", kDefaultReadRecords));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(request.number("wait_ms", 0));
    while (true) {
        const bool available = co_await applyLogFaults(connection);
        if (!available) {
            co_return;
        }
        const instant now = realTime();
        const auto records = m_log.read(now, stream, from, max);
        if (!records) {
            json::object gone = errorBody("forgotten", "from is older than the retention");
            gone["oldest"] = m_log.oldest(now, stream);
            co_await connection.answer(410, std::move(gone));
            co_return;
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
        if (records->empty() && left.count() > 0) {
            co_await m_changed.wait(left);
            continue;
        }
        json::array list;
        std::size_t bytes = 0;
        for (const auto &record : *records) {
            list.push_back({{"offset", record.offset}, {"data", record.data}});
            bytes += record.data.size();
            if (bytes > kMaxReadBytes) {
                break;
            }
        }
        json::object answer{{"oldest", m_log.oldest(now, stream)}, {"next", m_log.next(stream)}, {"records", std::move(list)}};
        co_await connection.answer(200, std::move(answer));
        co_return;
    }
}

net::awaitable<void> platform_server::listVms(const standin_request &, standin_connection &connection)
{
    if (m_faults.vmOutage) {
        return connection.fail(503, "outage");
    }
    const instant now = realTime();
    return connection.answer(200, {{"as_of_ms", toMs(now - m_options.vmLag)}, {"vms", m_vms.visibleValue(now)}});
}

net::awaitable<void> platform_server::setVms(const standin_request &request, standin_connection &connection)
{
    const auto *body = request.body.if_object();
    const auto *list = body == nullptr ? nullptr : body->if_contains("vms");
    if (list == nullptr || !list->is_array()) {
        return connection.fail(400, "bad_request");
    }
    m_vms.set(realTime(), list->as_array());
    return connection.answer(200, json::object());
}

net::awaitable<void> platform_server::weights(const standin_request &, standin_connection &connection)
{
    constexpr double kMegabitsToBytesPerMs = 125;
    const std::chrono::milliseconds time(
        static_cast<std::int64_t>(static_cast<double>(m_options.weightsBytes) / (m_options.weightsMbps * kMegabitsToBytesPerMs)));
    const auto until = std::chrono::steady_clock::now() + time;
    for (auto now = std::chrono::steady_clock::now(); now < until; now = std::chrono::steady_clock::now()) {
        co_await m_changed.wait(std::chrono::ceil<std::chrono::milliseconds>(until - now));
    }
    co_await connection.answerText(200, "application/octet-stream", std::string(m_options.weightsBytes, 'w'));
}

net::awaitable<void> platform_server::truncate(const standin_request &request, standin_connection &connection)
{
    m_log.truncate(textOf(request.body, "stream"), static_cast<std::size_t>(intOf(request.body, "keep")));
    m_changed.notify();
    return connection.answer(200, json::object());
}

json::object platform_server::records()
{
    json::object streams;
    for (const auto &name : m_log.streams()) {
        streams[name] = {{"oldest", m_log.oldest(realTime(), name)}, {"next", m_log.next(name)}};
    }
    return {
        {"streams", std::move(streams)}, {"appends", m_appends}, {"appends_limited", m_appendsLimited}, {"answers_lost", m_answersLost}, {"reads", m_reads}};
}

void platform_server::setFaults(const json::value &body)
{
    m_faults.outage = boolOf(body, "outage");
    m_faults.silentOutage = boolOf(body, "silent_outage");
    m_faults.vmOutage = boolOf(body, "vm_outage");
    m_faults.logDelay = std::chrono::milliseconds(intOf(body, "slow_ms"));
    m_faults.loseEvery = static_cast<std::uint64_t>(intOf(body, "lose_every"));
    m_faults.loseNext = static_cast<std::uint64_t>(intOf(body, "lose_next"));
    m_changed.notify();
}

} // namespace heatherroute::standins
