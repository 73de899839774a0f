#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>

#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int kStreams = 12;

/// Sends streams through all entries at the same time and expects that each is complete.
asio::awaitable<void> expectCompleteStreams(relay_site &site)
{
    int open = 0;
    for (int i = 0; i < kStreams; ++i) {
        const auto stream = [&site, &open, i]() -> asio::awaitable<void> {
            const caller_result result = co_await site.call(static_cast<std::size_t>(i) % site.entryCount(), kStreamPath, seconds(10));
            EXPECT_EQ(result.status, 200U) << result.refusal;
            EXPECT_TRUE(result.isComplete);
            EXPECT_EQ(result.fault, "");
            --open;
        };
        ++open;
        asio::co_spawn(co_await asio::this_coro::executor, stream, asio::detached);
        co_await pauseFor(milliseconds(100));
    }
    while (open > 0) {
        co_await pauseFor(milliseconds(20));
    }
}

std::string logOfAll(const relay_site &site)
{
    std::string log;
    for (std::size_t i = 0; i < site.entryCount(); ++i) {
        log += site.logOf(i);
    }
    return log;
}

} // namespace

// Guards against streams that fail, or aren't placed by the coordinators of both pools, when engines are assigned for all entries.
TEST(ProcessPlacement, StreamsAreServedByEnginesThatCoordinatorsAssign)
{
    relay_site_settings settings;
    settings.sharedPlacementEntries = 3;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        co_await pauseFor(seconds(2)); // The entries find each other.
        co_await expectCompleteStreams(site);
        const std::string log = logOfAll(site);
        std::size_t decodes = 0;
        std::size_t prefills = 0;
        for (std::size_t at = log.find("placement_decided"); at != std::string::npos; at = log.find("placement_decided", at + 1)) {
            const std::string line = log.substr(at, log.find('\n', at) - at);
            const bool isPlaced = line.find("\"placed\"") != std::string::npos;
            decodes += isPlaced && line.find("/decode") != std::string::npos ? 1 : 0;
            prefills += isPlaced && line.find("/prefill") != std::string::npos ? 1 : 0;
        }
        EXPECT_GE(decodes, static_cast<std::size_t>(kStreams) / 2);
        EXPECT_GE(prefills, static_cast<std::size_t>(kStreams) / 2);
    });
}

// Guards against a change for fleets that are smaller than the setting asks for.
TEST(ProcessPlacement, SmallFleetChoosesWithoutCoordinators)
{
    relay_site_settings settings;
    settings.sharedPlacementEntries = 4;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        co_await pauseFor(seconds(2));
        co_await expectCompleteStreams(site);
        EXPECT_EQ(logOfAll(site).find("placement_"), std::string::npos);
    });
}
