#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "support/relay_site.h"

/// What the cases of this folder share: arguments, the record, and the run of one coroutine.
namespace review
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Whether the disruption is applied. TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Writes lines to the record, each with the time since the start in milliseconds.
class record
{
public:
    explicit record(const std::string &file)
        : m_file(file)
        , m_startedAt(clock::now())
    { }

    void line(const std::string &text)
    {
        lineAt(clock::now(), text);
    }

    void lineAt(clock::time_point at, const std::string &text)
    {
        m_file << std::chrono::duration_cast<milliseconds>(at - m_startedAt).count() << " ms  " << text << "\n";
        m_file.flush();
    }

private:
    std::ofstream m_file;
    clock::time_point m_startedAt;
};

inline asio::awaitable<void> pause(asio::io_context &context, milliseconds time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Publishes the configuration of @p site again, with a newer version, and with streams that callers may take up ("Where a route has `Resumable`").
inline void publishResumable(heatherroute::support::relay_site &site)
{
    const auto route = [](const std::string &prefix, const std::string &kind, const std::string &service, const std::string &more) {
        return std::string(R"({"Name":"r","Host":")") + heatherroute::support::kSiteHost + R"(","PathPrefix":")" + prefix + R"(","Kind":")" + kind
               + R"(","TimeoutMs":14000,"TargetLatencyMs":900,"Priority":1,"Service":")" + service + R"(","MaxAttempts":2)" + more + "}";
    };
    site.store().put("keyed.op",
                     "config",
                     R"({"Version":1000,"Routes":[)" + route("/book/", "non_idempotent", "portal", R"(,"Sticky":false)") + ","
                         + route("/gen/", "stream", "llm", R"(,"Sticky":true,"Resumable":true,"GapAimMs":300)") + ","
                         + route("/look/", "idempotent", "portal", R"(,"Sticky":false)")
                         + R"(],"Services":[{"Name":"portal","HealthPath":"/healthz","MaxConnections":100},)"
                           R"({"Name":"llm","HealthPath":"/healthz","MaxConnections":100,)"
                           R"("Engine":{"Slots":64,"KvCapacityTokens":60000,"KvTtlS":0.5,"RoleSwitchS":1,"HoldMs":2000}}],)"
                           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":5000}})");
}

/// Runs @p body until it returns its exit code, for at most 110 s.
inline int run(asio::io_context &context, std::function<asio::awaitable<int>()> body)
{
    int code = kNotRun;
    asio::co_spawn(context, std::move(body), [&](std::exception_ptr error, int result) {
        code = error ? kNotRun : result;
        if (error) {
            try {
                std::rethrow_exception(error);
            } catch (const std::exception &failure) {
                std::fprintf(stderr, "the case could not run: %s\n", failure.what());
            }
        }
        context.stop();
    });
    context.run_for(std::chrono::seconds(110));
    return code;
}

} // namespace review
