#include <gtest/gtest.h>

#include "heatherroute/crash_gossip.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

instant at(duration time)
{
    return instant(seconds(100)) + time;
}

crash_report reportOf(std::uint64_t fingerprint)
{
    return {fingerprint, {"i-1", 1'000}, 0, false};
}

const std::vector<crash_report> &reportsIn(const crash_message &message)
{
    return std::get<crash_reports>(message).reports;
}

} // namespace

TEST(CrashGossip, ReportIsSentAtOnceAndAgainForAWhile)
{
    auto gossip = crash_gossip::make({});
    gossip.add(at(seconds(0)), reportOf(1));
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        const auto messages = gossip.dueMessages(at(milliseconds(100 * i)));
        sent += static_cast<int>(messages.size());
        EXPECT_EQ(messages.size(), i % 5 == 0 && i <= 20 ? 1U : 0U) << i;
    }
    EXPECT_EQ(sent, 5);
}

TEST(CrashGossip, AgeGrowsWithTheWait)
{
    auto gossip = crash_gossip::make({});
    crash_report report = reportOf(1);
    report.ageMs = 300;
    gossip.add(at(seconds(0)), report);
    static_cast<void>(gossip.dueMessages(at(seconds(0))));
    const auto messages = gossip.dueMessages(at(seconds(1)));
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(reportsIn(messages.front()).front().ageMs, 1'300U);
}

// Load pattern: an upstream crashes with many requests of one entry in flight.
TEST(CrashGossip, ManyReportsShareMessagesAndTheQueueIsBounded)
{
    crash_gossip_settings settings;
    settings.maxQueued = 20;
    auto gossip = crash_gossip::make(settings);
    for (std::uint64_t i = 0; i < 100; ++i) {
        gossip.add(at(seconds(0)), reportOf(i));
    }
    const auto messages = gossip.dueMessages(at(seconds(0)));
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_EQ(reportsIn(messages.front()).size(), kMaxCrashReportsPerMessage);
    EXPECT_EQ(reportsIn(messages.back()).back(), reportOf(99));
}

TEST(CrashGossip, ReportThatIsAddedAgainIsQueuedOnce)
{
    auto gossip = crash_gossip::make({});
    gossip.add(at(seconds(0)), reportOf(1));
    gossip.add(at(seconds(1)), reportOf(1));
    const auto messages = gossip.dueMessages(at(seconds(1)));
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(reportsIn(messages.front()).size(), 1U);
}

TEST(CrashGossip, OpenAttemptsAreSentAgainLikeReports)
{
    auto gossip = crash_gossip::make({});
    gossip.add(at(seconds(0)), open_attempt{1, {"i-1", 1'000}, 200});
    static_cast<void>(gossip.dueMessages(at(seconds(0))));
    const auto messages = gossip.dueMessages(at(seconds(1)));
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(std::get<open_attempts>(messages.front()).reports.front().ageMs, 1'200U);
}
