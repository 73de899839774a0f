#include <gtest/gtest.h>

#include <set>

#include "relay/named_entries.h"

using namespace heatherroute;

namespace
{

member entryIn(const std::string &name, const std::string &zone, const std::string &region, member_state state = member_state::Alive)
{
    member one;
    one.id.name = name;
    one.callerAddress = name + ":80";
    one.zone = zone;
    one.region = region;
    one.state = state;
    return one;
}

std::set<std::string> namedOf(const std::vector<member> &members, const std::string &zone)
{
    std::vector<const member *> known;
    known.reserve(members.size());
    for (const member &one : members) {
        known.push_back(&one);
    }
    std::mt19937_64 random(1);
    const auto named = namedEntries(zone, known, random);
    return {named.begin(), named.end()};
}

} // namespace

TEST(NamedEntries, ZoneThenRegionThenAll)
{
    std::vector<member> members = {entryIn("a", "z1", "r1"), entryIn("b", "z1", "r1"), entryIn("c", "z2", "r1"), entryIn("d", "z3", "r2")};
    EXPECT_EQ(namedOf(members, "z1"), (std::set<std::string>{"a:80", "b:80"}));
    EXPECT_EQ(namedOf(members, "z2"), (std::set<std::string>{"a:80", "b:80", "c:80"}));
    EXPECT_EQ(namedOf(members, "z3").size(), 4U);
    EXPECT_EQ(namedOf(members, "unknown").size(), 4U);
}

TEST(NamedEntries, EntriesThatLeaveOrAreGoneAreNotNamed)
{
    std::vector<member> members = {entryIn("a", "z1", "r1"),
                                   entryIn("b", "z1", "r1"),
                                   entryIn("c", "z1", "r1", member_state::Leaving),
                                   entryIn("d", "z1", "r1", member_state::Dead),
                                   entryIn("e", "z1", "r1", member_state::Suspected)};
    EXPECT_EQ(namedOf(members, "z1"), (std::set<std::string>{"a:80", "b:80"}));
}

TEST(NamedEntries, LargeFleetsAreCutToWhatACallerTakes)
{
    constexpr std::size_t kEntries = 340;
    std::vector<member> members;
    members.reserve(kEntries);
    for (std::size_t i = 0; i < kEntries; ++i) {
        members.push_back(entryIn("e" + std::to_string(i), "z1", "r1"));
    }
    EXPECT_EQ(namedOf(members, "z1").size(), kMostEntriesNamed);
}
