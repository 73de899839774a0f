// Runs entries before upstreams and a store whose answers are framed by the end of their connection, whole and broken off.
#include <gtest/gtest.h>

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

void setFaultsOfAll(relay_site &site, const standins::upstream_faults &faults)
{
    for (const auto &upstream : site.upstreams()) {
        upstream->setFaults(faults);
    }
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
