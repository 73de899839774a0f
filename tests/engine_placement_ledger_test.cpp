#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "relay/engine_placement_ledger.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kMemoryTokens = 67'167;
constexpr std::uint32_t kSlots = 12;

/// A coordinator with engines `e0`, `e1` and so on.
struct coordinated_pool
{
    explicit coordinated_pool(std::size_t engines, engine_phase phase = engine_phase::Decode, std::uint32_t slots = kSlots, std::uint64_t seed = 7)
        : ledger(engine_placement_ledger::make({}, phase, instant(seconds(1'000)), seed))
    {
        std::vector<placement_engine> all;
        for (std::size_t i = 0; i < engines; ++i) {
            all.push_back({"e" + std::to_string(i), slots, kMemoryTokens, 1.0});
        }
        ledger.setEngines(std::move(all));
    }

    std::vector<placement_decision> ask(const engine_placement_request &request, const std::string &sender = "a:1")
    {
        return ledger.onRequest(now, sender, request);
    }
    /// Asks for @p tokens and returns the assigned engine; empty without one.
    std::string engineFor(std::uint64_t number, std::uint32_t tokens, std::vector<std::string> refusing = {}, std::uint32_t maxWaitMs = 0)
    {
        engine_placement_request request{number, "chat", engine_phase::Decode, tokens, 0, maxWaitMs, std::move(refusing)};
        const auto decisions = ask(request);
        return decisions.empty() ? "" : decisions.back().reply.engine;
    }
    std::vector<placement_decision> end(std::vector<std::uint64_t> numbers, const std::string &sender = "a:1")
    {
        return ledger.onReport(now, sender, {"chat", engine_phase::Decode, std::move(numbers), {}});
    }
    void keep(const std::string &engine, std::uint64_t number, std::uint32_t tokens)
    {
        ledger.onReport(now, "a:1", {"chat", engine_phase::Decode, {}, {{number, engine, tokens}}});
    }

    instant now = instant(seconds(1'000));
    engine_placement_ledger ledger;
};

engine_placement_request requestOf(std::uint64_t number, std::uint32_t priority = 0, std::uint32_t maxWaitMs = 600, std::uint32_t tokens = 5'000)
{
    return {number, "chat", engine_phase::Decode, tokens, priority, maxWaitMs, {}};
}

std::vector<std::uint64_t> placedIn(const std::vector<placement_decision> &decisions)
{
    std::vector<std::uint64_t> numbers;
    for (const placement_decision &decision : decisions) {
        if (decision.kind == placement_decision_kind::Placed) {
            numbers.push_back(decision.reply.number);
        }
    }
    return numbers;
}

std::vector<placement_decision> refusedIn(std::vector<placement_decision> decisions)
{
    std::erase_if(decisions, [](const placement_decision &one) { return one.kind != placement_decision_kind::NoRoom; });
    return decisions;
}

} // namespace

// Guards against the choice by count alone, which fills the memory of the engine with the large requests.
TEST(EnginePlacementLedger, DecodesGoToTheSmallestShareOfMemoryOrSlots)
{
    coordinated_pool pool(2);
    pool.keep("e0", 100, 30'000);
    for (std::uint64_t number = 101; number < 104; ++number) {
        pool.keep("e1", number, 1'000);
    }
    EXPECT_EQ(pool.engineFor(1, 5'000), "e1");
    // By slots e1 is the fuller one now, although it has fewer tokens.
    for (std::uint64_t number = 104; number < 108; ++number) {
        pool.keep("e1", number, 100);
    }
    EXPECT_EQ(pool.engineFor(2, 100), "e0");
}

// Guards against reservations that the engine refuses: its blocks and slots are used up although the sum of tokens would fit.
TEST(EnginePlacementLedger, EnginesWithoutRoomAreLeftOut)
{
    coordinated_pool slots(1);
    for (std::uint64_t number = 1; number <= kSlots; ++number) {
        EXPECT_EQ(slots.engineFor(number, 10), "e0") << number;
    }
    EXPECT_EQ(slots.engineFor(20, 10), "");

    coordinated_pool memory(1, engine_phase::Decode, 0);
    std::uint32_t placed = 0;
    // Each takes two blocks, 32 tokens.
    while (memory.engineFor(placed + 1, 17) == "e0") {
        placed += 1;
    }
    EXPECT_LE(placed * 32, kMemoryTokens);
    EXPECT_LT(memory.ledger.tokensAt("e0"), kMemoryTokens);
    EXPECT_GE(placed * 32, kMemoryTokens * 95 / 100);
}

// Guards against a request that is never placed since it is larger than the part of the memory that is used.
TEST(EnginePlacementLedger, IdleEngineTakesARequestOfAnySize)
{
    coordinated_pool pool(1);
    EXPECT_EQ(pool.engineFor(1, kMemoryTokens), "e0");
}

// Guards against prompts that wait in an engine's queue for longer than their latency target.
TEST(EnginePlacementLedger, PrefillsGoToTheFewestPromptTokensUpToTheBacklog)
{
    coordinated_pool pool(2, engine_phase::Prefill);
    std::map<std::string, std::uint32_t> tokens;
    for (std::uint64_t number = 1; number <= 12; ++number) {
        const std::string engine = pool.engineFor(number, 5'200);
        tokens[engine] += 5'200;
    }
    // 500 ms at 55 tokens per ms.
    EXPECT_LE(tokens["e0"], 27'500U);
    EXPECT_LE(tokens["e1"], 27'500U);
    EXPECT_EQ(tokens["e0"], tokens["e1"]);
    EXPECT_GT(tokens[""], 0U);
}

// Guards against all new requests at the first engine of the list when several are equal.
TEST(EnginePlacementLedger, TiesAreBrokenAtRandom)
{
    std::set<std::string> chosen;
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        coordinated_pool pool(4, engine_phase::Decode, kSlots, seed);
        chosen.insert(pool.engineFor(1, 5'000));
    }
    EXPECT_EQ(chosen.size(), 4U);
}

// Guards against an engine that recovers from a failure and gets as much as a healthy one, or all of the work since it has the least.
TEST(EnginePlacementLedger, EnginesWithLessWeightGetLess)
{
    coordinated_pool pool(0);
    pool.ledger.setEngines({{"e0", 0, kMemoryTokens, 1.0}, {"e1", 0, kMemoryTokens, 0.25}, {"e2", 0, kMemoryTokens, 0.0}});
    for (std::uint64_t number = 1; number <= 10; ++number) {
        pool.engineFor(number, 1'000);
    }
    EXPECT_EQ(pool.ledger.countAt("e0"), 8U);
    EXPECT_EQ(pool.ledger.countAt("e1"), 2U);
    EXPECT_EQ(pool.ledger.countAt("e2"), 0U);
}

// Guards against work for an ejected engine when all others are full, and against a refusal as full when there are only ejected ones.
TEST(EnginePlacementLedger, EjectedEnginesGetNothing)
{
    coordinated_pool pool(0);
    pool.ledger.setEngines({{"e0", 1, kMemoryTokens, 1.0}, {"e1", 1, kMemoryTokens, 0.0}});
    EXPECT_EQ(pool.engineFor(1, 1'000), "e0");
    EXPECT_EQ(pool.ask(requestOf(2, 0, 0)).back().kind, placement_decision_kind::NoRoom);
    pool.ledger.setEngines({{"e1", 1, kMemoryTokens, 0.0}});
    EXPECT_EQ(pool.ask(requestOf(3, 0, 0)).back().kind, placement_decision_kind::NoEngine);
}

// Guards against a request that is sent to the engine that has just refused it, and against a refusal as full when none is allowed.
TEST(EnginePlacementLedger, RefusingEnginesAreLeftOut)
{
    coordinated_pool pool(2);
    EXPECT_EQ(pool.engineFor(1, 5'000, {"e0"}), "e1");
    const auto none = pool.ask({2, "chat", engine_phase::Decode, 5'000, 0, 600, {"e0", "e1"}});
    ASSERT_EQ(none.size(), 1U);
    EXPECT_EQ(none[0].kind, placement_decision_kind::NoEngine);
    EXPECT_EQ(none[0].reply.waitMs, 0U);
}

// Guards against further refusals of an engine that is fuller than the coordinator knows, and against an engine that stays unused.
TEST(EnginePlacementLedger, EngineThatRefusedIsSkippedForAWhile)
{
    coordinated_pool pool(2);
    pool.keep("e1", 100, 30'000);
    ASSERT_EQ(pool.engineFor(1, 5'000), "e0");
    EXPECT_EQ(pool.engineFor(2, 5'000, {"e0"}), "e1");
    EXPECT_EQ(pool.engineFor(3, 5'000), "e1");
    pool.now += milliseconds(81);
    EXPECT_EQ(pool.engineFor(4, 5'000), "e0");
    // A placement that ends there makes room earlier.
    EXPECT_EQ(pool.engineFor(5, 5'000, {"e0"}), "e1");
    pool.keep("e0", 101, 100);
    pool.end({101});
    EXPECT_EQ(pool.engineFor(6, 5'000), "e0");
}

// Guards against an engine that is skipped for all since one request may not use it, for example by its software version.
TEST(EnginePlacementLedger, EngineThatWasNotAssignedIsNotSkippedForOthers)
{
    coordinated_pool pool(2);
    pool.keep("e1", 100, 20'000);
    // One of the same sender and size goes on there, of an earlier time.
    pool.keep("e0", 101, 5'000);
    EXPECT_EQ(pool.engineFor(1, 5'000, {"e0"}), "e1");
    EXPECT_EQ(pool.engineFor(2, 5'000), "e0");
    EXPECT_EQ(pool.ledger.countAt("e0"), 2U);
}

// Guards against urgent requests that wait behind others, and against an order that isn't by age within a priority.
TEST(EnginePlacementLedger, WaitingRequestsAreServedByPriorityThenAge)
{
    coordinated_pool pool(1, engine_phase::Decode, 3);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        pool.engineFor(number, 100);
    }
    pool.ask(requestOf(11, 1));
    pool.ask(requestOf(12, 0));
    pool.ask(requestOf(13, 0));
    EXPECT_EQ(placedIn(pool.end({1})), (std::vector<std::uint64_t>{12}));
    EXPECT_EQ(placedIn(pool.end({2})), (std::vector<std::uint64_t>{13}));
    EXPECT_EQ(placedIn(pool.end({3})), (std::vector<std::uint64_t>{11}));
}

// Guards against less urgent requests that get nothing while more urgent ones ask for all there is.
TEST(EnginePlacementLedger, LessUrgentWorkIsPlacedAtLeastHalfAsOftenAsAll)
{
    for (const std::uint32_t urgentOfTen : {2U, 4U, 5U, 8U}) {
        coordinated_pool pool(1, engine_phase::Decode, 10);
        std::array<double, 2> asked{};
        std::array<double, 2> placed{};
        std::map<std::uint64_t, std::uint32_t> priorities;
        std::multimap<instant, std::uint64_t> running;
        const auto note = [&](const std::vector<placement_decision> &decisions) {
            for (const std::uint64_t number : placedIn(decisions)) {
                placed.at(priorities.at(number)) += 1;
                running.emplace(pool.now + milliseconds(200), number);
            }
        };
        // 125 requests per second, of which 50 fit.
        for (std::uint64_t number = 1; number <= 4'000; ++number) {
            pool.now += milliseconds(8);
            while (!running.empty() && running.begin()->first <= pool.now) {
                note(pool.end({running.begin()->second}));
                running.erase(running.begin());
            }
            const std::uint32_t priority = number * 7 % 10 < urgentOfTen ? 0 : 1;
            priorities[number] = priority;
            asked.at(priority) += 1;
            note(pool.ask(requestOf(number, priority, 600, 100)));
            note(pool.ledger.advance(pool.now));
        }
        const double all = (placed[0] + placed[1]) / (asked[0] + asked[1]);
        EXPECT_GE(placed[1] / asked[1], 0.5 * all) << urgentOfTen;
        EXPECT_GE(placed[0] / asked[0], 0.5 * all) << urgentOfTen;
        EXPECT_GE(placed[0] / asked[0], placed[1] / asked[1]) << urgentOfTen;
        EXPECT_GE(all, 0.38) << urgentOfTen; // 0.4 fit.
    }
}

// Guards against callers that wait for their whole time and are refused then.
TEST(EnginePlacementLedger, WaitThatCannotBeMetIsRefusedAtOnce)
{
    coordinated_pool pool(1, engine_phase::Decode, 4);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        pool.engineFor(number, 100);
    }
    // Placements last a second, so that 4 end per second.
    pool.now += seconds(1);
    pool.end({1, 2, 3, 4});
    for (std::uint64_t number = 5; number <= 8; ++number) {
        ASSERT_EQ(pool.engineFor(number, 100), "e0");
    }
    const auto first = pool.ask(requestOf(11, 0, 600));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].kind, placement_decision_kind::Queued);
    EXPECT_TRUE(first[0].reply.queued);
    pool.ask(requestOf(12, 0, 600));
    const auto third = pool.ask(requestOf(13, 0, 600));
    ASSERT_EQ(refusedIn(third).size(), 1U);
    EXPECT_EQ(third[0].reply.number, 13U);
    EXPECT_EQ(third[0].reply.waitMs, 750U);
    EXPECT_EQ(third[0].ahead, 2U);
}

// Guards against requests that go on waiting although nothing ends any more, or although more urgent ones have come.
TEST(EnginePlacementLedger, WaitThatCannotBeMetAnyLongerIsRefusedWhileItWaits)
{
    coordinated_pool pool(1, engine_phase::Decode, 4);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        pool.engineFor(number, 100);
    }
    pool.now += seconds(1);
    pool.end({1, 2, 3, 4});
    for (std::uint64_t number = 5; number <= 8; ++number) {
        pool.engineFor(number, 100);
    }
    pool.ask(requestOf(11, 0, 600));
    pool.now += milliseconds(200);
    EXPECT_TRUE(refusedIn(pool.ledger.advance(pool.now)).empty());
    pool.now += milliseconds(200);
    const auto refused = refusedIn(pool.ledger.advance(pool.now));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reply.number, 11U);
    EXPECT_GT(refused[0].reply.waitMs, 0U);
}

// Guards against requests without a time for waiting that are queued, so that their senders time out.
TEST(EnginePlacementLedger, RequestWithoutTimeIsRefusedAtOnce)
{
    coordinated_pool pool(1, engine_phase::Decode, 1);
    ASSERT_EQ(pool.engineFor(1, 100), "e0");
    const auto decisions = pool.ask(requestOf(2, 0, 0));
    ASSERT_EQ(refusedIn(decisions).size(), 1U);
    EXPECT_GT(decisions[0].reply.waitMs, 0U);
}

// Guards against large requests that are never served since smaller ones pass them.
TEST(EnginePlacementLedger, SmallRequestsDoNotPassALargeOne)
{
    coordinated_pool pool(1);
    ASSERT_EQ(pool.engineFor(1, 30'000), "e0");
    ASSERT_EQ(pool.engineFor(2, 30'000), "e0");
    EXPECT_EQ(pool.ask(requestOf(3, 0, 600, 20'000)).back().kind, placement_decision_kind::Queued);
    EXPECT_EQ(pool.ask(requestOf(4, 0, 600, 1'000)).back().kind, placement_decision_kind::Queued);
    EXPECT_EQ(placedIn(pool.end({1})), (std::vector<std::uint64_t>{3, 4}));
}

// Guards against engines that look full for ever after their entry was lost, or its messages were.
TEST(EnginePlacementLedger, PlacementsThatAreInNoReportEnd)
{
    coordinated_pool pool(1, engine_phase::Decode, 2);
    ASSERT_EQ(pool.engineFor(1, 100), "e0");
    ASSERT_EQ(pool.engineFor(2, 100), "e0");
    for (int i = 0; i < 4; ++i) {
        pool.now += seconds(1);
        pool.keep("e0", 1, 100);
        pool.ledger.advance(pool.now);
    }
    EXPECT_EQ(pool.ledger.countAt("e0"), 1U);
    EXPECT_EQ(pool.ledger.tokensAt("e0"), 112U);
}

// Guards against a new coordinator that fills engines which are in use.
TEST(EnginePlacementLedger, ReportsTeachANewCoordinator)
{
    coordinated_pool pool(2);
    pool.keep("e0", 100, 40'000);
    EXPECT_EQ(pool.ledger.tokensAt("e0"), 40'000U);
    EXPECT_EQ(pool.engineFor(1, 5'000), "e1");
    // A report that comes after the end doesn't begin it again.
    pool.end({100});
    pool.keep("e0", 100, 40'000);
    EXPECT_EQ(pool.ledger.tokensAt("e0"), 0U);
}

// Guards against two placements, or two places in the queue, for a request whose reply was lost.
TEST(EnginePlacementLedger, RepeatedRequestGetsTheSameReply)
{
    coordinated_pool pool(3, engine_phase::Decode, 1);
    const std::string engine = pool.engineFor(1, 5'000);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(pool.engineFor(1, 5'000), engine);
    }
    EXPECT_EQ(pool.ledger.countAt(engine), 1U);
    // The same number of another sender is another request.
    EXPECT_NE(pool.ask(requestOf(1), "b:1").back().reply.engine, engine);
    pool.engineFor(2, 5'000);
    EXPECT_EQ(pool.ask(requestOf(3)).back().kind, placement_decision_kind::Queued);
    EXPECT_EQ(pool.ask(requestOf(3)).back().kind, placement_decision_kind::Queued);
    EXPECT_EQ(pool.ledger.waiting()[0], 1U);
    const auto refused = pool.ask(requestOf(4, 0, 0));
    EXPECT_EQ(pool.ask(requestOf(4, 0, 0)).back().reply, refused.back().reply);
}

// Guards against a placement that nobody uses: the request arrives after its sender has given up.
TEST(EnginePlacementLedger, RequestThatWasGivenUpIsNotPlaced)
{
    coordinated_pool pool(1, engine_phase::Decode, 1);
    pool.end({1});
    EXPECT_EQ(pool.engineFor(1, 100), "");
    EXPECT_EQ(pool.ledger.countAt("e0"), 0U);
    ASSERT_EQ(pool.engineFor(2, 100), "e0");
    pool.ask(requestOf(3));
    pool.end({3});
    EXPECT_TRUE(placedIn(pool.end({2})).empty());
}

// Guards against memory that grows with the requests and reports of faulty entries.
TEST(EnginePlacementLedger, MemoryIsBounded)
{
    coordinated_pool pool(1, engine_phase::Decode, 1);
    const placement_ledger_settings settings;
    ASSERT_EQ(pool.engineFor(1, 100), "e0");
    for (std::uint64_t number = 2; number < 5'000; ++number) {
        pool.ask(requestOf(number, number % 3, 60'000));
    }
    std::size_t waiting = 0;
    for (const std::size_t each : pool.ledger.waiting()) {
        waiting += each;
    }
    EXPECT_LE(waiting, settings.maxWaiting);
    for (std::uint64_t number = 30'000; number < 60'000; ++number) {
        pool.keep("e0", number, 1);
        pool.end({number + 100'000});
    }
    EXPECT_LE(pool.ledger.size(), settings.maxPlacements);
    // All of it is forgotten when nothing is reported any more.
    pool.now += seconds(70);
    pool.ledger.advance(pool.now);
    pool.now += seconds(4);
    pool.ledger.advance(pool.now);
    EXPECT_EQ(pool.ledger.size(), 0U);
}
