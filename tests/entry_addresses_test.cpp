#include <gtest/gtest.h>

#include <set>

#include "relay/entry_addresses.h"

using namespace heatherroute;

namespace
{

member entryIn(const std::string &name, const std::string &zone, const std::string &region, member_state state = member_state::Alive)
{
    member entry;
    entry.id.name = name;
    entry.callerAddress = name + ":80";
    entry.zone = zone;
    entry.region = region;
    entry.state = state;
    return entry;
}

std::set<std::string> addressesFor(const std::vector<member> &members, const std::string &zone)
{
    std::vector<const member *> known;
    known.reserve(members.size());
    for (const member &entry : members) {
        known.push_back(&entry);
    }
    std::mt19937_64 random(1);
    const auto addresses = selectEntryAddresses(zone, known, random);
    return {addresses.begin(), addresses.end()};
}

} // namespace

TEST(EntryAddresses, ZoneThenRegionThenAll)
{
    std::vector<member> members = {entryIn("a", "z1", "r1"), entryIn("b", "z1", "r1"), entryIn("c", "z2", "r1"), entryIn("d", "z3", "r2")};
    EXPECT_EQ(addressesFor(members, "z1"), (std::set<std::string>{"a:80", "b:80"}));
    EXPECT_EQ(addressesFor(members, "z2"), (std::set<std::string>{"a:80", "b:80", "c:80"}));
    EXPECT_EQ(addressesFor(members, "z3").size(), 4U);
    EXPECT_EQ(addressesFor(members, "unknown").size(), 4U);
}

TEST(EntryAddresses, OnlyLiveEntriesAreReturned)
{
    std::vector<member> members = {entryIn("a", "z1", "r1"),
                                   entryIn("b", "z1", "r1"),
                                   entryIn("c", "z1", "r1", member_state::Leaving),
                                   entryIn("d", "z1", "r1", member_state::Dead),
                                   entryIn("e", "z1", "r1", member_state::Suspected)};
    EXPECT_EQ(addressesFor(members, "z1"), (std::set<std::string>{"a:80", "b:80"}));
}

TEST(EntryAddresses, AnswerOfALargeFleetIsLimited)
{
    constexpr std::size_t kEntries = 340;
    std::vector<member> members;
    members.reserve(kEntries);
    for (std::size_t i = 0; i < kEntries; ++i) {
        members.push_back(entryIn("e" + std::to_string(i), "z1", "r1"));
    }
    EXPECT_EQ(addressesFor(members, "z1").size(), kMaxEntryAddresses);
}
