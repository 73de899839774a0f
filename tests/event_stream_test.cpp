#include "net/event_stream.h"

#include <gtest/gtest.h>

#include <string>

using namespace heatherroute;

namespace
{

/// Feeds @p stream in pieces of @p size bytes.
net::event_boundary_tracker follow(std::string_view stream, std::size_t size)
{
    net::event_boundary_tracker tracker;
    for (std::size_t at = 0; at < stream.size(); at += size) {
        tracker.feed(stream.substr(at, size));
    }
    return tracker;
}

} // namespace

TEST(EventBoundaryTracker, CompleteEventsAreCountedInPiecesOfAnySize)
{
    for (const std::string_view stream : {"id: 1\ndata: a\n\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", "id: 1\rdata: a\r\rdata: b\r\r"}) {
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            const auto tracker = follow(stream, size);
            EXPECT_EQ(tracker.events(), 2U) << size;
            EXPECT_FALSE(tracker.isInsideEvent()) << size;
        }
    }
}

TEST(EventBoundaryTracker, EveryCutInsideAnEventIsDetected)
{
    const std::string_view stream = "id: 1\ndata: a\n\n";
    for (std::size_t length = 1; length < stream.size(); ++length) {
        for (const std::size_t size : {std::size_t{1}, std::size_t{3}, length}) {
            const auto tracker = follow(stream.substr(0, length), size);
            EXPECT_TRUE(tracker.isInsideEvent()) << length;
            EXPECT_EQ(tracker.events(), 0U) << length;
        }
    }
}

TEST(EventBoundaryTracker, CommentsAndEmptyLinesAreNoEvents)
{
    for (const std::string_view stream : {"", "\n", "\r\n\r\n", ": ping\n", ": ping\n\n", ":\r\r"}) {
        const auto tracker = follow(stream, 1);
        EXPECT_EQ(tracker.events(), 0U) << stream;
        EXPECT_FALSE(tracker.isInsideEvent()) << stream;
    }
    EXPECT_TRUE(follow(": pi", 1).isInsideEvent());
    EXPECT_TRUE(follow("data: a\n: ping\n", 1).isInsideEvent());
}
