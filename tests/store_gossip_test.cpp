#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

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

namespace
{

/// What happened in a fleet of entries that read a store.
struct fleet_outcome
{
    std::set<std::size_t> readers; ///< Ranks of the entries that tried to read.
    std::size_t attempts = 0;
    std::size_t senders = 0; ///< Entries that sent updates to all others.
    duration oldest{}; ///< Greatest age of what an entry knew.
};

/// Plays a fleet of @p count entries whose first @p lost ranks are gone, but still counted as alive, for @p length. The entries know a read
/// that is as old as the last one of a reader may be. If the store fails, retries follow the minimum delay of each entry.
fleet_outcome playFleet(std::size_t count, std::size_t lost, bool storeFails, duration length)
{
    struct entry
    {
        store_gossip gossip = store_gossip::make({});
        instant nextRead{};
        instant knownAt{};
        bool hasSent = false;
    };
    std::vector<entry> entries(count);
    for (std::size_t rank = 0; rank < count; ++rank) {
        entries[rank].gossip.setRank(rank);
        entries[rank].gossip.setEntries(count);
        entries[rank].gossip.noteReceived(instant{}, {});
    }
    constexpr milliseconds kTick{100};
    constexpr milliseconds kReadInterval{900};
    constexpr milliseconds kRetryInterval{300};
    fleet_outcome outcome;
    for (instant now{}; now < instant{} + length; now += kTick) {
        std::vector<store_update> sent;
        for (std::size_t rank = lost; rank < count; ++rank) {
            entry &each = entries[rank];
            outcome.oldest = std::max(outcome.oldest, now - each.knownAt);
            if (each.gossip.shouldRead(now) && now >= each.nextRead) {
                outcome.readers.insert(rank);
                outcome.attempts += 1;
                each.nextRead = now + (storeFails ? std::max<duration>(kRetryInterval, each.gossip.retryDelay()) : duration(kReadInterval));
                if (!storeFails) {
                    each.gossip.noteRead(now);
                    each.knownAt = now;
                }
            }
            for (store_update &update : each.gossip.dueMessages(now, 1)) {
                outcome.senders += std::exchange(each.hasSent, true) ? 0 : 1;
                sent.push_back(std::move(update));
            }
        }
        for (const store_update &update : sent) {
            for (std::size_t rank = lost; rank < count && update.readsStore; ++rank) {
                const duration age = milliseconds(update.readAgeMs);
                entries[rank].gossip.noteReceived(now, age);
                entries[rank].knownAt = std::max(entries[rank].knownAt, now - age);
            }
        }
    }
    return outcome;
}

} // namespace

// Load pattern: all readers of a fleet of 295 entries are killed, or the store refuses them, and it takes the membership some seconds to notice.
// Before, all other entries read the store until then.
TEST(StoreGossip, FewEntriesTakeOverWhenAllReadersAreLost)
{
    const fleet_outcome outcome = playFleet(295, 3, false, seconds(6));
    EXPECT_LE(outcome.readers.size(), 9U);
    EXPECT_LE(outcome.senders, 9U);
    EXPECT_LE(outcome.oldest, milliseconds(1'650)) << "the platform allows 2 s until a leaving upstream must get no more requests";
}

// Load pattern: more than the readers and the first that take over are lost at once.
TEST(StoreGossip, OtherEntriesTakeOverWhenTheFirstSubstitutesAreLostToo)
{
    const fleet_outcome outcome = playFleet(295, 6, false, seconds(6));
    EXPECT_LE(outcome.readers.size(), 6U);
    EXPECT_LE(outcome.oldest, milliseconds(1'650));
}

TEST(StoreGossip, EntriesReadForThemselvesWhenNobodyReadsForThem)
{
    const fleet_outcome outcome = playFleet(295, 12, false, seconds(6));
    EXPECT_EQ(outcome.readers.size(), 283U);
    EXPECT_EQ(outcome.senders, 0U);
    EXPECT_LE(outcome.oldest, milliseconds(1'800));
}

// Load pattern: the store is away for eight seconds, and all calls to it are paid for. Before, each of 295 entries tried about once in 0.75 s.
TEST(StoreGossip, RetriesOfALargeFleetAreBoundedWhileTheStoreFails)
{
    const fleet_outcome large = playFleet(295, 0, true, seconds(8));
    EXPECT_LE(large.attempts, 1'500U);
    const fleet_outcome small = playFleet(12, 0, true, seconds(8));
    EXPECT_GE(small.attempts, 12U * 15U) << "a small fleet notices its return as soon as before";
}

TEST(StoreGossip, EntryThatHasJustStartedWaitsForTheOthers)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteStarted(instant{});
    EXPECT_FALSE(gossip.shouldRead(instant{} + milliseconds(1'400))) << "without any other known it ranks first";
    EXPECT_TRUE(gossip.shouldRead(instant{} + milliseconds(1'500)));
    gossip.setRank(50);
    EXPECT_FALSE(gossip.shouldRead(instant{} + milliseconds(3'100)));
    EXPECT_TRUE(gossip.shouldRead(instant{} + milliseconds(3'200)));
}

// Names begin with the availability zone, so the first ones by name are lost together.
TEST(StoreGossip, ReadersAreSpreadOverTheZones)
{
    std::vector<std::string> names;
    for (const char *zone : {"cam-le", "hai-chau", "lien-chieu", "ngu-hanh", "son-tra", "thanh-khe"}) {
        for (int i = 1; i <= 50; ++i) {
            names.push_back("front-" + std::string(zone) + "-" + std::to_string(i));
        }
    }
    std::sort(names.begin(), names.end(), precedesInReading);
    std::set<std::string> zones;
    for (std::size_t i = 0; i < 6; ++i) {
        zones.insert(names[i].substr(0, names[i].rfind('-')));
    }
    EXPECT_GE(zones.size(), 3U);
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

// Load pattern: the store comes back and the configuration changes soon after. Entries that don't read for others learned of it only when the
// readers were sure of their lists again, seconds later.
TEST(StoreGossip, NewerConfigurationIsToldWhileTheListOfAReaderIsUncertain)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteRead(instant{});
    EXPECT_FALSE(gossip.dueMessages(instant{} + milliseconds(500), 7).empty());
    EXPECT_TRUE(gossip.dueMessages(instant{} + seconds(9), 7).empty());
    const auto messages = gossip.dueMessages(instant{} + seconds(10), 8);
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages.front().configVersion, 8U);
    EXPECT_FALSE(messages.front().readsStore);
    EXPECT_TRUE(gossip.dueMessages(instant{} + seconds(11), 8).empty()) << "a version is told once";
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

// An engine may come back twice between two messages, and the entries that don't read the store must learn of the version in between.
TEST(StoreGossip, ChangesOfEachInstanceAreSentInOrder)
{
    store_gossip gossip = store_gossip::make({});
    gossip.noteRead(instant{});
    for (const std::uint64_t startedAt : {1U, 2U, 3U, 3U}) {
        upstream_update update = updateOf("a");
        update.run.startedAt = startedAt;
        gossip.noteChange(instant{}, update);
    }
    const auto messages = gossip.dueMessages(instant{}, 1);
    std::vector<std::uint64_t> starts;
    for (const store_update &message : messages) {
        for (const upstream_update &change : message.changes) {
            starts.push_back(change.run.startedAt);
        }
    }
    EXPECT_EQ(starts, (std::vector<std::uint64_t>{1, 2, 3}));
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
