#include "relay/coordinator_choice.h"

#include <gtest/gtest.h>

using namespace heatherroute;

namespace
{

member makeMember(const std::string &name, member_state state = member_state::Alive)
{
    member result;
    result.id.name = name;
    result.peerAddress = name + ":1";
    result.state = state;
    return result;
}

std::vector<std::string> namesOf(const std::vector<coordinator> &coordinators)
{
    std::vector<std::string> names;
    names.reserve(coordinators.size());
    for (const coordinator &one : coordinators) {
        names.push_back(one.name);
    }
    return names;
}

// Guards against two entries that each take themselves for the coordinator of one key.
TEST(CoordinatorChoice, EntriesWithTheSameViewAgree)
{
    auto a = coordinator_choice::make("a");
    auto b = coordinator_choice::make("b");
    a.setMembers({makeMember("b"), makeMember("c")});
    b.setMembers({makeMember("c"), makeMember("a")});
    for (int i = 0; i < 50; ++i) {
        const std::string key = "team-" + std::to_string(i);
        EXPECT_EQ(namesOf(a.firstOf(key, 3)), namesOf(b.firstOf(key, 3)));
        EXPECT_FALSE(a.isFirst(key) && b.isFirst(key));
    }
}

// Guards against a quota that moves whenever any entry is lost, which would lose what was known of its use.
TEST(CoordinatorChoice, TheLossOfAnEntryMovesItsKeysToTheNextInOrder)
{
    auto a = coordinator_choice::make("a");
    a.setMembers({makeMember("b"), makeMember("c"), makeMember("d", member_state::Suspected)});
    for (int i = 0; i < 50; ++i) {
        const std::string key = "team-" + std::to_string(i);
        a.setMembers({makeMember("b"), makeMember("c"), makeMember("d")});
        const auto before = namesOf(a.firstOf(key, 2));
        a.setMembers({makeMember("b"), makeMember("c"), makeMember("d", member_state::Leaving)});
        const auto after = namesOf(a.firstOf(key, 2));
        EXPECT_EQ(after.front(), before.front() == "d" ? before.back() : before.front());
    }
}

// Guards against keys that nobody coordinates while their entry stops.
TEST(CoordinatorChoice, AStoppingEntryIsNoCoordinator)
{
    auto a = coordinator_choice::make("a");
    EXPECT_TRUE(a.isFirst("team"));
    a.stop();
    EXPECT_FALSE(a.isFirst("team"));
    EXPECT_TRUE(a.firstOf("team", 1).empty());
    a.setMembers({makeMember("b")});
    EXPECT_EQ(namesOf(a.firstOf("team", 2)), std::vector<std::string>{"b"});
}

} // namespace
