#include "relay/stream_end.h"

#include <gtest/gtest.h>

using namespace heatherroute;
using net::body_framing;

// Load pattern: engines answer without a length and break off streams while they stay alive.
TEST(StreamEnd, StreamsThatEndBetweenTwoEventsAreComplete)
{
    for (const body_framing framing : {body_framing::Length, body_framing::Chunks, body_framing::ConnectionClose}) {
        EXPECT_EQ(faultOf({framing, 1, false}), "");
        EXPECT_EQ(faultOf({framing, 69, false}), "");
    }
}

TEST(StreamEnd, StreamsThatEndInsideAnEventAreBroken)
{
    for (const body_framing framing : {body_framing::Length, body_framing::Chunks, body_framing::ConnectionClose}) {
        EXPECT_EQ(faultOf({framing, 0, true}), "ended_inside_event");
        EXPECT_EQ(faultOf({framing, 68, true}), "ended_inside_event");
    }
}

TEST(StreamEnd, StreamsWithoutEventAreCompleteOnlyIfTheirLengthIsKnown)
{
    EXPECT_EQ(faultOf({body_framing::Length, 0, false}), "");
    EXPECT_EQ(faultOf({body_framing::Chunks, 0, false}), "");
    EXPECT_EQ(faultOf({body_framing::ConnectionClose, 0, false}), "ended_without_event");
}
