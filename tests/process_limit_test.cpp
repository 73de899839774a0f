#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>

#include "support/limit_audit.h"
#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kPlainDeadline{1'500};
constexpr milliseconds kStreamDeadline{4'000};

/// What callers do beside one another on a site.
struct traffic
{
    bool stopping = false;
    int callers = 0;
    std::size_t sent = 0; ///< While it is counted, see countFrom.
    std::size_t served = 0;
    std::size_t refused = 0;
    std::chrono::steady_clock::duration longestRefusal{};
    std::chrono::steady_clock::time_point countFrom = std::chrono::steady_clock::time_point::min();
};

/// Sends requests for @p path to the entries in turn.
asio::awaitable<void> sendRequests(relay_site &site, traffic &all, std::string path, milliseconds pause, std::size_t firstEntry)
{
    ++all.callers;
    const milliseconds deadline = path == kStreamPath ? kStreamDeadline : kPlainDeadline;
    for (std::size_t entry = firstEntry; !all.stopping; ++entry) {
        const auto sent = std::chrono::steady_clock::now();
        const bool counted = sent > all.countFrom;
        std::string target = path;
        const caller_result result = co_await site.call(entry % site.entryCount(), std::move(target), deadline);
        EXPECT_EQ(result.fault, "");
        if (counted) {
            all.sent += 1;
            all.served += result.status == 200 ? 1 : 0;
            if (result.status == 503) {
                all.refused += 1;
                all.longestRefusal = std::max(all.longestRefusal, std::chrono::steady_clock::now() - sent);
                EXPECT_EQ(site.runCountOf(result.id), 0) << "a request that was reported as not run has run";
            }
        }
        co_await pauseFor(pause);
    }
    --all.callers;
}

/// Starts @p count callers whose requests come at the entries in turn.
void startCallers(const asio::any_io_executor &executor, relay_site &site, traffic &all, const std::string &path, std::size_t count, milliseconds pause)
{
    for (std::size_t caller = 0; caller < count; ++caller) {
        asio::co_spawn(executor, sendRequests(site, all, path, pause, caller), asio::detached);
    }
}

asio::awaitable<void> stop(traffic &all)
{
    all.stopping = true;
    while (all.callers > 0) {
        co_await pauseFor(milliseconds(20));
    }
}

/// Lets the upstreams of @p service, at most @p count of them, name the limit @p text.
void nameLimit(relay_site &site, const std::string &service, std::size_t count, const std::string &text)
{
    for (const auto &upstream : site.upstreams()) {
        if (count > 0 && upstream->id().find(service) != std::string::npos) {
            upstream->setLimit(text);
            --count;
        }
    }
}

/// The requests that arrived at upstreams that named a limit, in @p time before now.
std::size_t arrivalsWithin(const relay_site &site, std::chrono::steady_clock::duration time)
{
    const auto &calls = site.upstreamLog().limitedCalls;
    const auto from = std::chrono::steady_clock::now() - time;
    return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [from](const standins::limited_call &call) { return call.at > from; }));
}

relay_site_settings limitSite()
{
    relay_site_settings settings;
    settings.entries = 12;
    settings.services = 4;
    return settings;
}

} // namespace

// Load pattern: all entries send to four upstreams of a service, and one of them names a limit far below its share.
TEST(ProcessLimit, UpstreamThatNamesALimitGetsNoMoreThanThatFromAllEntries)
{
    runOnSite(limitSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        startCallers(executor, site, all, kBookingPath, 6, milliseconds(90));
        co_await pauseFor(seconds(1));
        nameLimit(site, "portal", 1, "3.8");
        co_await pauseFor(seconds(4));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(8));
        const std::size_t arrivals = arrivalsWithin(site, seconds(8));
        co_await stop(all);
        EXPECT_EQ(limitViolations(site.upstreamLog()), std::vector<std::string>());
        EXPECT_GE(arrivals, 15U) << "half of what the upstream takes";
        EXPECT_EQ(all.served, all.sent) << "the other upstreams have room";
    });
}

// Load pattern: as above, at less than one request a second, which is far less than one request an entry.
TEST(ProcessLimit, LimitBelowOneRequestAnEntryIsKept)
{
    runOnSite(limitSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        startCallers(executor, site, all, kBookingPath, 6, milliseconds(90));
        co_await pauseFor(seconds(1));
        nameLimit(site, "portal", 2, "0.5");
        co_await pauseFor(seconds(4));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(10));
        const std::size_t arrivals = arrivalsWithin(site, seconds(10));
        co_await stop(all);
        EXPECT_EQ(limitViolations(site.upstreamLog()), std::vector<std::string>());
        EXPECT_GE(arrivals, 5U) << "half of what the upstreams take";
        EXPECT_EQ(all.served, all.sent) << "the other upstreams have room";
    });
}

// Load pattern: every upstream of a service is at its limit.
TEST(ProcessLimit, RequestsThatNoUpstreamCanTakeAreRefusedAtOnce)
{
    runOnSite(limitSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        startCallers(executor, site, all, kLookupPath, 6, milliseconds(90));
        co_await pauseFor(seconds(1));
        nameLimit(site, "portal", 4, "2");
        co_await pauseFor(seconds(4));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(8));
        co_await stop(all);
        EXPECT_EQ(limitViolations(site.upstreamLog()), std::vector<std::string>());
        EXPECT_GE(all.served, 32U) << "half of what the upstreams take";
        EXPECT_EQ(all.served + all.refused, all.sent);
        EXPECT_LE(all.longestRefusal, milliseconds(500)) << "a third of the callers' time";
    });
}

// Load pattern: engines of both phases name limits. Reservations, prompts and decodes count alike.
TEST(ProcessLimit, EnginesThatNameLimitsGetNoMoreCallsThanThat)
{
    relay_site_settings settings = limitSite();
    settings.prefillEngines = 2;
    settings.decodeEngines = 4;
    settings.services = 1;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        startCallers(executor, site, all, kStreamPath, 6, milliseconds(150));
        co_await pauseFor(seconds(1));
        nameLimit(site, "llmprefill", 1, "3");
        nameLimit(site, "llmdecode", 2, "3");
        co_await pauseFor(seconds(4));
        all.countFrom = std::chrono::steady_clock::now();
        co_await pauseFor(seconds(8));
        const std::size_t arrivals = arrivalsWithin(site, seconds(8));
        co_await stop(all);
        EXPECT_EQ(limitViolations(site.upstreamLog()), std::vector<std::string>());
        EXPECT_GE(arrivals, 36U) << "half of what the engines take";
        EXPECT_EQ(all.served, all.sent) << "the other engines have room";
    });
}

// Load pattern: as in the first test, while entries are killed and restarted one after the other, the coordinator among them.
TEST(ProcessLimit, LimitIsKeptWhileEntriesAreKilled)
{
    runOnSite(limitSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        startCallers(executor, site, all, kBookingPath, 6, milliseconds(90));
        co_await pauseFor(seconds(1));
        nameLimit(site, "portal", 1, "3.8");
        co_await pauseFor(seconds(3));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            site.entry(entry).signal(SIGKILL);
            site.entry(entry).waitForEnd(seconds(5));
            last_reason reason;
            EXPECT_TRUE(site.restart(entry, &reason)) << reason.text();
            co_await pauseFor(milliseconds(900));
        }
        co_await stop(all);
        EXPECT_EQ(limitViolations(site.upstreamLog()), std::vector<std::string>());
    });
}

// Load pattern: an upstream's answers name a limit that is no number of requests, then a good one, then none.
TEST(ProcessLimit, MalformedLimitsAreIgnoredAndEndedOnesForgotten)
{
    runOnSite(limitSite(), [](relay_site &site) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        traffic all;
        startCallers(executor, site, all, kBookingPath, 6, milliseconds(90));
        for (const char *text : {"-1", "nan", "inf", "1e999", "abc", "3 requests", "1e300", "0"}) {
            nameLimit(site, "portal", 1, text);
            co_await pauseFor(milliseconds(300));
        }
        nameLimit(site, "portal", 1, "1");
        co_await pauseFor(seconds(6));
        nameLimit(site, "portal", 1, "");
        const std::size_t before = site.upstreamLog().arrivals.size();
        co_await pauseFor(seconds(6));
        co_await stop(all);
        std::map<std::string, std::size_t> counts;
        const auto &arrivals = site.upstreamLog().arrivals;
        std::for_each(arrivals.begin() + static_cast<std::ptrdiff_t>(before), arrivals.end(), [&counts](const auto &arrival) { ++counts[arrival.instance]; });
        EXPECT_EQ(limitViolations(site.upstreamLog()), std::vector<std::string>());
        EXPECT_EQ(counts.size(), 4U);
        for (const auto &[instance, count] : counts) {
            EXPECT_GE(count * 8, arrivals.size() - before) << instance << " gets a share again";
        }
    });
}
