#include <gtest/gtest.h>

#include "relay/phase_planner.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Simulated engines, nine by default, whose reports of their phase are late.
struct engine_pool
{
    std::vector<registration> runs;
    phase_planner planner = phase_planner::make({});
    instant now{};
    std::map<std::string, std::pair<engine_phase, instant>> pendingMoves;
    int moves = 0;

    explicit engine_pool(std::size_t prefill, std::size_t engines = 9)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            registration run;
            run.id = "e" + std::to_string(i);
            run.phase = i < prefill ? engine_phase::Prefill : engine_phase::Decode;
            runs.push_back(run);
        }
    }

    /// Simulates 100 ms: engines report a new phase 7 s after the order, and for the first second alternate between both phases.
    void step()
    {
        now += milliseconds(100);
        for (registration &run : runs) {
            const auto order = pendingMoves.find(run.id);
            if (order == pendingMoves.end()) {
                continue;
            }
            const duration since = now - order->second.second;
            const engine_phase before = order->second.first == engine_phase::Prefill ? engine_phase::Decode : engine_phase::Prefill;
            if (since > seconds(8)) {
                run.phase = order->second.first;
                pendingMoves.erase(order);
            } else if (since > seconds(7)) {
                run.phase = (since.count() / 100'000) % 2 == 0 ? before : order->second.first;
            }
        }
        std::vector<const registration *> engines;
        for (const registration &run : runs) {
            engines.push_back(&run);
        }
        if (const auto move = planner.plan(now, engines, {})) {
            ++moves;
            pendingMoves[move->id] = {move->to, now};
        }
    }

    void run(duration time)
    {
        for (const instant until = now + time; now < until;) {
            step();
        }
    }

    /// The number of decode engines that run @p version.
    std::size_t decoding(const std::string &version) const
    {
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](const registration &engine) { return engine.phase == engine_phase::Decode && engine.softwareVersion == version; }));
    }

    std::size_t prefill() const
    {
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [](const registration &engine) { return engine.phase == engine_phase::Prefill; }));
    }
};

} // namespace

// Load pattern: the registered pools have four prefill engines where the mix of requests needs two.
TEST(PhasePlanner, SurplusEnginesAreMovedOnce)
{
    engine_pool pool(4);
    pool.run(seconds(60));
    EXPECT_EQ(pool.prefill(), 2U);
    EXPECT_EQ(pool.moves, 2);
}

// Load pattern: short generations end first, so the first measurements are far too low.
TEST(PhasePlanner, FirstShortGenerationsMoveNothing)
{
    engine_pool pool(2);
    for (int i = 0; i < 20; ++i) {
        pool.planner.notePrefill(milliseconds(95));
        pool.planner.noteDecode(milliseconds(700), 0.13);
    }
    pool.run(seconds(30));
    EXPECT_EQ(pool.moves, 0);
}

// Load pattern: a prefill engine crashes and is back before the delay for a shortage has passed.
TEST(PhasePlanner, ShortLossOfAnEngineMovesNothing)
{
    engine_pool pool(2);
    pool.planner.notePrefill(milliseconds(95));
    const registration lost = pool.runs.front();
    pool.runs.erase(pool.runs.begin());
    pool.run(milliseconds(2500));
    pool.runs.push_back(lost);
    pool.run(seconds(20));
    EXPECT_EQ(pool.moves, 0);
}

// Load pattern: a prefill engine is replaced for good in the middle of a burst.
TEST(PhasePlanner, PlannedLossIsFilledSoon)
{
    engine_pool pool(2);
    pool.planner.notePrefill(milliseconds(95));
    pool.run(seconds(1));
    pool.planner.noteLeaving(pool.now);
    pool.runs.erase(pool.runs.begin());
    pool.run(milliseconds(800));
    EXPECT_EQ(pool.moves, 1);
}

// The entry that takes over the lease has already observed the missing engine for a long time.
TEST(PhasePlanner, NewHolderDoesNotRestartTheDelay)
{
    engine_pool pool(1);
    pool.planner.notePrefill(milliseconds(95));
    std::vector<const registration *> engines;
    for (const registration &run : pool.runs) {
        engines.push_back(&run);
    }
    pool.planner.observe(instant{}, engines);
    EXPECT_TRUE(pool.planner.plan(instant{} + seconds(4), engines, {}));
}

// A holder ordered an engine to prefill and crashed; the next holder had received an update about the order.
TEST(PhasePlanner, NewHolderKnowsThePendingMoves)
{
    engine_pool pool(1);
    pool.planner.notePrefill(milliseconds(95));
    EXPECT_TRUE(pool.planner.isServing());
    std::vector<const registration *> engines;
    for (const registration &run : pool.runs) {
        engines.push_back(&run);
    }
    pool.planner.noteMoving(instant{}, engines.back()->id, engine_phase::Prefill);
    pool.planner.observe(instant{}, engines);
    EXPECT_FALSE(pool.planner.plan(instant{} + seconds(4), engines, {}));
    EXPECT_TRUE(pool.planner.plan(instant{} + seconds(20), engines, {}) || pool.planner.plan(instant{} + seconds(24), engines, {}));
}

TEST(PhasePlanner, EmptyPoolIsFilledAtOnce)
{
    engine_pool pool(0, 8);
    pool.planner.notePrefill(milliseconds(95));
    pool.step();
    EXPECT_EQ(pool.moves, 1);
}

TEST(PhasePlanner, RefusedOrderIsRepeated)
{
    engine_pool pool(4);
    std::vector<const registration *> engines;
    for (const registration &run : pool.runs) {
        engines.push_back(&run);
    }
    const auto first = pool.planner.plan(instant{} + seconds(10), engines, {});
    ASSERT_TRUE(first);
    pool.planner.cancelMove(first->id);
    const auto second = pool.planner.plan(instant{} + seconds(12), engines, {});
    ASSERT_TRUE(second);
    EXPECT_EQ(second->id, first->id);
}

TEST(PhasePlanner, BothPhasesKeepAnEngine)
{
    const phase_planner planner = phase_planner::make({});
    EXPECT_EQ(planner.wantedPrefill(0), 0U);
    EXPECT_EQ(planner.wantedPrefill(1), 1U);
    EXPECT_EQ(planner.wantedPrefill(2), 1U);
    EXPECT_EQ(planner.wantedPrefill(9), 2U);
}

// Load pattern: a release has replaced most engines, and callers take up streams that the rest began.
TEST(PhasePlanner, MissingPrefillEnginesAreNotTheLastDecodeEngineOfTheirVersion)
{
    engine_pool pool(0);
    for (registration &run : pool.runs) {
        run.softwareVersion = run.id == "e0" ? "v1" : "v1.1";
    }
    pool.run(seconds(60));
    EXPECT_EQ(pool.prefill(), 2U);
    EXPECT_EQ(pool.decoding("v1"), 1U);
}

TEST(PhasePlanner, SurplusEnginesOfAVersionWithoutADecodeEngineAreMovedFirst)
{
    engine_pool pool(4);
    for (registration &run : pool.runs) {
        run.softwareVersion = run.id == "e3" ? "v1" : "v1.1";
    }
    pool.run(seconds(60));
    EXPECT_EQ(pool.prefill(), 2U);
    EXPECT_EQ(pool.decoding("v1"), 1U);
}

TEST(PhasePlanner, OnlyEngineOfAVersionIsMovedIfNoOtherCanBe)
{
    engine_pool pool(0, 2);
    pool.runs[0].softwareVersion = "v1";
    pool.runs[1].softwareVersion = "v1.1";
    pool.run(seconds(60));
    EXPECT_EQ(pool.prefill(), 1U);
}
