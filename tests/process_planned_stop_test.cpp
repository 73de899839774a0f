#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
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

constexpr double kStopGraceS = 5;
/// Time from the stop signal until the entry aborts what is still running: the grace, less the margin of the stop plan.
constexpr milliseconds kAbortAfter{4'300};

/// A request whose body a caller sends in two parts, with any time between them.
class slow_request
{
public:
    /// Connects to entry @p index and sends the head and the first half of the body.
    static asio::awaitable<std::unique_ptr<slow_request>> begin(relay_site &site, std::size_t index, std::string path, std::string id)
    {
        std::unique_ptr<slow_request> request(new slow_request(site.executor()));
        co_await request->m_socket.async_connect(site.callerEndpoint(index), asio::use_awaitable);
        const std::string head = "POST " + path + " HTTP/1.1\r\nHost: " + std::string(kSiteHost) + "\r\nX-Attempt-Id: " + id
                                 + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 8\r\n\r\nhalf";
        co_await asio::async_write(request->m_socket, asio::buffer(head), asio::use_awaitable);
        co_return request;
    }

    /// Sends the rest of the body and returns all that arrives until the connection ends.
    asio::awaitable<std::string> finish()
    {
        boost::system::error_code error;
        co_await asio::async_write(m_socket, asio::buffer(std::string("rest")), asio::redirect_error(asio::use_awaitable, error));
        std::string received;
        std::string piece(4096, '\0');
        while (!error) {
            const std::size_t count = co_await m_socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
            received.append(piece, 0, count);
        }
        co_return received;
    }

private:
    explicit slow_request(const asio::any_io_executor &executor)
        : m_socket(executor)
    { }

    asio::ip::tcp::socket m_socket;
};

relay_site_settings stopSettings()
{
    relay_site_settings settings;
    settings.stopGraceS = kStopGraceS;
    return settings;
}

} // namespace

// Load pattern: in a planned stop without other trouble, the body of a booking arrives so late that its upstream would still be at work when the
// process ends. It must be told that it has not run, and not run.
TEST(ProcessPlannedStop, BookingThatArrivesLateInTheGraceIsRefusedAsNotRun)
{
    runOnSite(stopSettings(), [](relay_site &site) -> asio::awaitable<void> {
        standins::upstream_faults faults;
        faults.hang = true; // Longer than what is left of the grace.
        setFaultsOfAll(site, faults);
        // A stream in progress keeps the entry running until the abort.
        bool isStreamOpen = true;
        const auto stream = [&]() -> asio::awaitable<void> {
            co_await site.call(0, kStreamPath, seconds(14));
            isStreamOpen = false;
        };
        asio::co_spawn(co_await asio::this_coro::executor, stream, asio::detached);
        std::vector<std::unique_ptr<slow_request>> requests;
        const std::vector<milliseconds> bodyEnds = {kAbortAfter - milliseconds(600), kAbortAfter - milliseconds(150), kAbortAfter + milliseconds(90)};
        for (std::size_t i = 0; i < bodyEnds.size(); ++i) {
            requests.push_back(co_await slow_request::begin(site, 0, kBookingPath, "late" + std::to_string(i)));
        }
        co_await pauseFor(milliseconds(200));
        const auto stoppedAt = std::chrono::steady_clock::now();
        site.entry(0).signal(SIGTERM);
        int open = 0;
        for (std::size_t i = 0; i < bodyEnds.size(); ++i) {
            const auto send = [&, i]() -> asio::awaitable<void> {
                const auto passed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
                co_await pauseFor(std::max(milliseconds(0), bodyEnds[i] - passed));
                const std::string answer = co_await requests[i]->finish();
                EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << bodyEnds[i].count() << " ms after the signal: \"" << answer.substr(0, 200) << '"';
                EXPECT_NE(answer.find("Retry-After"), std::string::npos);
                EXPECT_EQ(site.runCountOf("late" + std::to_string(i)), 0) << bodyEnds[i].count() << " ms after the signal";
                --open;
            };
            ++open;
            asio::co_spawn(co_await asio::this_coro::executor, send, asio::detached);
        }
        while (open > 0 || isStreamOpen) {
            co_await pauseFor(milliseconds(20));
        }
        EXPECT_EQ(site.entry(0).waitForEnd(seconds(2)), 0);
    });
}

// A booking that still has time to end is served, so that callers with a cached address notice nothing.
TEST(ProcessPlannedStop, BookingWithEnoughTimeLeftIsServed)
{
    runOnSite(stopSettings(), [](relay_site &site) -> asio::awaitable<void> {
        auto request = co_await slow_request::begin(site, 0, kBookingPath, "early");
        site.entry(0).signal(SIGTERM);
        co_await pauseFor(milliseconds(1'500));
        const std::string answer = co_await request->finish();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer.substr(0, 200);
        EXPECT_EQ(site.runCountOf("early"), 1);
    });
}

// Load pattern: a caller that knows the address of a stopping entry begins a stream there that takes longer than what is left of the grace. It
// is told at once, and is served by another entry.
TEST(ProcessPlannedStop, StreamThatWouldBeCutIsRefusedAtOnce)
{
    relay_site_settings settings = stopSettings();
    settings.eventInterval = milliseconds(300); // 3.6 s for a whole stream.
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        // Streams that have ended show the entry how long they take.
        for (int i = 0; i < 2; ++i) {
            const caller_result known = co_await site.call(0, kStreamPath, seconds(14));
            EXPECT_TRUE(known.isComplete);
        }
        site.entry(0).signal(SIGTERM);
        co_await pauseFor(milliseconds(2'000));
        const auto sentAt = std::chrono::steady_clock::now();
        const caller_result refused = co_await site.call(0, kStreamPath, seconds(14));
        EXPECT_EQ(refused.status, 503U);
        EXPECT_NE(refused.refusal.find("stopping"), std::string::npos);
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt, milliseconds(500));
        EXPECT_EQ(site.runCountOf(refused.id), 0);
        const caller_result served = co_await site.call(1, kStreamPath, seconds(14));
        EXPECT_TRUE(served.isComplete);
    });
}

// Load pattern: streams of 0.36 s have been served, and in a planned stop one of 3.9 s begins that its caller can't take up elsewhere. It was expected
// to take as long as the others, sent on, and cut in the middle.
TEST(ProcessPlannedStop, LongStreamThatCannotBeTakenUpIsRefusedAsNotRun)
{
    constexpr std::uint32_t kUsualEvents = 12;
    constexpr std::uint32_t kLongEvents = 130;
    relay_site_settings settings = stopSettings();
    settings.eventInterval = milliseconds(30);
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        caller_request usual;
        usual.path = kStreamPath;
        usual.timeLeft = seconds(14);
        usual.maxOutputTokens = kUsualEvents;
        for (int i = 0; i < 8; ++i) {
            caller_request next = usual;
            const caller_result known = co_await site.call(0, std::move(next));
            EXPECT_TRUE(known.isComplete);
        }
        site.entry(0).signal(SIGTERM);
        co_await pauseFor(milliseconds(1'500));
        caller_request last = usual;
        const caller_result shortOne = co_await site.call(0, std::move(last));
        EXPECT_EQ(shortOne.status, 200U) << "it ends within the grace: " << shortOne.refusal;
        EXPECT_TRUE(shortOne.isComplete);
        for (const auto &upstream : site.upstreams()) {
            upstream->setEvents(kLongEvents);
        }
        caller_request longOne = usual;
        longOne.maxOutputTokens = kLongEvents;
        const caller_result refused = co_await site.call(0, std::move(longOne));
        EXPECT_EQ(refused.status, 503U) << "last event " << refused.lastEvent;
        EXPECT_NE(refused.refusal.find("stopping"), std::string::npos) << refused.refusal;
        EXPECT_EQ(site.runCountOf(refused.id), 0);
    });
}

// Load pattern: the store is away while a stream begins, its entry stops, the store comes back, and then all entries lose power. The stopping entry had
// dropped what it still had to write, so that the caller could not go on with the stream.
TEST(ProcessPlannedStop, StoppingEntryWritesWhatItHadToWriteOnceTheStoreIsBack)
{
    relay_site_settings settings;
    settings.entries = 2;
    settings.decodeVersions = {"v1", "v1.1"};
    settings.eventInterval = milliseconds(400);
    settings.stopGraceS = 20;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        co_await pauseFor(seconds(2)); // Until the entries know each other.
        for (const std::size_t entry : {0, 1}) {
            site.storeProxy(entry).setFault(proxy_fault::Refuse);
            site.storeProxy(entry).resetAll();
        }
        std::optional<caller_result> begun;
        const auto stream = [&]() -> asio::awaitable<void> { begun = co_await site.call(0, kStreamPath, seconds(14)); };
        asio::co_spawn(co_await asio::this_coro::executor, stream, asio::detached);
        co_await pauseFor(milliseconds(1'500));
        site.entry(0).signal(SIGTERM);
        co_await pauseFor(milliseconds(300));
        site.storeProxy(0).setFault(proxy_fault::None);
        co_await pauseFor(milliseconds(1'500));
        EXPECT_FALSE(begun) << "the stream runs until the loss of power";
        for (const std::size_t entry : {0, 1}) {
            site.entry(entry).signal(SIGKILL);
            site.entry(entry).waitForEnd(seconds(5));
        }
        site.storeProxy(1).setFault(proxy_fault::None);
        for (const std::size_t entry : {0, 1}) {
            EXPECT_TRUE(site.restart(entry, nullptr));
        }
        co_await pauseFor(milliseconds(500));
        EXPECT_TRUE(begun && begun->lastEvent > 0);
        if (!begun) {
            co_return;
        }
        caller_request next;
        next.path = kStreamPath;
        next.timeLeft = seconds(14);
        next.resumes = begun->id;
        next.lastEvent = begun->lastEvent;
        const caller_result gone = co_await site.call(1, std::move(next));
        EXPECT_EQ(gone.status, 200U) << gone.refusal;
        EXPECT_TRUE(gone.isComplete);
    });
}
