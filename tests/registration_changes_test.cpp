#include "relay/registration_changes.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace heatherroute;

namespace
{

/// A record whose value is a version and the start of the instance, as in "v1@7".
keyed_record recordOf(const std::string &key, const std::string &value)
{
    return {key, value};
}

std::optional<registration> decode(const keyed_record &record, last_reason *reason)
{
    const auto at = record.value->find('@');
    if (at == std::string::npos) {
        setReason(reason, "no start");
        return std::nullopt;
    }
    registration run;
    run.id = record.key;
    run.softwareVersion = record.value->substr(0, at);
    run.startedAt = std::stoull(record.value->substr(at + 1));
    return run;
}

std::vector<std::string> versionsOf(const registration_changes &changes)
{
    std::vector<std::string> versions;
    for (const registration &run : changes.reports) {
        versions.push_back(run.id + " " + run.softwareVersion);
    }
    return versions;
}

} // namespace

// Regression test: an engine that came back twice within one read, first with another version, left no trace of that version, and streams that it
// had written went on at the version before.
TEST(RegistrationChanges, EachInstanceOfAnIdIsReported)
{
    const auto changes = changesIn({recordOf("a", "v1@1"), recordOf("b", "v1@1"), recordOf("a", "v2@2"), recordOf("a", "v1@3"), recordOf("a", "v1@3")}, decode);
    EXPECT_EQ(versionsOf(changes), (std::vector<std::string>{"a v1", "b v1", "a v2", "a v1"}));
    EXPECT_TRUE(changes.removed.empty());
}

TEST(RegistrationChanges, InstanceThatIsRemovedWithinOneReadIsReportedToo)
{
    const auto changes = changesIn({recordOf("a", "v2@2"), {"a", std::nullopt}}, decode);
    EXPECT_EQ(versionsOf(changes), std::vector<std::string>{"a v2"});
    EXPECT_EQ(changes.removed, std::vector<std::string>{"a"});
}

TEST(RegistrationChanges, OnlyTheNewestRecordOfAKeyRemovesItOrMakesItUnreadable)
{
    const auto changes =
        changesIn({{"a", std::nullopt}, recordOf("a", "v1@1"), recordOf("b", "?"), recordOf("b", "v1@1"), recordOf("c", "v1@1"), recordOf("c", "?")}, decode);
    EXPECT_TRUE(changes.removed.empty());
    EXPECT_EQ(changes.unreadable, (std::vector<std::pair<std::string, std::string>>{{"c", "no start"}}));
    EXPECT_EQ(versionsOf(changes), (std::vector<std::string>{"a v1", "b v1", "c v1"}));
}
