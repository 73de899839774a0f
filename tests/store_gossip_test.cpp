#include <gtest/gtest.h>

#include "relay/store_gossip.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

upstream_update updateOf(const std::string &id, bool gone = false)
{
    upstream_update update;
    update.run.id = id;
    update.gone = gone;
    return update;
}

} // namespace

// Load pattern: 126 entries know each other; only three may read the store, and the others receive updates from them.
TEST(StoreGossip, FewEntriesReadForAll)
{
    std::size_t readers = 0;
    for (std::size_t rank = 0; rank < 126; ++rank) {
        store_gossip gossip = store_gossip::make({});
        gossip.setRank(rank);
        gossip.noteReceived(instant{}, {});
        readers += gossip.shouldRead(instant{} + seconds(1)) ? 1 : 0;
    }
    EXPECT_EQ(readers, 3U);
}

TEST(StoreGossip, EntryWithoutUpdatesReadsTheStoreItself)
{
    store_gossip gossip = store_gossip::make({});
    gossip.setRank(50);
    EXPECT_TRUE(gossip.shouldRead(instant{}));
    gossip.noteReceived(instant{}, {});
    EXPECT_FALSE(gossip.shouldRead(instant{} + milliseconds(1500)));
    gossip.noteReceived(instant{} + milliseconds(1'500), milliseconds(1'400));
    EXPECT_TRUE(gossip.shouldRead(instant{} + milliseconds(1'800))) << "the age of an update counts from the read on which it is based";
    EXPECT_TRUE(gossip.shouldRead(instant{} + seconds(2)));
}

// Load pattern: a reader's list is uncertain for two seconds after an outage of the store, and others rely on it afterwards.
TEST(StoreGossip, ChangesThatAReaderCannotSendYetAreSentOnceItCan)
{
    store_gossip gossip = store_gossip::make({});
    int sent = 0;
    gossip.noteChange(instant{}, updateOf("a"));
    for (instant now{}; now < instant{} + seconds(10); now += milliseconds(100)) {
        if (now > instant{} + milliseconds(2'500)) {
            gossip.noteRead(now);
        }
        for (const store_update &update : gossip.dueMessages(now, 7)) {
            sent += static_cast<int>(update.changes.size());
        }
    }
    EXPECT_GE(sent, 4);
    EXPECT_LE(sent, 10);
}

// Load pattern: the store comes back, a reader sees at once that an upstream drains, and entries that can't read it go on using that upstream.
TEST(StoreGossip, ChangesAreToldWhileTheListOfAReaderIsUncertain)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteChange(instant{}, updateOf("a"));
    const auto messages = gossip.dueMessages(instant{}, 7);
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages.front().changes.size(), 1U);
    EXPECT_FALSE(messages.front().readsStore);
}

TEST(StoreGossip, EntryThatIsNoReaderForgetsChanges)
{
    store_gossip gossip = store_gossip::make({});
    gossip.setRank(50);
    gossip.noteChange(instant{}, updateOf("a"));
    EXPECT_TRUE(gossip.dueMessages(instant{} + seconds(3), 7).empty());
    gossip.setRank(0);
    gossip.noteRead(instant{} + seconds(3));
    for (const store_update &update : gossip.dueMessages(instant{} + seconds(3), 7)) {
        EXPECT_TRUE(update.changes.empty());
    }
}

TEST(StoreGossip, ChangesAreSentAgainForSomeSeconds)
{
    store_gossip gossip = store_gossip::make({});
    int sent = 0;
    gossip.noteChange(instant{}, updateOf("a"));
    for (instant now{}; now < instant{} + seconds(10); now += milliseconds(100)) {
        gossip.noteRead(now);
        for (const store_update &update : gossip.dueMessages(now, 7)) {
            EXPECT_EQ(update.configVersion, 7U);
            sent += static_cast<int>(update.changes.size());
        }
    }
    EXPECT_GE(sent, 4);
    EXPECT_LE(sent, 10);
}

TEST(StoreGossip, UrgentChangeIsSentAtOnce)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteRead(instant{});
    EXPECT_EQ(gossip.dueMessages(instant{}, 1).size(), 1U);
    const instant soon = instant{} + milliseconds(100);
    gossip.noteChange(soon, updateOf("a"));
    EXPECT_TRUE(gossip.dueMessages(soon, 1).empty());
    gossip.noteUrgentChange(soon, updateOf("b"));
    ASSERT_EQ(gossip.dueMessages(soon, 1).size(), 1U);
}

TEST(StoreGossip, LeaseHolderAnnouncesItsClaimWithoutReadingAndItsReleaseOnce)
{
    store_gossip gossip = store_gossip::make({});
    gossip.setRank(50);
    gossip.setLease(lease_claim::Held);
    const auto held = gossip.dueMessages(instant{}, 1);
    ASSERT_EQ(held.size(), 1U);
    EXPECT_EQ(held.front().lease, lease_claim::Held);
    EXPECT_FALSE(held.front().readsStore);
    gossip.setLease(lease_claim::Released);
    const auto released = gossip.dueMessages(instant{} + milliseconds(100), 1);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released.front().lease, lease_claim::Released);
    EXPECT_TRUE(gossip.dueMessages(instant{} + seconds(2), 1).empty());
}

TEST(StoreGossip, ReaderThatLostTheStoreSendsNothing)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteRead(instant{});
    EXPECT_FALSE(gossip.dueMessages(instant{} + milliseconds(500), 1).empty());
    EXPECT_TRUE(gossip.dueMessages(instant{} + seconds(3), 1).empty()) << "the other entries must then read the store themselves";
}

TEST(StoreGossip, OnlyTheNewestChangeOfAnUpstreamIsSent)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteRead(instant{});
    gossip.noteChange(instant{}, updateOf("a"));
    gossip.noteChange(instant{}, updateOf("a", true));
    for (int i = 0; i < 9; ++i) {
        gossip.noteChange(instant{}, updateOf("b" + std::to_string(i)));
    }
    const auto messages = gossip.dueMessages(instant{}, 1);
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_TRUE(messages.front().changes.front().gone);
    for (const store_update &message : messages) {
        EXPECT_LE(message.changes.size(), kMaxChangesPerMessage);
    }
}
