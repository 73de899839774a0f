#include "standins/decode_model.h"
#include "standins/platform_model.h"
#include "standins/prefill_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace
{

using namespace heatherroute;
using namespace heatherroute::standins;

constexpr std::size_t kPieceTokens = 10;

engine_settings smallEngine()
{
    engine_settings settings;
    settings.slots = 4;
    settings.pieces = 12;
    settings.pieceTokens = kPieceTokens;
    settings.cacheTokens = 4 * kCacheBlockTokens;
    return settings;
}

std::string words(std::size_t count, std::size_t kind)
{
    std::string text;
    for (std::size_t index = 0; index < count; ++index) {
        text += 'w' + std::to_string(kind) + ' ';
    }
    return text;
}

engine_request randomRequest(std::size_t id)
{
    engine_request request;
    request.requestId = "r" + std::to_string(id);
    request.prompt = words(*rc::gen::inRange<std::size_t>(1, 60), *rc::gen::inRange<std::size_t>(0, 3));
    request.maxTokens = *rc::gen::inRange<std::size_t>(1, 40);
    request.priority = *rc::gen::inRange(0, 3);
    request.deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    return request;
}

template<typename Model>
std::size_t piecesHeld(const Model &model)
{
    std::size_t pieces = 0;
    for (const auto &holder : model.holders()) {
        pieces += holder.pieces;
    }
    return pieces;
}

RC_GTEST_PROP(decode_model, listedRequestsHoldAllUsedMemoryAndFreeItAtTheEnd, ())
{
    const engine_settings settings = smallEngine();
    decode_model model(settings);
    instant now(std::chrono::seconds(1));
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 60);
    for (std::size_t id = 0; id < count; ++id) {
        std::size_t record = 0;
        now += duration(*rc::gen::inRange(0, 60000));
        const auto request = randomRequest(id);
        const std::size_t needed = piecesFor(countTokens(request.prompt) + request.maxTokens, kPieceTokens);
        model.advance(now);
        const std::size_t freeBefore = model.piecesFree();
        const std::size_t slotsBefore = model.slotsUsed();
        const refusal refused = model.accept(now, request, &record);
        RC_ASSERT((refused == refusal::NoSlot) == (slotsBefore == settings.slots));
        RC_ASSERT((refused == refusal::None) == (slotsBefore < settings.slots && needed <= freeBefore));
        const std::string other = "r" + std::to_string(*rc::gen::inRange<std::size_t>(0, id + 1));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            model.cancel(now, other);
            break;
        case 1:
            model.detach(now, other);
            break;
        case 2:
            model.failTransfer(now, other);
            break;
        default:
            model.markSourceComplete(now, other);
            break;
        }
        RC_ASSERT(piecesHeld(model) + model.piecesFree() == settings.pieces);
        RC_ASSERT(model.holders().size() == model.slotsUsed());
        RC_ASSERT(model.slotsUsed() <= settings.slots);
    }
    for (std::size_t id = 0; id < count; ++id) {
        model.detach(now, "r" + std::to_string(id));
    }
    model.advance(now + settings.detachTimeout);
    RC_ASSERT(model.piecesFree() == settings.pieces);
    RC_ASSERT(model.slotsUsed() == 0U);
}

RC_GTEST_PROP(prefill_model, everyPrefillEndsOnceAndFreesItsMemory, ())
{
    const engine_settings settings = smallEngine();
    prefill_model model(settings);
    instant now(std::chrono::seconds(1));
    std::multiset<std::uint64_t> answered;
    std::set<std::uint64_t> submitted;
    const auto collect = [&] {
        for (const auto &outcome : model.takeOutcomes()) {
            answered.insert(outcome.id);
        }
    };
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 60);
    for (std::size_t id = 0; id < count; ++id) {
        now += duration(*rc::gen::inRange(0, 20000));
        std::uint64_t job = 0;
        if (model.submit(now, randomRequest(id), &job) == refusal::None) {
            submitted.insert(job);
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            model.cancel(now, "r" + std::to_string(*rc::gen::inRange<std::size_t>(0, id + 1)));
        }
        if (*rc::gen::inRange(0, 2) == 0) {
            model.startTransfer(now, *rc::gen::inRange<std::uint64_t>(1, id + 2));
        }
        RC_ASSERT(piecesHeld(model) + model.piecesFree() == settings.pieces);
        RC_ASSERT(model.cache().blocks() <= settings.cacheTokens / kCacheBlockTokens);
        collect();
    }
    while (const auto next = model.nextEvent()) {
        now = std::max(now, *next);
        model.advance(now);
    }
    collect();
    RC_ASSERT(answered == std::multiset<std::uint64_t>(submitted.begin(), submitted.end()));
    RC_ASSERT(model.piecesFree() == settings.pieces);
    for (const auto &record : model.records()) {
        RC_ASSERT(record.reason != end_reason::Open);
    }
}

TEST(prefill_model, higherPriorityStartsFirstAndCachedPrefixIsNotRecomputed)
{
    engine_settings settings = smallEngine();
    settings.pieces = 100;
    prefill_model model(settings);
    const instant start(std::chrono::seconds(1));
    std::uint64_t id = 0;
    const auto submit = [&](const char *name, std::size_t kind, std::int64_t priority) {
        engine_request request;
        request.requestId = name;
        request.prompt = words(kCacheBlockTokens + 6, kind);
        request.priority = priority;
        ASSERT_EQ(model.submit(start, request, &id), refusal::None);
    };
    submit("running", 1, 0);
    submit("low", 2, 0);
    submit("high", 1, 1);
    model.advance(start + std::chrono::seconds(1));
    const auto &records = model.records();
    EXPECT_LT(records[2].start, records[1].start);
    EXPECT_EQ(records[2].cachedTokens, kCacheBlockTokens);
    EXPECT_EQ(records[2].computedTokens, 6U);
    EXPECT_EQ(records[1].cachedTokens, 0U);
}

TEST(link_model, transfersShareTheRateEvenly)
{
    link_model link(2); // Bytes per microsecond.
    const instant start(std::chrono::seconds(1));
    const auto first = link.start(start, 1000);
    EXPECT_TRUE(link.advance(start + duration(250)).empty());
    const auto second = link.start(start + duration(250), 1000);
    EXPECT_EQ(link.advance(start + duration(751)), std::vector<std::uint64_t>{first});
    EXPECT_TRUE(link.advance(start + duration(990)).empty());
    EXPECT_EQ(link.advance(start + duration(1002)), std::vector<std::uint64_t>{second});
}

TEST(log_model, offsetsKeepGrowingAfterRetentionAndReadsOfExpiredOffsetsFail)
{
    log_settings settings;
    settings.retentionRecords = 3;
    settings.retentionAge = std::chrono::seconds(10);
    settings.appendsPerSecond = 2;
    log_model log(settings);
    const instant start(std::chrono::seconds(100));
    EXPECT_EQ(log.append(start, "s", {"0", "1", "2", "3", "4"}).next, 5U);
    EXPECT_EQ(log.oldest(start, "s"), 2U);
    EXPECT_FALSE(log.read(start, "s", 1, 10).has_value());
    EXPECT_EQ(log.read(start, "s", 3, 10)->front().data, "3");
    EXPECT_TRUE(log.read(start, "s", 5, 10)->empty());
    const instant later = start + std::chrono::seconds(10);
    EXPECT_EQ(log.oldest(later, "s"), 5U);
    EXPECT_EQ(log.append(later, "s", {"5"}).first, 5U);
    EXPECT_TRUE(log.admitAppend(later));
    EXPECT_TRUE(log.admitAppend(later));
    EXPECT_FALSE(log.admitAppend(later + std::chrono::milliseconds(999)));
    EXPECT_TRUE(log.admitAppend(later + std::chrono::seconds(1)));
}

} // namespace
