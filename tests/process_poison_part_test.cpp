#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>

#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kRequestDeadline{3'000};
/// After a part of prompts has crashed this many engines, requests with it may reach upstreams again only as often as allowed below.
constexpr std::size_t kMaxCrashes = 5;
constexpr int kMaxFurtherArrivals = 3; ///< Counted once all entries have had time to learn of the crashes.
constexpr seconds kLearningTime{3};

relay_site_settings partSite()
{
    relay_site_settings settings;
    settings.decodeEngines = 7;
    settings.prefillEngines = 2;
    settings.upstreamDownTime = seconds(3);
    return settings;
}

/// What callers do beside one another on a site.
struct traffic
{
    bool stopping = false;
    int callers = 0;
    int soundSent = 0; ///< While it is counted, see countFrom.
    int soundServed = 0;
    std::size_t requests = 0;
    std::chrono::steady_clock::time_point countFrom = std::chrono::steady_clock::time_point::max();
};

/// Returns a stream that differs from all with another @p number, with the shared @p parts in its prompt.
caller_request streamWith(const std::string &number, std::string parts)
{
    caller_request request;
    request.path = "/gen/" + number;
    request.timeLeft = kRequestDeadline;
    request.promptParts = std::move(parts);
    request.promptParts.append(",c").append(number).append(":300");
    return request;
}

/// Sends requests that are all different, and whose prompts have the shared @p parts, to each entry in turn.
asio::awaitable<void> sendPoison(relay_site &site, traffic &all, std::string parts, milliseconds pause)
{
    ++all.callers;
    while (!all.stopping) {
        const std::string number = std::to_string(++all.requests);
        const std::size_t entry = all.requests % site.entryCount();
        caller_request request = streamWith(number, parts);
        const caller_result result = co_await site.call(entry, std::move(request));
        EXPECT_EQ(result.fault, "");
        if (result.status == 503) {
            EXPECT_EQ(site.runCountOf(result.id), 0) << "a request that was reported as not run has run";
        }
        co_await pauseFor(pause);
    }
    --all.callers;
}

/// Sends sound streams of one caller whose prompts have the shared @p parts.
asio::awaitable<void> sendSound(relay_site &site, traffic &all, std::string parts, milliseconds pause)
{
    ++all.callers;
    while (!all.stopping) {
        const std::string number = std::to_string(++all.requests);
        const bool counted = std::chrono::steady_clock::now() > all.countFrom;
        caller_request request = streamWith(number, parts);
        const std::size_t entry = all.requests % site.entryCount();
        const caller_result result = co_await site.call(entry, std::move(request));
        EXPECT_EQ(result.refusal.find("quarantined"), std::string::npos) << parts;
        if (counted) {
            all.soundSent += 1;
            all.soundServed += result.status == 200 ? 1 : 0;
        }
        co_await pauseFor(pause);
    }
    --all.callers;
}

asio::awaitable<void> stop(traffic &all)
{
    all.stopping = true;
    while (all.callers > 0) {
        co_await pauseFor(milliseconds(20));
    }
}

/// Expects that engines have crashed with the part in flight, and that requests with it reached few upstreams afterwards.
void expectFewArrivals(const relay_site &site, const std::string &part)
{
    const standins::upstream_log &log = site.upstreamLog();
    std::vector<std::chrono::steady_clock::time_point> crashes;
    for (const standins::upstream_crash &crash : log.crashes) {
        if (crash.poisonPartsInFlight.contains(part)) {
            crashes.push_back(crash.at);
        }
    }
    EXPECT_GE(crashes.size(), 3U) << part;
    if (crashes.size() >= kMaxCrashes) {
        std::set<std::string> late;
        for (const standins::upstream_arrival &arrival : log.arrivals) {
            if (arrival.poisonPart == part && arrival.at > crashes[kMaxCrashes - 1] + kLearningTime) {
                late.insert(arrival.id);
            }
        }
        EXPECT_LE(late.size(), kMaxFurtherArrivals) << part << ", " << crashes.size() << " crashes";
    }
}

asio::awaitable<void> killAndRestart(relay_site &site, std::size_t index)
{
    site.entry(index).signal(SIGKILL);
    site.entry(index).waitForEnd(seconds(5));
    last_reason reason;
    EXPECT_TRUE(site.restart(index, &reason)) << reason.text();
    co_return;
}

} // namespace

// Load pattern: requests that are all different but for one part of their prompts come at each entry, beside sound ones of the same caller.
TEST(ProcessPoisonPart, RequestsThatShareAPartWhichCrashesEnginesReachFewOfThemAfterTheFifth)
{
    runOnSite(partSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        for (int i = 0; i < 4; ++i) {
            asio::co_spawn(executor, sendSound(site, all, "a1:100", milliseconds(60)), asio::detached);
        }
        co_await pauseFor(seconds(1));
        asio::co_spawn(executor, sendPoison(site, all, "a1:100,bad1:40", milliseconds(150)), asio::detached);
        asio::co_spawn(executor, sendPoison(site, all, "a1:100,bad1:40", milliseconds(150)), asio::detached);
        co_await pauseFor(seconds(9));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(5));
        co_await stop(all);
        expectFewArrivals(site, "bad1");
        EXPECT_GE(all.soundServed * 10, all.soundSent * 9) << all.soundSent;
    });
}

// Load pattern: as above, with two such parts at once, few sound requests, and none before the first crash.
TEST(ProcessPoisonPart, TwoSuchPartsAreFoundBesideFewSoundRequests)
{
    runOnSite(partSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        asio::co_spawn(executor, sendPoison(site, all, "a1:100,bad1:40", milliseconds(300)), asio::detached);
        asio::co_spawn(executor, sendPoison(site, all, "a1:100,bad2:40", milliseconds(300)), asio::detached);
        co_await pauseFor(milliseconds(500));
        asio::co_spawn(executor, sendSound(site, all, "a1:100", milliseconds(700)), asio::detached);
        asio::co_spawn(executor, sendSound(site, all, "a1:100,b1:50", milliseconds(700)), asio::detached);
        co_await pauseFor(seconds(11));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(6));
        co_await stop(all);
        expectFewArrivals(site, "bad1");
        expectFewArrivals(site, "bad2");
        EXPECT_GE(all.soundServed * 10, all.soundSent * 9) << all.soundSent;
    });
}

// Load pattern: as above, and entries are killed one after the other, then all at once.
TEST(ProcessPoisonPart, PartIsKnownToEntriesThatRestart)
{
    runOnSite(partSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        asio::co_spawn(executor, sendSound(site, all, "a1:100", milliseconds(60)), asio::detached);
        asio::co_spawn(executor, sendPoison(site, all, "a1:100,bad1:40", milliseconds(200)), asio::detached);
        for (int i = 0; i < 3; ++i) {
            co_await pauseFor(seconds(2));
            co_await killAndRestart(site, static_cast<std::size_t>(i) % site.entryCount());
        }
        co_await pauseFor(seconds(4));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            co_await killAndRestart(site, entry);
        }
        co_await pauseFor(seconds(5));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(4));
        co_await stop(all);
        expectFewArrivals(site, "bad1");
        EXPECT_GE(all.soundServed * 10, all.soundSent * 9) << all.soundSent;
    });
}

// Load pattern: as above, but the engines fall silent as they crash.
TEST(ProcessPoisonPart, PartThatSilencesEnginesReachesFewOfThem)
{
    relay_site_settings settings = partSite();
    settings.decodeEngines = 9;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.silentCrashes = true;
        setFaultsOfAll(site, faults);
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        asio::co_spawn(executor, sendSound(site, all, "a1:100", milliseconds(60)), asio::detached);
        // Each of them waits for the silent engine until its deadline.
        for (int i = 0; i < 6; ++i) {
            asio::co_spawn(executor, sendPoison(site, all, "a1:100,bad1:40", milliseconds(400)), asio::detached);
        }
        co_await pauseFor(seconds(16));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(5));
        co_await stop(all);
        expectFewArrivals(site, "bad1");
        EXPECT_GE(all.soundServed * 10, all.soundSent * 9) << all.soundSent;
    });
}

// Load pattern: engines crash for a reason of their own, several at once and one after the other, under streams that share a part.
TEST(ProcessPoisonPart, PartsOfRequestsInUnrelatedCrashesAreServed)
{
    runOnSite(partSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        for (int i = 0; i < 6; ++i) {
            asio::co_spawn(executor, sendSound(site, all, "a1:100,b1:50", milliseconds(20)), asio::detached);
        }
        for (int round = 0; round < 3; ++round) {
            co_await pauseFor(seconds(1));
            for (const auto &upstream : site.upstreams()) {
                if (upstream->id().find("decode") != std::string::npos) {
                    upstream->crash();
                }
            }
            co_await pauseFor(seconds(4));
        }
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(3));
        co_await stop(all);
        EXPECT_GE(all.soundServed * 10, all.soundSent * 9) << all.soundSent;
    });
}
