#pragma once

#include <gtest/gtest.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <functional>
#include <string>

#include "support/relay_site.h"

namespace heatherroute::support
{

/// Runs @p body on a small site. Fails the test when the site isn't ready in time or the body takes too long.
inline void runOnSite(relay_site_settings settings, std::function<boost::asio::awaitable<void>(relay_site &)> body)
{
    namespace asio = boost::asio;
    asio::io_context context(1);
    settings.program = std::string(HEATHERROUTE_BIN_DIR) + "/heatherrouted";
    last_reason reason;
    const auto site = relay_site::make(context, std::move(settings), &reason);
    ASSERT_TRUE(site) << reason.text();
    bool ended = false;
    const auto run = [&]() -> asio::awaitable<void> {
        const bool ready = co_await site->waitUntilReady(std::chrono::seconds(20));
        EXPECT_TRUE(ready);
        co_await body(*site);
        ended = true;
        context.stop();
    };
    asio::co_spawn(context, run, [](const std::exception_ptr &failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_TRUE(ended);
}

/// Sets the fault switches of all upstreams.
inline void setFaultsOfAll(relay_site &site, const standins::upstream_faults &faults)
{
    for (const auto &upstream : site.upstreams()) {
        upstream->setFaults(faults);
    }
}

/// Waits for @p time on the executor of the calling coroutine.
inline boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace heatherroute::support
