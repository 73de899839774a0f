#include <gtest/gtest.h>

#include "relay/news_board.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

upstream_news updateOf(const std::string &id, bool gone = false)
{
    upstream_news update;
    update.run.id = id;
    update.gone = gone;
    return update;
}

} // namespace

// Load pattern: 126 entries know each other; only three may read the store, and the others receive updates from them.
TEST(NewsBoard, FewEntriesReadForAll)
{
    std::size_t readers = 0;
    for (std::size_t rank = 0; rank < 126; ++rank) {
        news_board gossip = news_board::make({});
        gossip.setRank(rank);
        gossip.noteHeard(instant{}, {});
        readers += gossip.shouldRead(instant{} + seconds(1)) ? 1 : 0;
    }
    EXPECT_EQ(readers, 3U);
}

TEST(NewsBoard, EntryWithoutUpdatesReadsTheStoreItself)
{
    news_board gossip = news_board::make({});
    gossip.setRank(50);
    EXPECT_TRUE(gossip.shouldRead(instant{}));
    gossip.noteHeard(instant{}, {});
    EXPECT_FALSE(gossip.shouldRead(instant{} + milliseconds(1500)));
    gossip.noteHeard(instant{} + milliseconds(1'500), milliseconds(1'400));
    EXPECT_TRUE(gossip.shouldRead(instant{} + milliseconds(1'800))) << "the age of an update counts from the read on which it is based";
    EXPECT_TRUE(gossip.shouldRead(instant{} + seconds(2)));
}

TEST(NewsBoard, ChangesAreSentAgainForSomeSeconds)
{
    news_board gossip = news_board::make({});
    int sent = 0;
    gossip.noteChange(instant{}, updateOf("a"));
    for (instant now{}; now < instant{} + seconds(10); now += milliseconds(100)) {
        gossip.noteRead(now);
        for (const store_news &update : gossip.due(now, 7)) {
            EXPECT_EQ(update.configVersion, 7U);
            sent += static_cast<int>(update.changes.size());
        }
    }
    EXPECT_GE(sent, 4);
    EXPECT_LE(sent, 10);
}

TEST(NewsBoard, UrgentChangeIsSentAtOnce)
{
    news_board gossip = news_board::make({});
    gossip.noteRead(instant{});
    EXPECT_EQ(gossip.due(instant{}, 1).size(), 1U);
    const instant soon = instant{} + milliseconds(100);
    gossip.noteChange(soon, updateOf("a"));
    EXPECT_TRUE(gossip.due(soon, 1).empty());
    gossip.noteUrgentChange(soon, updateOf("b"));
    ASSERT_EQ(gossip.due(soon, 1).size(), 1U);
}

TEST(NewsBoard, LeaseHolderAnnouncesItsClaimWithoutReadingAndItsReleaseOnce)
{
    news_board gossip = news_board::make({});
    gossip.setRank(50);
    gossip.setLease(lease_word::Held);
    const auto held = gossip.due(instant{}, 1);
    ASSERT_EQ(held.size(), 1U);
    EXPECT_EQ(held.front().lease, lease_word::Held);
    EXPECT_FALSE(held.front().reads);
    gossip.setLease(lease_word::GivenUp);
    const auto givenUp = gossip.due(instant{} + milliseconds(100), 1);
    ASSERT_EQ(givenUp.size(), 1U);
    EXPECT_EQ(givenUp.front().lease, lease_word::GivenUp);
    EXPECT_TRUE(gossip.due(instant{} + seconds(2), 1).empty());
}

TEST(NewsBoard, ReaderThatLostTheStoreSendsNothing)
{
    news_board gossip = news_board::make({});
    gossip.noteRead(instant{});
    EXPECT_FALSE(gossip.due(instant{} + milliseconds(500), 1).empty());
    EXPECT_TRUE(gossip.due(instant{} + seconds(3), 1).empty()) << "the other entries must then read the store themselves";
}

TEST(NewsBoard, OnlyTheNewestChangeOfAnUpstreamIsSent)
{
    news_board gossip = news_board::make({});
    gossip.noteRead(instant{});
    gossip.noteChange(instant{}, updateOf("a"));
    gossip.noteChange(instant{}, updateOf("a", true));
    for (int i = 0; i < 9; ++i) {
        gossip.noteChange(instant{}, updateOf("b" + std::to_string(i)));
    }
    const auto messages = gossip.due(instant{}, 1);
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_TRUE(messages.front().changes.front().gone);
    for (const store_news &message : messages) {
        EXPECT_LE(message.changes.size(), kMaxChangesPerMessage);
    }
}
