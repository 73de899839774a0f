#include <gtest/gtest.h>

#include "relay/news_board.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

upstream_news newsOf(const std::string &id, bool gone = false)
{
    upstream_news news;
    news.run.id = id;
    news.gone = gone;
    return news;
}

} // namespace

// Load pattern: 126 entries that know of each other; three may read the store, the others hear from them.
TEST(NewsBoard, FewEntriesReadForAll)
{
    std::size_t readers = 0;
    for (std::size_t rank = 0; rank < 126; ++rank) {
        news_board board = news_board::make({});
        board.setRank(rank);
        board.noteHeard(instant{}, {});
        readers += board.shouldRead(instant{} + seconds(1)) ? 1 : 0;
    }
    EXPECT_EQ(readers, 3U);
}

TEST(NewsBoard, EntryThatHearsNobodyReadsItself)
{
    news_board board = news_board::make({});
    board.setRank(50);
    EXPECT_TRUE(board.shouldRead(instant{}));
    board.noteHeard(instant{}, {});
    EXPECT_FALSE(board.shouldRead(instant{} + milliseconds(1500)));
    board.noteHeard(instant{} + milliseconds(1'500), milliseconds(1'400));
    EXPECT_TRUE(board.shouldRead(instant{} + milliseconds(1'800))) << "a word counts from the read that it tells of";
    EXPECT_TRUE(board.shouldRead(instant{} + seconds(2)));
}

TEST(NewsBoard, ChangesAreToldAgainForSomeSeconds)
{
    news_board board = news_board::make({});
    int told = 0;
    board.noteChange(instant{}, newsOf("a"));
    for (instant now{}; now < instant{} + seconds(10); now += milliseconds(100)) {
        board.noteRead(now);
        for (const store_news &news : board.due(now, 7)) {
            EXPECT_EQ(news.configVersion, 7U);
            told += static_cast<int>(news.changes.size());
        }
    }
    EXPECT_GE(told, 4);
    EXPECT_LE(told, 10);
}

TEST(NewsBoard, UrgentChangeIsToldAtOnce)
{
    news_board board = news_board::make({});
    board.noteRead(instant{});
    EXPECT_EQ(board.due(instant{}, 1).size(), 1U);
    const instant soon = instant{} + milliseconds(100);
    board.noteChange(soon, newsOf("a"));
    EXPECT_TRUE(board.due(soon, 1).empty());
    board.noteUrgentChange(soon, newsOf("b"));
    ASSERT_EQ(board.due(soon, 1).size(), 1U);
}

TEST(NewsBoard, HolderOfTheLeaseSaysSoWithoutReadingAndThatItGaveItUpOnce)
{
    news_board board = news_board::make({});
    board.setRank(50);
    board.setLease(lease_word::Held);
    const auto held = board.due(instant{}, 1);
    ASSERT_EQ(held.size(), 1U);
    EXPECT_EQ(held.front().lease, lease_word::Held);
    EXPECT_FALSE(held.front().reads);
    board.setLease(lease_word::GivenUp);
    const auto givenUp = board.due(instant{} + milliseconds(100), 1);
    ASSERT_EQ(givenUp.size(), 1U);
    EXPECT_EQ(givenUp.front().lease, lease_word::GivenUp);
    EXPECT_TRUE(board.due(instant{} + seconds(2), 1).empty());
}

TEST(NewsBoard, ReaderThatLostTheStoreIsSilent)
{
    news_board board = news_board::make({});
    board.noteRead(instant{});
    EXPECT_FALSE(board.due(instant{} + milliseconds(500), 1).empty());
    EXPECT_TRUE(board.due(instant{} + seconds(3), 1).empty()) << "the others must read themselves then";
}

TEST(NewsBoard, OnlyTheNewestChangeOfAnUpstreamIsTold)
{
    news_board board = news_board::make({});
    board.noteRead(instant{});
    board.noteChange(instant{}, newsOf("a"));
    board.noteChange(instant{}, newsOf("a", true));
    for (int i = 0; i < 9; ++i) {
        board.noteChange(instant{}, newsOf("b" + std::to_string(i)));
    }
    const auto messages = board.due(instant{}, 1);
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_TRUE(messages.front().changes.front().gone);
    for (const store_news &message : messages) {
        EXPECT_LE(message.changes.size(), kMaxNewsPerMessage);
    }
}
