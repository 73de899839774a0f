#include "heatherroute/config_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace heatherroute;

namespace
{

upstream makeUpstream(const std::string &name, const std::string &half, const std::string &address)
{
    upstream value;
    value.name = name;
    value.half = half;
    value.address = address;
    return value;
}

config_change makeChange(const std::string &publishId, config_revision base, std::vector<upstream> upserts, const std::string &half = "")
{
    config_change change;
    change.publishId = publishId;
    change.baseRevision = base;
    change.half = half;
    change.upserts = std::move(upserts);
    return change;
}

config_change makeRemoval(const std::string &publishId, config_revision base, const std::string &name)
{
    config_change change = makeChange(publishId, base, {});
    change.removals = {name};
    return change;
}

acceptance applyNext(config_state &state, const config_change &change)
{
    return state.apply(state.next(), change).accepted;
}

} // namespace

TEST(config_state, unrelatedPublicationsDoNotConflict)
{
    config_state state;
    EXPECT_EQ(applyNext(state, makeChange("a", {}, {makeUpstream("u1", "north", "1")})), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeChange("b", {}, {makeUpstream("u2", "south", "2")})), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeChange("c", 0, {makeUpstream("u1", "north", "3")})), acceptance::Accepted);
}

TEST(config_state, ofTwoConcurrentChangesOfAnUpstreamTheSecondIsStale)
{
    config_state state;
    ASSERT_EQ(applyNext(state, makeChange("a", {}, {makeUpstream("u1", "north", "1")})), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeChange("b", 0, {makeUpstream("u1", "south", "1")}, "south")), acceptance::Accepted);
    const apply_result loser = state.apply(2, makeChange("c", 0, {makeUpstream("u1", "north", "9")}, "north"));
    EXPECT_EQ(loser.accepted, acceptance::RejectedStaleBase);
    EXPECT_EQ(loser.decision.detail, "upstream u1");
    EXPECT_EQ(state.upstreams().at("u1").value.half, "south");
    // An upstream with another name but the same address conflicts, too.
    EXPECT_EQ(applyNext(state, makeChange("d", 1, {makeUpstream("alias", "north", "1")})), acceptance::RejectedInvalid);
}

TEST(config_state, aRetriedPublicationGetsTheEarlierDecision)
{
    config_state state;
    const config_change change = makeChange("a", {}, {makeUpstream("u1", "north", "1")});
    const apply_result first = state.apply(0, change);
    const apply_result second = state.apply(1, change);
    EXPECT_EQ(second.accepted, acceptance::RejectedDuplicatePublish);
    EXPECT_EQ(second.decision, first.decision);
    EXPECT_EQ(state.revision(), config_revision(0));
}

TEST(config_state, aRemovedUpstreamIsNotRecreatedFromAnOldBase)
{
    config_state state;
    ASSERT_EQ(applyNext(state, makeChange("a", {}, {makeUpstream("u1", "north", "1")})), acceptance::Accepted);
    ASSERT_EQ(applyNext(state, makeRemoval("b", 0, "u1")), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeChange("c", 0, {makeUpstream("u1", "north", "1")})), acceptance::RejectedStaleBase);
    while (state.next() < 2 * kRememberedRemovalOffsets) {
        state.skip(state.next());
    }
    // Both the removal and the publication have been forgotten by now.
    EXPECT_EQ(state.decisionOn("a"), nullptr);
    EXPECT_TRUE(state.snapshot().removedUpstreams.empty());
    EXPECT_EQ(applyNext(state, makeChange("c", 0, {makeUpstream("u1", "north", "1")})), acceptance::RejectedStaleBase);
    EXPECT_EQ(applyNext(state, makeChange("d", 1, {makeUpstream("u1", "north", "1")})), acceptance::Accepted);
}

TEST(config_state, aGuardedChangeIsStaleAfterAnyWriteToItsHalf)
{
    config_state state;
    ASSERT_EQ(applyNext(state, makeChange("a", {}, {makeUpstream("u1", "north", "1")})), acceptance::Accepted);
    ASSERT_EQ(applyNext(state, makeChange("b", 0, {makeUpstream("u2", "south", "2")})), acceptance::Accepted);
    config_change guarded = makeChange("c", 0, {makeUpstream("u3", "north", "3")}, "north");
    guarded.guardHalf = true;
    EXPECT_EQ(applyNext(state, guarded), acceptance::Accepted);
    guarded.publishId = "d";
    guarded.upserts = {makeUpstream("u4", "north", "4")};
    EXPECT_EQ(applyNext(state, guarded), acceptance::RejectedStaleBase);
}

TEST(config_state, consecutiveRemovalsDoNotBreakACapacityFloor)
{
    config_state state;
    config_change start = makeChange("a", {}, {makeUpstream("u1", "north", "1"), makeUpstream("u2", "north", "2")});
    start.ruleUpserts = {capacity_floor{"north", upstream_kind::PlainService, "", 1}};
    ASSERT_EQ(applyNext(state, start), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeRemoval("b", 0, "u1")), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeRemoval("c", 0, "u2")), acceptance::RejectedInvalid);
    EXPECT_EQ(applyNext(state, makeChange("d", 0, {makeUpstream("u2", "south", "2")})), acceptance::RejectedInvalid);
    config_change lifted = makeRemoval("e", 0, "u2");
    lifted.ruleUpserts = {capacity_floor{"north", upstream_kind::PlainService, "", 0}};
    EXPECT_EQ(applyNext(state, lifted), acceptance::Accepted);
}

TEST(config_state, addressesCanBeSwappedWithinOneRecordOnly)
{
    config_state state;
    ASSERT_EQ(applyNext(state, makeChange("a", {}, {makeUpstream("u1", "north", "1"), makeUpstream("u2", "north", "2")})), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeChange("b", 0, {makeUpstream("u1", "north", "2")})), acceptance::RejectedInvalid);
    EXPECT_EQ(applyNext(state, makeChange("c", 0, {makeUpstream("u1", "north", "2"), makeUpstream("u2", "north", "1")})), acceptance::Accepted);
    EXPECT_EQ(applyNext(state, makeChange("d", 2, {makeUpstream("u3", "north", "1")})), acceptance::RejectedInvalid);
    EXPECT_TRUE(config_state::make(state.snapshot()).has_value());
}

TEST(config_state, aTamperedSnapshotIsRejected)
{
    config_state state;
    ASSERT_EQ(applyNext(state, makeChange("a", {}, {makeUpstream("u1", "north", "1")})), acceptance::Accepted);
    config_snapshot snapshot = state.snapshot();
    snapshot.upstreams.front().value.half = "south";
    last_reason reason;
    EXPECT_FALSE(config_state::make(snapshot, &reason));
    EXPECT_EQ(reason.text(), "digest does not match the content");
    snapshot = state.snapshot();
    snapshot.upstreams.front().writeOffset = 7;
    EXPECT_FALSE(config_state::make(snapshot));
}

// Decoding a record with truncated, duplicated or changed bytes must give a reason or another record, never an abort.
RC_GTEST_PROP(config_record, decodingSurvivesCorruption, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    config_state state;
    config_change change = makeChange("a", {}, {makeUpstream("u1", "north", "1")}, "north");
    change.ruleUpserts = {service_route{"shop", "/a", {"GET"}},
                          team_rule{"t", 2, 3},
                          model_rule{"m", 1, 2, "v", {"x"}},
                          capacity_floor{"north", upstream_kind::DecodeEngine, "m", 1},
                          priority_default{"m", priority_class::Batch}};
    state.apply(0, change);
    const config_record intact = random() % 2 == 0 ? config_record(change) : config_record(state.snapshot());
    std::string text = encodeRecord(intact);
    RC_ASSERT(decodeRecord(text) == std::optional<config_record>(intact));
    for (int i = 0; i < 200; ++i) {
        std::string damaged = text;
        const std::size_t at = random() % damaged.size();
        switch (random() % 3) {
        case 0:
            damaged.resize(at);
            break;
        case 1:
            damaged.insert(at, damaged.substr(random() % damaged.size(), random() % 40));
            break;
        default:
            damaged[at] = static_cast<char>(random());
        }
        last_reason reason;
        const std::optional<config_record> record = decodeRecord(damaged, &reason);
        RC_ASSERT(record.has_value() != !reason.text().empty());
        if (const config_snapshot *snapshot = record ? std::get_if<config_snapshot>(&*record) : nullptr; snapshot != nullptr) {
            config_state::make(*snapshot);
        } else if (record) {
            config_state().apply(0, std::get<config_change>(*record));
        }
    }
}

TEST(config_record, otherVersionsDeepNestingAndLongRecordsAreRejectedWithAReason)
{
    last_reason reason;
    EXPECT_FALSE(decodeRecord(R"({"v":2,"t":"change"})", &reason));
    EXPECT_EQ(reason.text(), "unknown record version");
    EXPECT_FALSE(decodeRecord(std::string(100000, '['), &reason));
    EXPECT_FALSE(decodeRecord(std::string(kMaxRecordBytes + 1, ' '), &reason));
    EXPECT_EQ(reason.text(), "record is too long");
}
