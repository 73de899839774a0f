#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>

#include "support/relay_site.h"

/// What the drivers of the cases share: the site, the record and the exit codes.
namespace review
{

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Whether the disruption takes place.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The file that says what was sent, answered and run. Each line begins with the milliseconds since the start.
class record
{
public:
    explicit record(const std::string &file)
        : m_file(file)
        , m_startedAt(std::chrono::steady_clock::now())
    { }

    void line(const std::string &text)
    {
        const auto passed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
        m_file << passed << " " << text << std::endl;
    }

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_startedAt;
};

inline asio::awaitable<void> pauseFor(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Runs @p body on a site whose entries are processes of @p settings.program. Returns the exit code of the case.
inline int
runCase(heatherroute::support::relay_site_settings settings, record &log, std::function<asio::awaitable<int>(heatherroute::support::relay_site &)> body)
{
    asio::io_context context(1);
    heatherroute::last_reason reason;
    const auto site = heatherroute::support::relay_site::make(context, std::move(settings), &reason);
    if (!site) {
        log.line("the site could not start: " + reason.text());
        return kNotRun;
    }
    int code = kNotRun;
    const auto run = [&]() -> asio::awaitable<void> {
        const bool ready = co_await site->waitUntilReady(seconds(20));
        if (ready) {
            code = co_await body(*site);
        } else {
            log.line("the site was not ready: " + site->unreadyReason());
        }
        context.stop();
    };
    asio::co_spawn(context, run, [&](const std::exception_ptr &failure) {
        if (failure) {
            log.line("the driver failed");
            code = kNotRun;
            context.stop();
        }
    });
    context.run_for(seconds(100));
    log.line("exit code " + std::to_string(code));
    return code;
}

} // namespace review
