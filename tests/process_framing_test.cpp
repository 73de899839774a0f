// Runs entries before upstreams and a store whose answers are framed by the end of their connection, whole and broken off.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
#include <utility>

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

/// What a caller that speaks HTTP/1.0 received.
struct old_caller_result
{
    std::string bytes;
    bool wasReset = false;
};

/// Sends a request by HTTP/1.0 to entry 0 and reads until the connection ends. @p afterFirstBytes is called once bytes have arrived.
asio::awaitable<old_caller_result> callByOldVersion(relay_site &site, std::string path, std::function<void()> afterFirstBytes)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(site.callerEndpoint(0), asio::use_awaitable);
    const std::string request = "POST " + path
                                + " HTTP/1.0\r\nHost: site.example\r\nX-Attempt-Id: old\r\nX-Deadline-Ms: 3000\r\nX-Model: m\r\n"
                                  "X-Token-Count: 500,800\r\nX-Prompt-Prefix: ab:500\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    old_caller_result result;
    boost::system::error_code error;
    std::string piece(4096, '\0');
    while (!error) {
        const std::size_t count = co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        result.bytes.append(piece, 0, count);
        if (count > 0 && afterFirstBytes) {
            std::exchange(afterFirstBytes, {})();
        }
    }
    result.wasReset = error == asio::error::connection_reset;
    co_return result;
}

std::string bodyOf(const std::string &answer)
{
    const auto end = answer.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : answer.substr(end + 4);
}

} // namespace

TEST(ProcessFraming, WholeAnswersWithoutLengthAreServed)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.unframed = true;
        setFaultsOfAll(site, faults);
        for (const char *path : {kLookupPath, kBookingPath, kStreamPath}) {
            const caller_result result = co_await site.call(0, path, kRequestDeadline);
            EXPECT_EQ(result.status, 200U) << path;
            EXPECT_EQ(result.fault, "") << path;
            EXPECT_EQ(site.runCountOf(result.id), 1) << path;
        }
    });
}

// Regression test: a stream without length that ended inside an event reached its caller as complete.
TEST(ProcessFraming, StreamThatEndsInsideAnEventDoesNotAppearComplete)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.cutStreams = true;
        for (const bool unframed : {true, false}) {
            faults.unframed = unframed;
            setFaultsOfAll(site, faults);
            for (int i = 0; i < 3; ++i) {
                const caller_result result = co_await site.call(0, kStreamPath, kRequestDeadline);
                EXPECT_FALSE(result.isComplete) << "unframed: " << unframed << ", status " << result.status << ", " << result.fault;
                EXPECT_EQ(site.runCountOf(result.id), 1);
            }
        }
    });
}

TEST(ProcessFraming, AnswersWithoutLengthThatAreResetDoNotAppearComplete)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.unframed = true;
        faults.breakAnswers = true;
        faults.breakStreams = true;
        setFaultsOfAll(site, faults);
        const caller_result booking = co_await site.call(0, kBookingPath, kRequestDeadline);
        EXPECT_EQ(booking.status, 502U);
        EXPECT_EQ(site.runCountOf(booking.id), 1);
        const caller_result lookup = co_await site.call(0, kLookupPath, kRequestDeadline);
        EXPECT_EQ(lookup.status, 502U);
        const caller_result stream = co_await site.call(0, kStreamPath, kRequestDeadline);
        EXPECT_FALSE(stream.isComplete) << stream.status << ' ' << stream.fault;
        EXPECT_EQ(site.runCountOf(stream.id), 1);
    });
}

TEST(ProcessFraming, CutAnswersToCallsOfTheRouterAreNotUsed)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.unframed = true;
        faults.cutCallAnswers = true;
        setFaultsOfAll(site, faults);
        const caller_result result = co_await site.call(0, kStreamPath, kRequestDeadline);
        EXPECT_EQ(result.status, 503U);
        EXPECT_EQ(site.runCountOf(result.id), 0);
    });
}

TEST(ProcessFraming, StoreAnswersWithoutLengthAreReadAndCutOnesAreReadAgain)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        for (const bool cut : {true, false}) {
            standins::store_faults faults;
            faults.unframed = true;
            faults.cutAnswers = cut;
            site.store().setFaults(faults);
            // The newest configuration removes and adds the route in turn.
            site.publish(!cut);
            co_await pauseFor(seconds(3));
            if (!cut) {
                const caller_result result = co_await site.call(1, kLookupPath, kRequestDeadline);
                EXPECT_EQ(result.status, 200U);
            }
            const caller_result booking = co_await site.call(1, kBookingPath, kRequestDeadline);
            EXPECT_EQ(booking.status, 200U);
        }
    });
}

// Regression test: callers that speak HTTP/1.0 got the marks of chunks in the middle of a stream, and couldn't tell a broken one.
TEST(ProcessFraming, CallersByOldVersionGetWholeStreamsWithoutChunksAndAResetForBrokenOnes)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        const old_caller_result whole = co_await callByOldVersion(site, kStreamPath, {});
        EXPECT_TRUE(bodyOf(whole.bytes).starts_with("id: 1\ndata: old\n\nid: 2\n")) << whole.bytes;
        EXPECT_TRUE(whole.bytes.ends_with("id: 12\ndata: old\n\n")) << whole.bytes;
        EXPECT_FALSE(whole.wasReset);
        const old_caller_result plain = co_await callByOldVersion(site, kBookingPath, {});
        EXPECT_EQ(bodyOf(plain.bytes), "old " + std::string(kBookingPath) + " ");
        EXPECT_FALSE(plain.wasReset);
        standins::upstream_faults faults;
        faults.cutStreams = true;
        setFaultsOfAll(site, faults);
        const old_caller_result cut = co_await callByOldVersion(site, kStreamPath, {});
        EXPECT_TRUE(cut.wasReset) << cut.bytes;
        setFaultsOfAll(site, {});
        const old_caller_result killed = co_await callByOldVersion(site, kStreamPath, [&site] { site.entry(0).signal(SIGKILL); });
        EXPECT_TRUE(killed.wasReset) << killed.bytes;
    });
}

// Regression test: the stand-in threw at one field of this size, and its next crash used what the exchange had left behind.
TEST(ProcessFraming, LongHeadsAreNoAnswersAndUpstreamsThatSendThemMayCrash)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.longHeads = true;
        setFaultsOfAll(site, faults);
        for (const char *path : {kLookupPath, kBookingPath, kStreamPath}) {
            const caller_result result = co_await site.call(0, path, kRequestDeadline);
            EXPECT_GE(result.status, 500U) << path;
            EXPECT_EQ(result.fault, "") << path;
        }
        EXPECT_NE(site.logOf(0).find("header limit"), std::string::npos) << "the heads did not arrive";
        for (const auto &upstream : site.upstreams()) {
            upstream->crash();
        }
    });
}

// Regression test: a caller that reads slowly had no deadline and kept reading an endless answer for minutes.
TEST(RelaySite, SlowCallerLeavesAtItsDeadline)
{
    runOnSite({}, [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults hang;
        hang.hang = true;
        setFaultsOfAll(site, hang);
        bool ended = false;
        const auto start = std::chrono::steady_clock::now();
        const auto caller = [&]() -> asio::awaitable<void> {
            caller_request request;
            request.path = kStreamPath;
            request.timeLeft = seconds(2);
            request.readPause = milliseconds(300);
            const caller_result result = co_await site.call(0, std::move(request));
            EXPECT_EQ(result.fault, "");
            ended = true;
        };
        asio::co_spawn(co_await asio::this_coro::executor, caller, asio::detached);
        // The prefill waits by now, after the decode engine has reserved memory. The decode then gets an answer without end.
        co_await pauseFor(milliseconds(300));
        for (const auto &upstream : site.upstreams()) {
            standins::upstream_faults faults;
            faults.endlessAnswers = upstream->id().find("decode") != std::string::npos;
            upstream->setFaults(faults);
        }
        while (!ended && std::chrono::steady_clock::now() - start < seconds(30)) {
            co_await pauseFor(milliseconds(20));
        }
        EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(4));
        setFaultsOfAll(site, {});
    });
}
