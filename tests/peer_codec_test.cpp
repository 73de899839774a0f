#include "core/replay_guard.h"
#include "heatherroute/peer_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace heatherroute;

namespace
{

constexpr std::uint64_t kCluster = 7;

peer_message sampleMessage()
{
    member_update update{{"entry-2", 9}, 3, member_state::Suspected, member_details{"10.0.0.2:80", "10.0.0.2:81", "z", "r", "h"}};
    probe body{5, {"entry-2", 9}, node_summary{11, 12, 250, {{"decode", 4}}}, {update, update}};
    return {{kCluster, {"entry-1", 8}, 77}, body};
}

store_update sampleStoreGossip()
{
    upstream_update moving;
    moving.run = {"e1", "llm", "10.0.0.9:80", "z", 64, false, engine_phase::Decode, 1'000, 7};
    moving.movingTo = engine_phase::Prefill;
    upstream_update gone;
    gone.run = {"p1", "portal", "10.0.0.8:80", "z", 6, true, std::nullopt, 2'000, 9};
    gone.gone = true;
    return {12, true, 350, lease_claim::Held, {moving, gone}};
}

std::vector<std::byte> encoded(const peer_message &message)
{
    auto bytes = encodePeerMessage(message, kMaxDatagramBytes, nullptr);
    RC_ASSERT(bytes.has_value());
    return *bytes;
}

std::optional<peer_drop> dropOf(const std::vector<std::byte> &bytes)
{
    const auto result = decodePeerMessage(bytes, kMaxDatagramBytes, kCluster);
    const auto *drop = std::get_if<peer_drop>(&result);
    return drop != nullptr ? std::optional(*drop) : std::nullopt;
}

stream_origin longestOrigin()
{
    return {~std::uint64_t{0}, 1, 14'000, std::string(kMaxOriginTextBytes, 's'), std::string(kMaxOriginTextBytes, 'v')};
}

engine_placement_request longestPlacementRequest()
{
    const std::string text(kMaxPlacementTextBytes, 'e');
    return {7, text, engine_phase::Prefill, 5'000, 1, 600, std::vector<std::string>(kMaxRefusingEngines, text)};
}

placement_report longestPlacementReport()
{
    const std::string text(kMaxPlacementTextBytes, 'e');
    return {text,
            engine_phase::Decode,
            std::vector<std::uint64_t>(kMaxReportedPlacements, 7),
            std::vector<reported_placement>(kMaxReportedPlacements, {7, text, 5'000})};
}

TEST(PeerCodec, EveryKindSurvivesTheRoundTrip)
{
    const member_update update = std::get<probe>(sampleMessage().body).updates.front();
    const std::vector<peer_body> bodies = {sampleMessage().body,
                                           probe_ack{5, {"a", 1}, true, {}, {update}},
                                           indirect_probe{6, {"b", 2}, "10.0.0.3:81"},
                                           join_request{update},
                                           sync_request{{"c", 3}},
                                           sync_page{false, {"d", 4}, {update}},
                                           sampleStoreGossip(),
                                           crash_reports{{{7, {"i-1", 1'000}, 250, false}, {8, {}, 10, true}}},
                                           open_attempts{{{7, {"i-1", 1'000}, 250, 30, {1, 2}}}},
                                           part_crash_reports{{{7, {"i-1", 1'000}, 250, false, 30, {1, 2}}}},
                                           completed_parts{{{1, 20}, {2, 30}}},
                                           store_update_of_era{5, sampleStoreGossip()},
                                           limit_reports{{{{"i-1", 1'000}, true, 3.8, 250}, {{"i-2", 2'000}, false, 0, 10}}},
                                           permit_request{7, 2, {{"i-1", 1'000}, true, 3.8, 250}},
                                           permit_reply{7, 2, 30, {{"i-1", 1'000}, true, 3.8, 250}},
                                           versioned_store_update{5, sampleStoreGossip()},
                                           stream_origin_report{7, {99, 1, 14'000, "llm", "v1.1"}},
                                           stream_origin_ack{7},
                                           stream_origin_query{8, 99, 19'000, "llm"},
                                           stream_origin_reply{8, true, {99, 1, 14'000, "llm", "v1.1"}},
                                           stream_origin_batch{std::vector<stream_origin>(kMaxOriginsPerBatch, longestOrigin())},
                                           quota_request{7, std::string(kMaxTeamNameBytes, 't'), 5'000, 12, 29'000.0, 29'000.0},
                                           quota_reply{7, true, 40},
                                           quota_refund{"team", 5'000, 7},
                                           config_currency_query{~std::uint64_t{0}, 12},
                                           config_currency_reply{~std::uint64_t{0}, 12, 900},
                                           longestPlacementRequest(),
                                           placement_reply{7, "e1", 30},
                                           longestPlacementReport(),
                                           origin_record_request{7, longestOrigin()},
                                           origin_record_ack{7, ~std::uint64_t{0}}};
    for (const peer_body &body : bodies) {
        const peer_message message{sampleMessage().header, body};
        const auto bytes = encodePeerMessage(message, kMaxDatagramBytes, nullptr);
        ASSERT_TRUE(bytes);
        EXPECT_EQ(std::get<peer_message>(decodePeerMessage(*bytes, kMaxDatagramBytes, kCluster)), message);
    }
}

TEST(PeerCodec, EachKindOfInvalidPacketHasItsOwnReason)
{
    const auto good = *encodePeerMessage(sampleMessage(), kMaxDatagramBytes, nullptr);
    const auto changed = [&good](std::size_t at) {
        auto bytes = good;
        bytes[at] ^= std::byte{0x40};
        return bytes;
    };
    EXPECT_EQ(dropOf(std::vector<std::byte>(kMaxDatagramBytes + 1)), peer_drop::Oversized);
    EXPECT_EQ(dropOf(changed(1)), peer_drop::NotOurs);
    EXPECT_EQ(dropOf(changed(5)), peer_drop::WrongVersion);
    EXPECT_EQ(dropOf(changed(6)), peer_drop::ForeignCluster);
    const std::size_t kindAt = 14 + 2 + std::string("entry-1").size() + 8 + 8;
    EXPECT_EQ(dropOf(changed(kindAt)), peer_drop::UnknownKind);
    auto longer = good;
    longer.push_back(std::byte{0});
    EXPECT_EQ(dropOf(longer), peer_drop::Malformed);
    EXPECT_EQ(dropOf({}), peer_drop::Malformed);
}

TEST(PeerCodec, AMessageLargerThanADatagramIsRejectedWithAReason)
{
    peer_message message = sampleMessage();
    auto &updates = std::get<probe>(message.body).updates;
    const member_update update = updates.front();
    updates.assign(kMaxUpdatesPerMessage, update);
    last_reason reason;
    EXPECT_FALSE(encodePeerMessage(message, kMaxDatagramBytes, &reason));
    EXPECT_FALSE(reason.text().empty());
}

RC_GTEST_PROP(PeerCodec, RandomBytesAfterAPrefixOfAValidPacketNeverCrash, (const std::vector<std::uint8_t> &tail, std::uint8_t keep))
{
    auto bytes = encoded(sampleMessage());
    bytes.resize(std::min<std::size_t>(bytes.size(), keep));
    for (const std::uint8_t value : tail) {
        bytes.push_back(std::byte{value});
    }
    decodePeerMessage(bytes, kMaxDatagramBytes, kCluster);
}

RC_GTEST_PROP(PeerCodec, AMessageDecodedFromAMutatedPacketIsNoLargerThanThePacket, ())
{
    auto bytes = encoded(sampleMessage());
    const auto flips = *rc::gen::inRange(1, 6);
    for (int i = 0; i < flips; ++i) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = std::byte{*rc::gen::arbitrary<std::uint8_t>()};
    }
    const auto result = decodePeerMessage(bytes, kMaxDatagramBytes, kCluster);
    if (const auto *message = std::get_if<peer_message>(&result)) {
        RC_ASSERT(encoded(*message).size() <= bytes.size());
    }
}

TEST(ReplayGuard, AcceptsReorderedAndRejectsRepeatedAndOldSequences)
{
    replay_guard guard(2);
    const member_id sender{"a", 1};
    EXPECT_TRUE(guard.accept(sender, 5000));
    EXPECT_FALSE(guard.accept(sender, 5000));
    EXPECT_TRUE(guard.accept(sender, 4990));
    EXPECT_FALSE(guard.accept(sender, 4990));
    EXPECT_FALSE(guard.accept(sender, 3000));
    EXPECT_TRUE(guard.accept({"a", 2}, 1)) << "a restarted sender counts from the start";
    EXPECT_TRUE(guard.accept({"b", 1}, 1));
    EXPECT_FALSE(guard.accept({"b", 1}, 1)) << "a full table must not evict the most recent sender";
}

} // namespace
