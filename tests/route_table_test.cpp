#include <gtest/gtest.h>

#include "heatherroute/route_table.h"

using namespace heatherroute;

namespace
{

route routeTo(const std::string &prefix, const std::string &service)
{
    route entry;
    entry.name = prefix;
    entry.host = "shop.example";
    entry.pathPrefix = prefix;
    entry.targets = {{service, 1}};
    return entry;
}

route_table tableOf(std::vector<route> routes)
{
    return route_table::make(1, std::move(routes), {}, {});
}

} // namespace

TEST(RouteTable, LongestPrefixWins)
{
    const route_table table = tableOf({routeTo("/", "all"), routeTo("/a/", "a"), routeTo("/a/b/", "ab")});
    EXPECT_EQ(table.find("shop.example", "/a/b/c")->targets.front().service, "ab");
    EXPECT_EQ(table.find("shop.example", "/a/bc")->targets.front().service, "a");
    EXPECT_EQ(table.find("shop.example", "/x")->targets.front().service, "all");
}

TEST(RouteTable, PathWithoutTheFinalSlashDoesNotMatch)
{
    const route_table table = tableOf({routeTo("/a/", "a")});
    EXPECT_EQ(table.find("shop.example", "/a"), nullptr);
    EXPECT_NE(table.find("shop.example", "/a/"), nullptr);
    EXPECT_EQ(table.find("other.example", "/a/"), nullptr);
    EXPECT_EQ(table.find("shop.example", ""), nullptr);
}

TEST(RouteTable, SplitFollowsTheWeights)
{
    route split = routeTo("/", "");
    split.targets = {{"old", 90}, {"none", 0}, {"new", 10}};
    EXPECT_EQ(pickTarget(split, 0.0)->service, "old");
    EXPECT_EQ(pickTarget(split, 0.899)->service, "old");
    EXPECT_EQ(pickTarget(split, 0.901)->service, "new");
    EXPECT_EQ(pickTarget(split, 0.9999999)->service, "new");
    split.targets = {{"none", 0}};
    EXPECT_EQ(pickTarget(split, 0.5), nullptr);
}
