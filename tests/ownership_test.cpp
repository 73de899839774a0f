#include "heatherroute/ownership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace heatherroute;

namespace
{

member_id entry(int index, std::uint64_t start = 1)
{
    return {"entry-" + std::to_string(index), start};
}

ownership fleet(int members, int upstreams)
{
    ownership owners;
    for (int i = 0; i < upstreams; ++i) {
        owners.addUpstream("upstream-" + std::to_string(i));
    }
    for (int i = 0; i < members; ++i) {
        owners.setMember(entry(i), member_state::Alive);
    }
    return owners;
}

TEST(Ownership, RemovedMemberLosesOnlyItsUpstreamsAndRegainsThemAfterARestart)
{
    ownership owners = fleet(17, 640);
    const auto owned = owners.ownedBy(entry(3));
    const auto moved = owners.setMember(entry(3), member_state::Dead);
    ASSERT_EQ(moved.size(), owned.size());
    for (const owner_change &change : moved) {
        EXPECT_EQ(change.before, entry(3));
        EXPECT_EQ(change.now, owners.ownerOf(change.upstream));
        EXPECT_NE(change.now, entry(3));
    }
    EXPECT_EQ(owners.setMember(entry(3, 2), member_state::Alive).size(), owned.size());
    EXPECT_EQ(owners.ownedBy(entry(3, 2)), owned) << "a replaced VM must own the same upstreams as its predecessor";
}

TEST(Ownership, OnlyLeavingAndDeadMembersLoseUpstreams)
{
    ownership owners = fleet(4, 40);
    EXPECT_TRUE(owners.setMember(entry(1), member_state::Suspected).empty());
    EXPECT_FALSE(owners.setMember(entry(1), member_state::Leaving).empty());
    EXPECT_TRUE(owners.setMember(entry(1), member_state::Dead).empty());
}

TEST(Ownership, UpstreamsAreDistributedEvenly)
{
    const ownership owners = fleet(170, 6400);
    for (int i = 0; i < 170; ++i) {
        // The number of upstreams of one member is binomial with a mean of 37.6. The bound is six standard deviations (37) above the mean.
        EXPECT_LT(owners.ownedBy(entry(i)).size(), 75U);
    }
}

RC_GTEST_PROP(Ownership, DependsOnTheMembersButNotOnTheOrderOfEvents, ())
{
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
    ownership changed;
    std::vector<bool> isMember(12);
    std::vector<bool> isUpstream(12);
    for (const int step : steps) {
        const std::string upstream = "u" + std::to_string(step % 12);
        if (step < 12) {
            isMember[step] = !isMember[step];
            changed.setMember(entry(step), isMember[step] ? member_state::Alive : member_state::Dead);
        } else {
            isUpstream[step - 12] = !isUpstream[step - 12];
            isUpstream[step - 12] ? changed.addUpstream(upstream) : changed.removeUpstream(upstream);
        }
    }
    ownership fresh;
    for (int i = 11; i >= 0; --i) {
        if (isMember[i]) {
            fresh.setMember(entry(i), member_state::Alive);
        }
        if (isUpstream[i]) {
            fresh.addUpstream("u" + std::to_string(i));
        }
    }
    for (int i = 0; i < 12; ++i) {
        RC_ASSERT(changed.ownerOf("u" + std::to_string(i)) == fresh.ownerOf("u" + std::to_string(i)));
    }
}

} // namespace
