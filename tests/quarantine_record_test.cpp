#include <gtest/gtest.h>

#include "relay/quarantine_record.h"

using namespace heatherroute;

namespace
{

constexpr std::int64_t kNow = 1'800'000'000'000;

const crash_evidence kEvidence = {{{0xabcdefU, {"i-1", 1'000}, 300, false}, {0xabcdefU, {"i-2", 2'000}, 100, false}}, {{0xabcdefU, {"i-3", 3'000}, 50}}};

} // namespace

TEST(QuarantineRecord, AgesGrowWithTheTimeInTheStore)
{
    const keyed_record record = makeQuarantineRecord(quarantineKeyOf("front-1"), kEvidence, kNow);
    EXPECT_TRUE(isQuarantineKey(record.key));
    const auto evidence = readQuarantineRecord(record, kNow + 5'000, nullptr);
    ASSERT_TRUE(evidence);
    const crash_evidence expected = {{{0xabcdefU, {"i-1", 1'000}, 5'300, false}, {0xabcdefU, {"i-2", 2'000}, 5'100, false}},
                                     {{0xabcdefU, {"i-3", 3'000}, 5'050}}};
    EXPECT_EQ(*evidence, expected);
    EXPECT_FALSE(isExpired(*evidence, std::chrono::milliseconds(5'200)));
    EXPECT_TRUE(isExpired(*evidence, std::chrono::seconds(5)));
}

TEST(QuarantineRecord, ClearedRequestsAreReadAndOlderRecordsHaveNone)
{
    crash_evidence evidence = kEvidence;
    evidence.cleared = {{0x77U, {}, 400, true}};
    const auto read = readQuarantineRecord(makeQuarantineRecord(quarantineKeyOf("front-1"), evidence, kNow), kNow + 100, nullptr);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->cleared, (std::vector<crash_report>{{0x77U, {}, 500, true}}));
    const auto older = readQuarantineRecord({quarantineKeyOf("front-1"), R"({"crashes":[],"open":[]})"}, kNow, nullptr);
    ASSERT_TRUE(older);
    EXPECT_TRUE(older->cleared.empty());
    EXPECT_FALSE((crash_evidence{{}, {}, evidence.cleared}.isEmpty()));
    EXPECT_FALSE(isExpired({{}, {}, evidence.cleared}, std::chrono::milliseconds(400)));
    EXPECT_TRUE(isExpired({{}, {}, evidence.cleared}, std::chrono::milliseconds(399)));
}

TEST(QuarantineRecord, TimeInTheFutureCountsAsNow)
{
    const auto evidence = readQuarantineRecord(makeQuarantineRecord(quarantineKeyOf("front-1"), kEvidence, kNow), kNow - 60'000, nullptr);
    ASSERT_TRUE(evidence);
    EXPECT_EQ(evidence->crashes.front().ageMs, 0U);
    EXPECT_EQ(evidence->open.front().ageMs, 0U);
}

TEST(QuarantineRecord, RecordWithoutEvidenceIsDeleted)
{
    EXPECT_EQ(makeQuarantineRecord(quarantineKeyOf("front-1"), {}, kNow), (keyed_record{"quarantine.entry.front-1", std::nullopt}));
}

TEST(QuarantineRecord, InvalidRecordsAreRefusedWithAReason)
{
    const std::string longId(kMaxInstanceIdBytes + 1, 'x');
    const std::vector<std::optional<std::string>> invalid = {std::nullopt,
                                                             "",
                                                             "[]",
                                                             R"({"crashes":[]})",
                                                             R"({"crashes":{},"open":[]})",
                                                             R"({"crashes":[7],"open":[]})",
                                                             R"({"crashes":[],"open":7})",
                                                             R"({"crashes":[{"request":"x","instance":"i","started_at":1,"at":1}],"open":[]})",
                                                             R"({"crashes":[{"request":"1","instance":"i","started_at":-1,"at":1}],"open":[]})",
                                                             R"({"crashes":[{"request":"1","instance":"i","started_at":1,"at":"1"}],"open":[]})",
                                                             R"({"crashes":[],"open":[],"cleared":7})",
                                                             R"({"crashes":[],"open":[],"cleared":[{"request":"1"}]})",
                                                             R"({"crashes":[],"open":[],"cleared":[{"request":"x","at":1}]})",
                                                             R"({"crashes":[],"open":[],"cleared":[{"request":"1","at":-1}]})",
                                                             R"({"crashes":[],"open":[{"instance":"i","started_at":1,"at":1}]})",
                                                             R"({"crashes":[{"request":"1","instance":")" + longId + R"(","started_at":1,"at":1}],"open":[]})"};
    for (const std::optional<std::string> &value : invalid) {
        last_reason reason;
        EXPECT_FALSE(readQuarantineRecord({quarantineKeyOf("front-1"), value}, kNow, &reason)) << value.value_or("none");
        EXPECT_FALSE(reason.text().empty());
    }
}
