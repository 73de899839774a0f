#include <gtest/gtest.h>

#include "relay/quarantine_record.h"

using namespace heatherroute;

namespace
{

constexpr std::int64_t kNow = 1'800'000'000'000;

const std::vector<crash_report> kReports = {{0xabcdefU, {"i-1", 1'000}, 300, false}, {0xabcdefU, {"i-2", 2'000}, 100, false}};

} // namespace

TEST(QuarantineRecord, AgesGrowWithTheTimeInTheStore)
{
    const keyed_record record = makeQuarantineRecord(0xabcdefU, kReports, kNow);
    EXPECT_TRUE(isQuarantineKey(record.key));
    const auto reports = readQuarantineRecord(record, kNow + 5'000, nullptr);
    ASSERT_TRUE(reports);
    const std::vector<crash_report> expected = {{0xabcdefU, {"i-1", 1'000}, 5'300, false}, {0xabcdefU, {"i-2", 2'000}, 5'100, false}};
    EXPECT_EQ(*reports, expected);
    EXPECT_FALSE(isExpired(*reports, std::chrono::milliseconds(5'200)));
    EXPECT_TRUE(isExpired(*reports, std::chrono::seconds(5)));
}

TEST(QuarantineRecord, TimeInTheFutureCountsAsNow)
{
    const auto reports = readQuarantineRecord(makeQuarantineRecord(0xabcdefU, kReports, kNow), kNow - 60'000, nullptr);
    ASSERT_TRUE(reports);
    EXPECT_EQ(reports->front().ageMs, 0U);
}

TEST(QuarantineRecord, InvalidRecordsAreRefusedWithAReason)
{
    const keyed_record good = makeQuarantineRecord(0xabcdefU, kReports, kNow);
    const std::string longId(kMaxInstanceIdBytes + 1, 'x');
    const std::vector<keyed_record> invalid = {{"front-1", good.value},
                                               {"quarantine.", good.value},
                                               {"quarantine.xyz", good.value},
                                               {good.key, std::nullopt},
                                               {good.key, ""},
                                               {good.key, "[]"},
                                               {good.key, "{\"crashes\":{}}"},
                                               {good.key, "{\"crashes\":[7]}"},
                                               {good.key, "{\"crashes\":[{\"instance\":\"i\",\"started_at\":-1,\"at\":1}]}"},
                                               {good.key, "{\"crashes\":[{\"instance\":\"i\",\"started_at\":1,\"at\":\"1\"}]}"},
                                               {good.key, "{\"crashes\":[{\"instance\":\"" + longId + "\",\"started_at\":1,\"at\":1}]}"}};
    for (const keyed_record &record : invalid) {
        last_reason reason;
        EXPECT_FALSE(readQuarantineRecord(record, kNow, &reason)) << record.key << " " << record.value.value_or("none");
        EXPECT_FALSE(reason.text().empty());
    }
}
