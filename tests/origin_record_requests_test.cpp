#include <gtest/gtest.h>

#include <vector>

#include "relay/origin_record_requests.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kBegin = instant(seconds(1));

stream_origin originOf(std::uint64_t stream, std::uint32_t revision = 1)
{
    return {stream, revision, 14'000, "llm", "v1"};
}

} // namespace

TEST(OriginRecordRequests, StreamIsRecordedOnceItsRequestIsAcknowledged)
{
    auto requests = origin_record_requests::make({});
    EXPECT_FALSE(requests.isOpen(7));
    requests.add(originOf(7));
    EXPECT_TRUE(requests.isOpen(7));
    const std::vector<due_record_request> due = requests.dueRequests(kBegin);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().request.origin, originOf(7));
    EXPECT_TRUE(requests.dueRequests(kBegin).empty());
    requests.onAck({due.front().request.number, 8});
    EXPECT_TRUE(requests.isOpen(7));
    requests.onAck({due.front().request.number, 7});
    EXPECT_FALSE(requests.isOpen(7));
}

// A stream is taken up by the last revision of its origin, so the record of an earlier one isn't enough.
TEST(OriginRecordRequests, StreamIsOpenUntilItsLastRevisionIsAcknowledged)
{
    auto requests = origin_record_requests::make({});
    requests.add(originOf(7, 1));
    requests.add(originOf(7, 2));
    const std::vector<due_record_request> due = requests.dueRequests(kBegin);
    ASSERT_EQ(due.size(), 2U);
    requests.onAck({due.front().request.number, 7});
    EXPECT_TRUE(requests.isOpen(7));
    requests.onAck({due.back().request.number, 7});
    EXPECT_FALSE(requests.isOpen(7));
}

// Load pattern: the store or both recorders are away, so that no stream must wait for its record any more.
TEST(OriginRecordRequests, RecordersAreOverdueWhileARequestIsUnansweredForTooLong)
{
    auto requests = origin_record_requests::make({});
    requests.add(originOf(1));
    EXPECT_FALSE(requests.isOverdue(kBegin + seconds(9)));
    const std::uint32_t first = requests.dueRequests(kBegin).front().request.number;
    EXPECT_FALSE(requests.isOverdue(kBegin + milliseconds(299)));
    EXPECT_TRUE(requests.isOverdue(kBegin + milliseconds(300)));
    requests.add(originOf(2));
    requests.dueRequests(kBegin + milliseconds(200));
    requests.onAck({first, 1});
    EXPECT_FALSE(requests.isOverdue(kBegin + milliseconds(300)));
}

TEST(OriginRecordRequests, RequestsAreRepeatedLessAndLessOftenAndGivenUp)
{
    auto requests = origin_record_requests::make({});
    requests.add(originOf(1));
    std::vector<milliseconds> sentAfter;
    for (milliseconds after(0); after < seconds(20); after += milliseconds(100)) {
        const std::vector<due_record_request> due = requests.dueRequests(kBegin + after);
        if (!due.empty()) {
            sentAfter.push_back(after);
            EXPECT_EQ(due.front().sends, sentAfter.size());
        }
    }
    EXPECT_EQ(sentAfter, (std::vector<milliseconds>{milliseconds(0), milliseconds(300), milliseconds(900), milliseconds(2'100), milliseconds(4'500)}));
    EXPECT_FALSE(requests.isOpen(1));
    EXPECT_EQ(requests.size(), 0U);
}

// Load pattern: the recorders are lost, and others take their place.
TEST(OriginRecordRequests, OpenRequestsAreSentToOtherRecordersAtOnce)
{
    auto requests = origin_record_requests::make({});
    requests.add(originOf(1));
    requests.add(originOf(2));
    const std::uint32_t first = requests.dueRequests(kBegin).front().request.number;
    requests.onAck({first, 1});
    requests.repeatAll();
    const std::vector<due_record_request> again = requests.dueRequests(kBegin + milliseconds(1));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().request.origin, originOf(2));
}

TEST(OriginRecordRequests, MemoryIsBounded)
{
    origin_record_request_settings settings;
    settings.maxOpen = 10;
    auto requests = origin_record_requests::make(settings);
    for (std::uint64_t stream = 0; stream < 100; ++stream) {
        EXPECT_EQ(requests.add(originOf(stream)), stream < 10);
    }
    EXPECT_EQ(requests.size(), 10U);
    EXPECT_FALSE(requests.isOpen(99));
}
