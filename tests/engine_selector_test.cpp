#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "core/engine_selector.h"
#include "core/load_poller.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kSlots = 3;
constexpr std::uint32_t kPieces = 10;

/// A selector with two prefill and two decode engines of one model.
struct selector_fixture
{
    core_context context;
    upstream_table upstreams;
    engine_selector engines{context, upstreams};
    instant now{seconds(1)};

    explicit selector_fixture(placement_kind kind = placement_kind::OwnerGrants)
        : context(optionsOf(kind))
    {
        for (const std::string number : {"1", "2"}) {
            add("prefill-" + number, upstream_kind::PrefillEngine);
            add("decode-" + number, upstream_kind::DecodeEngine);
        }
        context.begin(now);
    }

    static core_options optionsOf(placement_kind kind)
    {
        core_options options;
        options.entryName = "entry";
        options.half = "half";
        options.seed = 7;
        options.placement = kind;
        return options;
    }

    void add(const std::string &name, upstream_kind kind)
    {
        upstreams.upsert({name, "127.0.0.1:1", "zone", "half", kind, "model", kSlots, kPieces, 100, upstream_state::Active, false});
    }

    void wait(duration time)
    {
        now += time;
        context.begin(now);
        engines.onTick();
    }

    std::optional<engine_pair> reserve(std::uint32_t promptTokens = 100, std::uint32_t totalTokens = 200)
    {
        return engines.reservePair({"model", promptTokens, totalTokens, priority_class::Interactive, {}});
    }

    void release(engine_pair &pair)
    {
        engines.releasePrefill(pair.prefill.name, pair.progress);
        engines.releaseDecode(pair.decode.name, pair.pieces, pair.progress);
    }

    bool nothingHeld() const
    {
        const auto all = upstreams.all();
        return std::all_of(all.begin(), all.end(), [](const auto *each) { return each->used == upstream_table::usage{}; });
    }
};

} // namespace

RC_GTEST_PROP(EngineSelector, NeverReservesBeyondCapacityAndReleasesEverything, ())
{
    const auto kind = *rc::gen::element(placement_kind::Random, placement_kind::RoundRobin, placement_kind::TwoChoices, placement_kind::OwnerGrants);
    selector_fixture fixture(kind);
    std::vector<engine_pair> held;
    for (const std::uint32_t step : *rc::gen::container<std::vector<std::uint32_t>>(60, rc::gen::inRange<std::uint32_t>(0, 1000))) {
        fixture.wait(milliseconds(step));
        if (step % 3 == 0 && !held.empty()) {
            engine_pair &last = held.back();
            fixture.engines.prefillFinished(last.prefill.name, last.progress, 100);
            fixture.engines.tokensReceived(last.prefill.name, last.decode.name, last.pieces, last.progress);
            fixture.release(last);
            held.pop_back();
        } else if (auto pair = fixture.reserve(100, 100 + step)) {
            held.push_back(*pair);
        }
        for (const upstream_table::entry *each : fixture.upstreams.all()) {
            const bool decode = each->config.kind == upstream_kind::DecodeEngine;
            RC_ASSERT(!decode || (each->used.slots <= kSlots && each->used.pieces <= kPieces));
        }
    }
    for (engine_pair &pair : held) {
        fixture.release(pair);
    }
    RC_ASSERT(fixture.nothingHeld());
}

TEST(EngineSelector, RefusesWithoutAReservationWhenNoPairMeetsTheTargets)
{
    selector_fixture fixture;
    for (const std::string name : {"prefill-1", "prefill-2"}) {
        fixture.engines.loadReported(name, {1, 100, 0});
    }
    EXPECT_FALSE(fixture.reserve());
    EXPECT_GT(fixture.engines.retryAfter(), duration::zero());
    EXPECT_TRUE(fixture.nothingHeld());
}

TEST(EngineSelector, IgnoresStaleReportsButCountsOwnReservations)
{
    selector_fixture fixture;
    for (const std::string name : {"decode-1", "decode-2"}) {
        fixture.engines.loadReported(name, {kSlots, 0, 0});
    }
    EXPECT_FALSE(fixture.reserve());
    fixture.wait(seconds(3));
    std::uint32_t reserved = 0;
    while (fixture.reserve()) {
        ++reserved;
        fixture.wait(seconds(3));
    }
    EXPECT_EQ(reserved, 2 * kSlots);
}

TEST(EngineSelector, DoesNotChooseAFullEngineUntilItsNextReport)
{
    selector_fixture fixture;
    fixture.engines.markFull("decode-1");
    for (int round = 0; round < 20; ++round) {
        auto pair = fixture.reserve();
        ASSERT_TRUE(pair);
        EXPECT_EQ(pair->decode.name, "decode-2");
        fixture.release(*pair);
    }
    fixture.engines.loadReported("decode-1", {0, 0, 0});
    fixture.engines.markFull("decode-2");
    EXPECT_EQ(fixture.reserve()->decode.name, "decode-1");
}

TEST(EngineSelector, DoesNotCountOwnWorkInAReportTwice)
{
    selector_fixture fixture;
    fixture.upstreams.remove("decode-2");
    auto pair = fixture.reserve();
    ASSERT_TRUE(pair);
    fixture.engines.prefillFinished(pair->prefill.name, pair->progress, 100);
    fixture.engines.tokensReceived(pair->prefill.name, pair->decode.name, pair->pieces, pair->progress);
    fixture.engines.loadReported("decode-1", {1, pair->pieces, 0});
    EXPECT_TRUE(fixture.reserve());
    EXPECT_TRUE(fixture.reserve());
    EXPECT_FALSE(fixture.reserve());
}

TEST(LoadPoller, PollsEveryEngineAtABoundedRate)
{
    selector_fixture fixture;
    fixture.upstreams.upsert({"service", "127.0.0.1:1", "zone", "half", upstream_kind::PlainService, "service", 1, 0, 0, upstream_state::Active, false});
    load_poller loads(fixture.context, fixture.upstreams, fixture.engines);
    std::map<std::string, int> polls;
    for (int tick = 0; tick < 1000; ++tick) {
        fixture.wait(milliseconds(10));
        loads.onTick();
        for (const core_action &action : fixture.context.takeActions()) {
            if (const auto *poll = std::get_if<poll_load>(&action)) {
                ++polls[poll->upstreamName];
            }
        }
    }
    EXPECT_EQ(polls.size(), 4U);
    for (const auto &[name, count] : polls) {
        EXPECT_GE(count, 20) << name;
        EXPECT_LE(count, 40) << name;
    }
}
