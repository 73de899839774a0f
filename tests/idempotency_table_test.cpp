#include "core/idempotency_table.h"

#include <gtest/gtest.h>

using namespace heatherroute;
using namespace std::chrono_literals;

namespace
{

constexpr instant kStart{1h};
const idempotency_key kKey{"team", "shop", "slot-1"};

} // namespace

TEST(idempotency_table, duplicateGetsTheRecordedOutcome)
{
    idempotency_table table({});
    EXPECT_EQ(table.claim(kStart, kKey, 7), key_state::New);
    EXPECT_EQ(table.claim(kStart, kKey, 7), key_state::InFlight);
    table.recordAnswer(kStart, kKey, {201, "text/plain", "booked"});
    EXPECT_EQ(table.claim(kStart + 1min, kKey, 7), key_state::Answered);
    EXPECT_EQ(*table.answer(kKey), (stored_answer{201, "text/plain", "booked"}));
    EXPECT_EQ(table.claim(kStart + 1min, kKey, 8), key_state::OtherRequest);
    EXPECT_EQ(table.claim(kStart + 1min, {"team-2", "shop", "slot-1"}, 7), key_state::New);
}

TEST(idempotency_table, onlyACallThatDidNotRunReleasesItsKey)
{
    idempotency_table table({});
    table.claim(kStart, kKey, 7);
    table.release(kKey);
    EXPECT_EQ(table.claim(kStart, kKey, 7), key_state::New);
    table.recordUnknown(kStart, kKey);
    EXPECT_EQ(table.claim(kStart + 9min, kKey, 7), key_state::Unknown);
    EXPECT_EQ(table.claim(kStart + 10min, kKey, 7), key_state::New);
}

TEST(idempotency_table, fullTableRejectsNewKeysAndDropsLongAnswers)
{
    idempotency_table table({1, 4, 10min});
    table.claim(kStart, kKey, 7);
    EXPECT_EQ(table.claim(kStart, {"team", "shop", "slot-2"}, 7), key_state::TableFull);
    table.recordAnswer(kStart, kKey, {200, "text/plain", "too long"});
    EXPECT_EQ(table.claim(kStart, kKey, 7), key_state::AnswerDropped);
    EXPECT_EQ(table.answer(kKey), nullptr);
    EXPECT_EQ(table.claim(kStart + 10min, {"team", "shop", "slot-2"}, 7), key_state::New);
    EXPECT_EQ(table.size(), 1U);
    table.recordAnswer(kStart + 10min, {"team", "shop", "slot-2"}, {200, "text/plain", "fits"});
    EXPECT_NE(table.answer({"team", "shop", "slot-2"}), nullptr);
}
