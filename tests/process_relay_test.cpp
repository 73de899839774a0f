#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <numeric>
#include <vector>

#include "relay/store_gossip.h"
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
constexpr milliseconds kMaxBackoff{1'000}; ///< Between two attempts of an entry to read what it knows to be outdated.

/// Sends a request and expects a complete and successful answer.
asio::awaitable<caller_result> expectSuccess(relay_site &site, std::size_t entry, std::string path)
{
    caller_result result = co_await site.call(entry, path, kRequestDeadline);
    EXPECT_EQ(result.status, 200U) << path;
    EXPECT_EQ(result.fault, "") << path;
    co_return result;
}

} // namespace

TEST(ProcessRelay, EveryEntryServesAllKindsOfRequests)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            for (const char *path : {kLookupPath, kBookingPath, kStreamPath}) {
                const caller_result result = co_await expectSuccess(site, entry, path);
                EXPECT_EQ(site.runCountOf(result.id), 1) << path;
            }
        }
    });
}

TEST(ProcessRelay, BookingWithALostAnswerIsNeitherRetriedNorReportedAsNotRun)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.loseAnswers = true;
        setFaultsOfAll(site, faults);
        const caller_result booking = co_await site.call(0, kBookingPath, kRequestDeadline);
        EXPECT_EQ(booking.status, 502U);
        EXPECT_EQ(site.runCountOf(booking.id), 1);
        const caller_result lookup = co_await site.call(0, kLookupPath, kRequestDeadline);
        EXPECT_EQ(site.runCountOf(lookup.id), 2);
    });
}

TEST(ProcessRelay, AnswerToAnotherRequestIsNotForwarded)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.mismatchedAnswers = true;
        setFaultsOfAll(site, faults);
        for (const char *path : {kLookupPath, kBookingPath, kStreamPath}) {
            const caller_result result = co_await site.call(0, path, kRequestDeadline);
            EXPECT_EQ(result.status, 502U) << path;
            EXPECT_EQ(result.fault, "") << path;
        }
    });
}

TEST(ProcessRelay, RefusedRequestIsRetriedOnAnotherUpstreamBeforeTheCallerIsRefused)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.refuse = true;
        const auto &upstreams = site.upstreams();
        upstreams.back()->setFaults(faults);
        for (int i = 0; i < 6; ++i) {
            co_await expectSuccess(site, 0, kBookingPath);
        }
        upstreams[upstreams.size() - 2]->setFaults(faults);
        const caller_result result = co_await site.call(0, kBookingPath, kRequestDeadline);
        EXPECT_EQ(result.status, 503U);
        EXPECT_EQ(site.runCountOf(result.id), 0);
    });
}

// Load pattern: one of two upstreams refuses all requests while its health check passes, and each refusal costs a retry of the
// fleet's budget.
TEST(ProcessRelay, SheddingUpstreamDoesNotExhaustTheRetryBudget)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.refuse = true;
        site.upstreams().back()->setFaults(faults);
        for (int i = 0; i < 80; ++i) {
            co_await expectSuccess(site, 0, kBookingPath);
        }
    });
}

// Load pattern: all upstreams answer every call with bytes that don't end, and many callers wait.
TEST(ProcessRelay, EndlessAnswersAreEndedWithinTheMemoryOfAVm)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.endlessAnswers = true;
        setFaultsOfAll(site, faults);
        int waiting = 0;
        for (int i = 0; i < 60; ++i) {
            const auto caller = [&, i]() -> asio::awaitable<void> {
                ++waiting;
                const char *paths[] = {kLookupPath, kBookingPath, kStreamPath};
                const caller_result result = co_await site.call(0, paths[i % 3], milliseconds(1'500));
                EXPECT_EQ(result.fault, "");
                EXPECT_NE(result.status, 200U) << result.path;
                --waiting;
            };
            asio::co_spawn(co_await asio::this_coro::executor, caller, asio::detached);
        }
        while (waiting > 0) {
            co_await pauseFor(milliseconds(50));
        }
        constexpr std::size_t kVmMemoryBytes = std::size_t{96} * 1024 * 1024;
        EXPECT_LT(site.entry(0).peakMemoryBytes(), kVmMemoryBytes);
        setFaultsOfAll(site, {});
        co_await pauseFor(seconds(5));
        for (const char *path : {kLookupPath, kBookingPath, kStreamPath}) {
            co_await expectSuccess(site, 0, path);
        }
    });
}

TEST(ProcessRelay, BrokenStreamDoesNotAppearComplete)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.breakStreams = true;
        setFaultsOfAll(site, faults);
        const caller_result result = co_await site.call(0, kStreamPath, kRequestDeadline);
        EXPECT_FALSE(result.isComplete);
        EXPECT_EQ(site.runCountOf(result.id), 1);
    });
}

TEST(ProcessRelay, DrainingUpstreamGetsNoWorkAfterTwoSeconds)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::site_upstream &leaving = *site.upstreams().back();
        leaving.drain();
        const auto until = std::chrono::steady_clock::now() + seconds(4);
        for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
            co_await expectSuccess(site, i % site.entryCount(), kLookupPath);
        }
        EXPECT_EQ(leaving.runsAfterDrain(seconds(2)), 0);
    });
}

// The store deletes the records that a pending long-poll read waits for. The entries must apply the configuration nevertheless: it has no
// route for lookups, so they answer 404.
TEST(ProcessRelay, ConfigurationIsAppliedAlthoughTheStoreDropsItsHistory)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        site.publish(false);
        site.store().removeHistory("keyed.op");
        co_await pauseFor(milliseconds(2'500));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            const caller_result result = co_await site.call(entry, kLookupPath, kRequestDeadline);
            EXPECT_EQ(result.status, 404U) << "entry " << entry;
        }
    });
}

TEST(ProcessRelay, StoreOutageFailsNoRequest)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::store_faults faults;
        faults.busy = true;
        site.store().setFaults(faults);
        const auto until = std::chrono::steady_clock::now() + seconds(4);
        for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
            co_await expectSuccess(site, i % site.entryCount(), i % 2 == 0 ? kLookupPath : kStreamPath);
        }
    });
}

// The connections between the entries and the store go silent without being closed. The entries must serve afterwards with the
// configuration that was published meanwhile, which they get after an update from a peer or over a new connection. It has no route for
// lookups, so they answer 404.
TEST(ProcessRelay, SilentStoreConnectionsAreDetected)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            site.storeProxy(entry).setFault(proxy_fault::DropAll);
        }
        site.publish(false);
        co_await pauseFor(milliseconds(1'000));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            site.storeProxy(entry).resetAll();
            site.storeProxy(entry).setFault(proxy_fault::None);
        }
        co_await pauseFor(milliseconds(3'500));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            const caller_result result = co_await site.call(entry, kLookupPath, kRequestDeadline);
            EXPECT_EQ(result.status, 404U) << "entry " << entry;
        }
    });
}

// Load pattern: an entry that doesn't read the store for others is cut off from it, learns from another entry that there is a newer configuration,
// and comes back into touch. Its retries had become so rare by then that it served the older one for seconds.
TEST(ProcessRelay, EntryThatKnowsOfANewerConfigurationReadsItSoonAfterACutFromTheStore)
{
    relay_site_settings settings;
    settings.entries = 7;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        std::vector<std::size_t> order(site.entryCount());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return precedesInReading(relay_site::entryName(left), relay_site::entryName(right));
        });
        const std::vector<std::size_t> cut(order.begin() + static_cast<std::ptrdiff_t>(store_gossip_settings{}.readers), order.end());
        co_await pauseFor(seconds(4)); // Until these rely on the others.
        for (const std::size_t entry : cut) {
            site.storeProxy(entry).setFault(proxy_fault::DropAll);
            site.storeProxy(entry).resetAll();
        }
        site.publish(false);
        co_await pauseFor(seconds(7));
        for (const std::size_t entry : cut) {
            site.storeProxy(entry).resetAll();
            site.storeProxy(entry).setFault(proxy_fault::None);
        }
        co_await pauseFor(kMaxBackoff + milliseconds(300));
        for (const std::size_t entry : cut) {
            const caller_result result = co_await site.call(entry, kLookupPath, kRequestDeadline);
            EXPECT_EQ(result.status, 404U) << "entry " << entry;
        }
    });
}

// The holder of the lease planned by what readers of the store had told it, and gave its orders later than a reader would have.
TEST(ProcessRelay, HolderOfTheLeaseReadsTheStoreItself)
{
    relay_site_settings settings;
    settings.entries = 8;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        std::vector<std::string> names;
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            names.push_back(relay_site::entryName(entry));
        }
        const auto rankOf = [&names](const std::string &name) {
            return std::count_if(names.begin(), names.end(), [&name](const std::string &other) { return precedesInReading(other, name); });
        };
        co_await pauseFor(seconds(6)); // Until the others rely on the readers.
        std::size_t holders = 0;
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            const std::string log = site.logOf(entry);
            const bool isHolder = log.find("\"lease_held\"") != std::string::npos;
            const bool isReader = rankOf(names[entry]) < static_cast<std::ptrdiff_t>(store_gossip_settings{}.readers);
            const std::size_t frequent = log.rfind("\"store_polling_frequent\"");
            const std::size_t infrequent = log.rfind("\"store_polling_infrequent\"");
            const bool reads = frequent != std::string::npos && (infrequent == std::string::npos || infrequent < frequent);
            EXPECT_EQ(reads, isHolder || isReader) << names[entry];
            EXPECT_FALSE(isHolder && isReader) << "the holder reads anyway, so the case isn't tested";
            holders += isHolder ? 1 : 0;
        }
        EXPECT_EQ(holders, 1U);
    });
}

TEST(ProcessRelay, GracefulShutdownInterruptsNoStream)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        int open = 8;
        for (int i = 0; i < 8; ++i) {
            const auto stream = [&]() -> asio::awaitable<void> {
                co_await expectSuccess(site, 0, kStreamPath);
                --open;
            };
            asio::co_spawn(co_await asio::this_coro::executor, stream, asio::detached);
        }
        co_await pauseFor(milliseconds(60));
        site.entry(0).signal(SIGTERM);
        co_await pauseFor(milliseconds(100));
        const bool ready = co_await site.isReady(0);
        EXPECT_FALSE(ready);
        for (int i = 0; i < 80 && open > 0; ++i) {
            co_await pauseFor(milliseconds(100));
        }
        EXPECT_EQ(open, 0);
        const auto code = site.entry(0).waitForEnd(seconds(8));
        EXPECT_EQ(code, 0);
    });
}

// Guards against a use after free: an entry that exited with a request in flight accessed objects that were already destroyed.
TEST(ProcessRelay, RequestsInFlightAreAbortedAtTheEndOfTheGracePeriod)
{
    relay_site_settings settings;
    settings.stopGraceS = 3;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.hang = true;
        for (std::size_t engine = 1; engine <= 2; ++engine) {
            site.upstreams().at(engine)->setFaults(faults);
        }
        bool ended = false;
        caller_result result;
        const auto stream = [&]() -> asio::awaitable<void> {
            result = co_await site.call(0, kStreamPath, seconds(14));
            ended = true;
        };
        asio::co_spawn(co_await asio::this_coro::executor, stream, asio::detached);
        co_await pauseFor(milliseconds(200));
        site.entry(0).signal(SIGTERM);
        while (!ended) {
            co_await pauseFor(milliseconds(20));
        }
        EXPECT_EQ(result.status, 502U) << "the request may have run";
        EXPECT_EQ(site.entry(0).waitForEnd(seconds(1)), 0);
        EXPECT_NE(site.entry(0).output().find("\"event\":\"request_ended\",\"request_id\":\"" + result.id + "\""), std::string::npos);
    });
}

// Guards against a lost request: a connection that a caller opened late in the shutdown still carried a request when the process ended.
TEST(ProcessRelay, ConnectionsOpenedDuringShutdownAreClosedBeforeTheProcessEnds)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.hang = true;
        setFaultsOfAll(site, faults);
        bool bookingEnded = false;
        const auto booking = [&]() -> asio::awaitable<void> {
            co_await site.call(0, kBookingPath, seconds(5));
            bookingEnded = true;
        };
        asio::co_spawn(co_await asio::this_coro::executor, booking, asio::detached);
        co_await pauseFor(milliseconds(100));
        asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
        site.entry(0).signal(SIGTERM);
        co_await pauseFor(milliseconds(1'500));
        co_await socket.async_connect(site.callerEndpoint(0), asio::use_awaitable);
        char byte = 0;
        boost::system::error_code error;
        co_await socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
        EXPECT_EQ(error, asio::error::eof);
        EXPECT_FALSE(bookingEnded) << "the connection was only closed when the process ended";
        while (!bookingEnded) {
            co_await pauseFor(milliseconds(20));
        }
    });
}

// Load pattern: a prefill takes seconds, and meanwhile the decode engine whose memory is reserved for it reports that it is draining.
TEST(ProcessRelay, EngineThatStartsDrainingDuringThePrefillGetsNoDecode)
{
    relay_site_settings settings;
    settings.decodeEngines = 1;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        standins::site_upstream &prefill = *site.upstreams().at(0);
        standins::site_upstream &decode = *site.upstreams().at(1);
        standins::upstream_faults faults;
        faults.hang = true;
        prefill.setFaults(faults);
        bool ended = false;
        caller_result result;
        const auto stream = [&]() -> asio::awaitable<void> {
            result = co_await site.call(0, kStreamPath, seconds(6));
            ended = true;
        };
        asio::co_spawn(co_await asio::this_coro::executor, stream, asio::detached);
        co_await pauseFor(milliseconds(200));
        decode.drain();
        co_await pauseFor(milliseconds(2'400));
        prefill.setFaults({});
        while (!ended) {
            co_await pauseFor(milliseconds(20));
        }
        EXPECT_EQ(site.runCountOf(result.id), 0);
        EXPECT_EQ(result.status, 503U);
    });
}

// Load pattern: an engine that is changing its phase accepts a reservation and then refuses the decode, after the prefill is done.
TEST(ProcessRelay, RefusedDecodeIsRetriedOnAnotherEngineWithTheSameKvCache)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::site_upstream &prefill = *site.upstreams().at(0);
        standins::upstream_faults faults;
        faults.refuseDecodes = true;
        site.upstreams().at(1)->setFaults(faults);
        constexpr std::uint64_t kStreams = 12;
        for (std::uint64_t i = 0; i < kStreams; ++i) {
            co_await expectSuccess(site, 0, kStreamPath);
        }
        EXPECT_EQ(prefill.prefills(), kStreams);
    });
}

// Load pattern: a prefill engine computes the prompt, but its answer is lost, and callers disconnect 3.5 s after their request. The
// prefill must time out early enough for another engine to serve the request; the test's deadline is shorter, 2.5 s.
TEST(ProcessRelay, PrefillWithoutAnswerTimesOutWhileItsCallerStillWaits)
{
    relay_site_settings settings;
    settings.prefillEngines = 2;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.hang = true;
        site.upstreams().at(0)->setFaults(faults);
        for (int i = 0; i < 6; ++i) {
            const caller_result result = co_await site.call(0, kStreamPath, milliseconds(2'500));
            EXPECT_EQ(result.status, 200U) << i;
        }
        EXPECT_EQ(site.upstreams().at(1)->prefills(), 6U);
    });
}

TEST(ProcessRelay, KilledEntryServesAgainAfterARestart)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        site.entry(0).signal(SIGKILL);
        site.entry(0).waitForEnd(seconds(5));
        last_reason reason;
        EXPECT_TRUE(site.restart(0, &reason)) << reason.text();
        const bool ready = co_await site.waitUntilReady(seconds(10));
        EXPECT_TRUE(ready);
        co_await expectSuccess(site, 0, kStreamPath);
    });
}

TEST(ProcessRelay, ReloadSignalDoesNotInterruptService)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        site.entry(0).signal(SIGHUP);
        co_await pauseFor(milliseconds(200));
        co_await expectSuccess(site, 0, kBookingPath);
        EXPECT_NE(site.entry(0).output().find("\"event\":\"reload\",\"outcome\":\"log level applied\""), std::string::npos);
    });
}

// The operators' page uses these log lines to find the cause of a failure by the id of the request.
TEST(ProcessRelay, LogShowsWhyARequestFailed)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.loseAnswers = true;
        faults.breakStreams = true;
        setFaultsOfAll(site, faults);
        const caller_result booking = co_await site.call(0, kBookingPath, kRequestDeadline);
        const caller_result stream = co_await site.call(0, kStreamPath, kRequestDeadline);
        faults.refuse = true;
        setFaultsOfAll(site, faults);
        const caller_result refused = co_await site.call(0, kStreamPath, kRequestDeadline);
        co_await pauseFor(milliseconds(200));
        const std::string log = site.entry(0).output();
        const auto endOf = [&log](const caller_result &result) {
            const std::size_t at = log.find("\"event\":\"request_ended\",\"request_id\":\"" + result.id + "\"");
            return at == std::string::npos ? std::string() : log.substr(at, log.find('\n', at) - at);
        };
        EXPECT_NE(endOf(booking).find("\"outcome\":\"failed\""), std::string::npos) << endOf(booking);
        EXPECT_NE(endOf(booking).find("\"verdict\":\"may_have_run\""), std::string::npos);
        EXPECT_NE(log.find("\"event\":\"attempt_failed\",\"request_id\":\"" + booking.id + "\""), std::string::npos);
        EXPECT_NE(endOf(stream).find("\"outcome\":\"broken\""), std::string::npos) << endOf(stream);
        EXPECT_NE(endOf(refused).find("\"reason\":\"engines_full\""), std::string::npos) << endOf(refused);
    });
}
