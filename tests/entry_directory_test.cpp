// Tests that the list of entries for a caller prefers near entries and changes little when members join, leave or get loaded.
#include "core/entry_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace
{

using namespace heatherroute;

member entryOf(const std::string &name, const std::string &zone, member_state state = member_state::Alive)
{
    member one;
    one.id = {name, 1};
    one.state = state;
    one.callerAddress = name + ":8080";
    one.zone = zone;
    one.region = zone.substr(0, 1);
    one.half = "north";
    return one;
}

std::vector<const member *> pointersTo(const std::vector<member> &members)
{
    std::vector<const member *> pointers;
    std::transform(members.begin(), members.end(), std::back_inserter(pointers), [](const member &one) { return &one; });
    return pointers;
}

std::string firstFor(const std::string &caller, const std::vector<member> &members)
{
    return entriesFor({caller, "a1"}, "north", pointersTo(members)).front()->id.name;
}

std::vector<member> zoneOf(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back(entryOf("e" + std::to_string(i), "a1"));
    }
    return members;
}

TEST(entry_directory, returnsOnlyLiveEntriesOfTheHalfNearestFirst)
{
    std::vector<member> members{entryOf("far", "b1"),
                                entryOf("region", "a2"),
                                entryOf("near", "a1"),
                                entryOf("suspected", "a1", member_state::Suspected),
                                entryOf("leaving", "a1", member_state::Leaving),
                                entryOf("other", "a1")};
    members.back().half = "south";
    std::vector<std::string> names;
    for (const member *one : entriesFor({"c", "a1"}, "north", pointersTo(members))) {
        names.push_back(one->id.name);
    }
    EXPECT_EQ(names, (std::vector<std::string>{"near", "region", "far"}));
}

TEST(entry_directory, removedMemberMovesOnlyItsOwnCallersAndCallersAreSpreadEvenly)
{
    constexpr std::size_t kEntries = 10;
    constexpr std::size_t kCallers = 2000;
    const std::vector<member> all = zoneOf(kEntries);
    std::vector<member> fewer = all;
    fewer.erase(fewer.begin() + 3);
    std::map<std::string, std::size_t> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
        const std::string caller = "c" + std::to_string(i);
        const std::string before = firstFor(caller, all);
        ++callers[before];
        if (before != "e3") {
            EXPECT_EQ(firstFor(caller, fewer), before);
        }
    }
    for (const auto &[name, count] : callers) {
        EXPECT_NEAR(static_cast<double>(count), static_cast<double>(kCallers) / kEntries, 60) << name;
    }
}

TEST(entry_directory, loadMovesOnlySomeCallersOfTheLoadedEntry)
{
    const std::vector<member> unloaded = zoneOf(4);
    std::vector<member> loaded = unloaded;
    loaded[0].summary.loadPermille = 800;
    std::size_t before = 0;
    std::size_t after = 0;
    for (std::size_t i = 0; i < 1000; ++i) {
        const std::string caller = "c" + std::to_string(i);
        const std::string first = firstFor(caller, unloaded);
        before += first == "e0" ? 1 : 0;
        after += firstFor(caller, loaded) == "e0" ? 1 : 0;
        if (first != "e0") {
            EXPECT_EQ(firstFor(caller, loaded), first);
        }
    }
    EXPECT_GT(after, 0U);
    EXPECT_LT(after, before / 2);
}

} // namespace
