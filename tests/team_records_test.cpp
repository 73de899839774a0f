#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "heatherroute/key_digest.h"
#include "platform/record_codec.h"

using namespace heatherroute;
using platform::decodeRoutes;

namespace
{

/// A configuration whose field for the teams is @p teams, with a leading comma.
std::string configWith(const std::string &teams, int version = 7)
{
    return "{\"Version\":" + std::to_string(version) + R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"idempotent","Service":"s"},
            {"Name":"p","Host":"h","PathPrefix":"/p/","Kind":"idempotent","Service":"s","Public":true}],"Services":[{"Name":"s"}])"
           + teams + "}";
}

std::optional<route_table> decodeTeams(const std::string &list, std::vector<invalid_team> *invalid = nullptr)
{
    return decodeRoutes({"config", configWith(",\"Tenants\":" + list)}, nullptr, invalid);
}

std::string teamNamed(const std::string &name, const std::string &fields)
{
    return "{\"Name\":\"" + name + "\"," + fields + "}";
}

} // namespace

// Guards against a quota, priority or key that is lost or confused on the way from the record.
TEST(TeamRecords, ATeamIsDecoded)
{
    const auto table = decodeTeams(
        R"([{"Name":"a","ApiKeys":["k-1","k-2"],"Priority":2,"Unit":"token_stream","PlainTokens":900,"RatePerS":29000.5,"Burst":58000},{"Name":"b","ApiKeys":["k-3"],"Unit":"calls","RatePerS":3},{"Name":"c","ApiKeys":["k-4"],"RatePerS":0,"Burst":5}])");
    ASSERT_TRUE(table);
    EXPECT_TRUE(table->requiresKeys());
    const team *a = table->teamOfKey(makeKeyDigest("k-2"));
    ASSERT_NE(a, nullptr);
    EXPECT_EQ(a->name, "a");
    EXPECT_EQ(a->priority, 2U);
    EXPECT_EQ(a->quota, (team_quota{29'000.5, 58'000, quota_unit::Tokens, 900}));
    const team *b = table->findTeam("b");
    ASSERT_NE(b, nullptr);
    EXPECT_EQ(b->quota, (team_quota{3, 0, quota_unit::Requests, 1}));
    EXPECT_EQ(b->priority, std::nullopt);
    ASSERT_NE(table->findTeam("c"), nullptr);
    EXPECT_EQ(table->findTeam("c")->quota, std::nullopt) << "a rate of 0 means no quota";
    EXPECT_EQ(table->teamOfKey(makeKeyDigest("k-9")), nullptr);
    EXPECT_FALSE(table->find("h", "/a/1")->isPublic);
    EXPECT_TRUE(table->find("h", "/p/1")->isPublic);
}

// Guards against keys that are demanded without a list, and against an empty list that admits callers without keys.
TEST(TeamRecords, OnlyAListOfTeamsRequiresKeys)
{
    for (const char *teams : {"", ",\"Tenants\":null"}) {
        const auto table = decodeRoutes({"config", configWith(teams)}, nullptr);
        ASSERT_TRUE(table) << teams;
        EXPECT_FALSE(table->requiresKeys()) << teams;
    }
    ASSERT_TRUE(decodeTeams("[]"));
    EXPECT_TRUE(decodeTeams("[]")->requiresKeys());
    EXPECT_TRUE(decodeTeams("[7]")->requiresKeys());
    for (const char *list : {"{}", "\"a\"", "7", "false"}) {
        last_reason reason;
        EXPECT_FALSE(decodeRoutes({"config", configWith(std::string(",\"Tenants\":") + list)}, &reason)) << list;
        EXPECT_FALSE(reason.text().empty()) << list;
    }
}

// Guards against one invalid team that takes the others, or the process, down with it.
TEST(TeamRecords, AnInvalidTeamIsLeftOutAndReportedByName)
{
    const std::string keys = R"("ApiKeys":["secret-key"])";
    const std::vector<std::pair<std::string, std::string>> faulty = {
        {"7", ""},
        {"{" + keys + "}", ""},
        {R"({"Name":7,)" + keys + "}", ""},
        {teamNamed("", keys), ""},
        {teamNamed(std::string(65, 'n'), keys), std::string(64, 'n')},
        {teamNamed("a\\r\\nX: 1", keys), "a\r\nX: 1"},
        {teamNamed(" a", keys), " a"},
        {teamNamed("bad", R"("ApiKeys":[])"), "bad"},
        {teamNamed("bad", R"("Priority":1)"), "bad"},
        {teamNamed("bad", R"("ApiKeys":"secret-key")"), "bad"},
        {teamNamed("bad", R"("ApiKeys":["",7,null])"), "bad"},
        {teamNamed("bad", R"("ApiKeys":["secret-key","k-good"])"), "bad"},
        {teamNamed("good", keys), "good"},
        {teamNamed("bad", keys + ",\"RatePerS\":-1"), "bad"},
        {teamNamed("bad", keys + ",\"RatePerS\":1e999"), "bad"},
        {teamNamed("bad", keys + ",\"RatePerS\":\"3\""), "bad"},
        {teamNamed("bad", keys + ",\"RatePerS\":3,\"Burst\":-0.1"), "bad"},
        {teamNamed("bad", keys + ",\"RatePerS\":3,\"Burst\":1e999"), "bad"},
    };
    const std::string good = teamNamed("good", R"("ApiKeys":["k-good"])");
    const std::string last = teamNamed("last", R"("ApiKeys":["k-last"])");
    for (const auto &[item, name] : faulty) {
        std::vector<invalid_team> invalid;
        std::string list = "[";
        list.append(good).append(",").append(item).append(",").append(last).append("]");
        const auto table = decodeTeams(list, &invalid);
        ASSERT_TRUE(table) << item;
        ASSERT_EQ(invalid.size(), 1U) << item;
        EXPECT_EQ(invalid.front().name, name) << item;
        EXPECT_EQ(invalid.front().reason.find("secret"), std::string::npos) << "a reason names a key";
        EXPECT_EQ(table->teams().size(), 2U) << item;
        EXPECT_EQ(table->teamOfKey(makeKeyDigest("secret-key")), nullptr) << item;
        EXPECT_EQ(table->teamOfKey(makeKeyDigest("k-good"))->name, "good") << item;
        EXPECT_EQ(table->teamOfKey(makeKeyDigest("k-last"))->name, "last") << item;
        EXPECT_FALSE(decodeTeams(list)->teams().empty()) << "without a list for the reports";
    }
}

// Guards against a key that keeps its old team, or belongs to none, after a configuration has moved it.
TEST(TeamRecords, AKeyMovesBetweenTeams)
{
    const auto before = decodeTeams(R"([{"Name":"a","ApiKeys":["k-1","k-2"]},{"Name":"b","ApiKeys":["k-3"]}])");
    const auto after = decodeTeams(R"([{"Name":"a","ApiKeys":["k-1"]},{"Name":"b","ApiKeys":["k-3","k-2"]}])");
    ASSERT_TRUE(before && after);
    EXPECT_EQ(before->teamOfKey(makeKeyDigest("k-2"))->name, "a");
    EXPECT_EQ(after->teamOfKey(makeKeyDigest("k-2"))->name, "b");
    EXPECT_EQ(after->teamOfKey(makeKeyDigest("k-1"))->name, "a");
}

// Guards against digests that differ between entries, and against texts of other entries that are taken as digests.
TEST(TeamRecords, DigestsSurviveTheRoundTripAsText)
{
    const key_digest digest = makeKeyDigest("");
    EXPECT_EQ(keyDigestText(digest), "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8");
    EXPECT_EQ(parseKeyDigest(keyDigestText(digest)), digest);
    const std::string text = keyDigestText(makeKeyDigest("k"));
    for (const std::string &other : {std::string(), std::string("0e57"), text + "00", text.substr(1), text.substr(2) + "zz", "g" + text.substr(1)}) {
        EXPECT_EQ(parseKeyDigest(other), std::nullopt) << other;
    }
}
