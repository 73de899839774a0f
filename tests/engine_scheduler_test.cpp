#include <gtest/gtest.h>

#include "relay/engine_scheduler.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kMemory = 102'942;
constexpr std::uint32_t kPrompt = 5'200;

registration engineOf(const std::string &id, engine_phase phase)
{
    registration run;
    run.id = id;
    run.phase = phase;
    return run;
}

prompt_facts promptOf(std::uint32_t tokens)
{
    prompt_facts prompt;
    prompt.promptTokens = tokens;
    prompt.maxOutputTokens = 8'320;
    return prompt;
}

} // namespace

// Load pattern: 40 prompts arrive at once at one prefill engine, from entries that don't know each other's load. The engine admits
// what fits into its memory: the reservations and the prompts themselves.
TEST(EngineScheduler, PrefillReservationsBoundTheBacklogOfAllEntries)
{
    const engine_scheduler scheduler = engine_scheduler::make({});
    const std::uint32_t reservation = scheduler.prefillReservation(promptOf(kPrompt), kMemory);
    std::uint32_t admitted = 0;
    for (std::uint32_t used = 0; used + reservation + kPrompt <= kMemory; used += reservation + kPrompt) {
        ++admitted;
    }
    const duration backlog = admitted * scheduler.computeTime(kPrompt);
    EXPECT_LE(backlog, milliseconds(550));
    EXPECT_GE(backlog, milliseconds(350));
}

TEST(EngineScheduler, GenerationReservesPromptAndOutputTokens)
{
    const engine_scheduler scheduler = engine_scheduler::make({});
    EXPECT_EQ(scheduler.reservedTokens(promptOf(kPrompt)), kPrompt + 8'320U);
}

TEST(EngineScheduler, FullEngineIsSkippedDuringItsBackoff)
{
    engine_scheduler scheduler = engine_scheduler::make({});
    const registration a = engineOf("a", engine_phase::Decode);
    const registration b = engineOf("b", engine_phase::Decode);
    const std::vector<upstream_candidate> both = {{&a, 1.0, 0.0}, {&b, 1.0, 0.0}};
    std::mt19937_64 random(1);
    scheduler.noteFull(instant{}, "a");
    const auto order = scheduler.decodeOrder(instant{} + milliseconds(1), both, random);
    ASSERT_EQ(order.size(), 1U);
    EXPECT_EQ(order.front()->id, "b");
    EXPECT_EQ(scheduler.decodeOrder(instant{} + seconds(1), both, random).size(), 2U);
}

TEST(EngineScheduler, DelayedPrefillEngineIsSkippedUntilItsDelayDecays)
{
    engine_scheduler scheduler = engine_scheduler::make({});
    const registration slow = engineOf("slow", engine_phase::Prefill);
    const registration idle = engineOf("idle", engine_phase::Prefill);
    const std::vector<upstream_candidate> both = {{&slow, 1.0, 0.0}, {&idle, 1.0, 0.0}};
    std::mt19937_64 random(1);
    for (int i = 0; i < 10; ++i) {
        scheduler.notePrefill(instant{}, "slow", kPrompt, seconds(2));
    }
    EXPECT_EQ(scheduler.prefillOrder(instant{}, both, random).size(), 1U);
    EXPECT_EQ(scheduler.prefillOrder(instant{} + seconds(5), both, random).size(), 2U);
}

// Load pattern: an engine leaves during an outage of the store; it refuses everything, and no entry knows the reason.
TEST(EngineScheduler, EngineThatRefusesEverythingIsQueried)
{
    engine_scheduler scheduler = engine_scheduler::make({});
    const registration leaving = engineOf("leaving", engine_phase::Prefill);
    const registration busy = engineOf("busy", engine_phase::Prefill);
    const std::vector<const registration *> engines = {&leaving, &busy};
    int probes = 0;
    for (instant now{}; now < instant{} + seconds(5); now += milliseconds(100)) {
        scheduler.noteFull(now, "leaving");
        scheduler.noteFull(now, "busy");
        scheduler.noteAccepted("busy");
        for (const std::string &id : scheduler.enginesToQuery(now, engines)) {
            EXPECT_EQ(id, "leaving");
            ++probes;
        }
    }
    EXPECT_GE(probes, 2);
    EXPECT_LE(probes, 3);
}
