// A stand-in for a plain service: executes any call and counts the executions per idempotency key.
#include "standins/engine_json.h"
#include "standins/standin_server.h"

#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include <cstdio>
#include <map>
#include <string>
#include <unistd.h>

namespace
{

using namespace heatherroute;
using namespace heatherroute::standins;

/**
 * The service: a call to any path takes the configured time and is answered with an echo of the request.
 *
 * Not thread safe; runs on the single thread of its io_context.
 */
class fake_service
{
public:
    fake_service(net::io_context &context, standin_server &server, std::string name, std::chrono::milliseconds delay)
        : m_name(std::move(name))
        , m_delay(delay)
        , m_changed(context)
    {
        server.route("GET", "/records", [this](const auto &, auto &connection) { return connection.answer(200, records()); });
        server.route("POST", "/fault", [this, &server](const standin_request &request, standin_connection &connection) {
            setFaults(request.body);
            if (boolOf(request.body, "silent")) {
                server.silenceConnections(&connection);
            }
            return connection.answer(200, json::object());
        });
        server.route("", "/*", [this](const auto &request, auto &connection) { return run(request, connection); });
    }

private:
    enum class failure_point {
        Never,
        BeforeRun,
        AfterRun,
    };

    net::awaitable<void> run(const standin_request &request, standin_connection &connection)
    {
        if (m_refuse) {
            co_await connection.fail(503, "refused");
            co_return;
        }
        if (m_failurePoint == failure_point::BeforeRun) {
            disconnectOrExit(connection);
            co_return;
        }
        const auto key = std::string(request.raw["Idempotency-Key"]);
        const auto until = std::chrono::steady_clock::now() + (m_faultDelay.count() > 0 ? m_faultDelay : m_delay);
        ++m_runs[key];
        const std::uint64_t serial = ++m_serial;
        if (m_failurePoint == failure_point::AfterRun) {
            disconnectOrExit(connection);
            co_return;
        }
        for (auto now = std::chrono::steady_clock::now(); m_stall || now < until; now = std::chrono::steady_clock::now()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now);
            co_await m_changed.wait(m_stall ? std::chrono::hours(1) : left);
        }
        json::object body{{"service", m_name},
                          {"method", std::string(request.raw.method_string())},
                          {"path", std::string(request.raw.target())},
                          {"body", request.raw.body()},
                          {"content_type", std::string(request.raw[http::field::content_type])},
                          {"key", key},
                          {"serial", serial}};
        co_await connection.answer(200, std::move(body));
    }

    /// Closes the connection, or exits the process if the `exit` switch is set.
    void disconnectOrExit(standin_connection &connection) const
    {
        constexpr int kCrashExitCode = 70;
        if (m_exitOnFailure) {
            _exit(kCrashExitCode);
        }
        connection.drop();
    }

    json::object records() const
    {
        json::object runs;
        for (const auto &[key, count] : m_runs) {
            runs[key] = count;
        }
        return {{"service", m_name}, {"runs", std::move(runs)}, {"total", m_serial}};
    }

    void setFaults(const json::value &body)
    {
        m_failurePoint =
            boolOf(body, "die_before_run") ? failure_point::BeforeRun : (boolOf(body, "die_after_run") ? failure_point::AfterRun : failure_point::Never);
        m_exitOnFailure = boolOf(body, "exit");
        m_refuse = boolOf(body, "refuse");
        m_stall = boolOf(body, "stall");
        m_faultDelay = std::chrono::milliseconds(intOf(body, "delay_ms"));
        m_changed.notify();
    }

    std::string m_name;
    std::chrono::milliseconds m_delay;
    notifier m_changed;
    std::map<std::string, std::uint64_t> m_runs; ///< Executions by idempotency key; calls without a key are counted under the empty key.
    std::uint64_t m_serial = 0;
    failure_point m_failurePoint = failure_point::Never;
    bool m_exitOnFailure = false;
    bool m_refuse = false;
    bool m_stall = false;
    std::chrono::milliseconds m_faultDelay{0};
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fake_service", "Stand-in for a plain service");
    auto add = options.add_options();
    add("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("name", "name of the service", cxxopts::value<std::string>()->default_value("service"));
    add("delay-ms", "duration of a call", cxxopts::value<std::int64_t>()->default_value("0"));
    try {
        const auto parsed = options.parse(argc, argv);
        net::io_context context(1);
        standin_server server(context);
        const std::chrono::milliseconds delay(parsed["delay-ms"].as<std::int64_t>());
        fake_service service(context, server, parsed["name"].as<std::string>(), delay);
        last_reason reason;
        if (!server.run(parsed["listen"].as<std::string>(), &reason)) {
            std::fprintf(stderr, "%s\n", reason.text().c_str());
            return 1;
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}
