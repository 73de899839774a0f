#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>

#include "node/engine_placements.h"

using namespace heatherroute;
using namespace heatherroute::node;
using std::chrono::milliseconds;

namespace
{

namespace asio = boost::asio;

/// Entries whose messages are passed on without a network. The entry `a` asks; the names are chosen such that `b` coordinates the pool.
class connected_entries
{
public:
    explicit connected_entries(std::uint32_t minEntries)
    {
        for (int i = 0; names[1].empty(); ++i) {
            auto choice = coordinator_choice::make("a");
            const std::string name = "b" + std::to_string(i);
            choice.setMembers({memberNamed(name)});
            names[1] = choice.isFirst("pool/chat/decode") ? "" : name;
        }
        for (std::size_t i = 0; i < names.size(); ++i) {
            engine_placements_hooks hooks;
            hooks.log = [](log_level, const std::string &, const std::vector<log_field> &) {};
            hooks.send = [this, i](engine_placement_message message, const std::string &to) {
                sent += 1;
                if (isConnected) {
                    asio::post(context,
                               [this, i, message = std::move(message), to] { entries.at(to == "a:1" ? 0 : 1)->onMessage(names.at(i) + ":1", message); });
                }
            };
            hooks.enginesOf = [this](const std::string &, engine_phase) { return engines; };
            hooks.count = [this](const std::string &outcome) { lastOutcome = outcome; };
            hooks.showWaiting = [](std::uint32_t, std::size_t) {};
            hooks.showBusiest = [this](const std::string &, double share) { busiest = share; };
            entries.at(i) = std::make_unique<engine_placements>(context.get_executor(), std::move(hooks), names.at(i), minEntries, i);
            entries.at(i)->setMembers({memberNamed(names.at(1 - i))});
        }
    }

    static member memberNamed(const std::string &name)
    {
        member one;
        one.id = {name, 1};
        one.peerAddress = name + ":1";
        one.state = member_state::Alive;
        return one;
    }

    void begin(std::uint32_t maxWaitMs, std::optional<placement_answer> *answer)
    {
        engine_placement_request request;
        request.service = "chat";
        request.tokens = 5'000;
        request.maxWaitMs = maxWaitMs;
        asio::co_spawn(
            context, entries[0]->place(std::move(request)), [answer](const std::exception_ptr &, placement_answer result) { *answer = std::move(result); });
    }
    placement_answer place(std::uint32_t maxWaitMs)
    {
        std::optional<placement_answer> answer;
        begin(maxWaitMs, &answer);
        while (!answer) {
            run(milliseconds(5));
        }
        return *answer;
    }
    void run(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    asio::io_context context;
    std::array<std::string, 2> names{"a", ""};
    std::array<std::unique_ptr<engine_placements>, 2> entries;
    std::vector<placement_engine> engines{{"e0", 1, 60'000, 1.0}};
    bool isConnected = true;
    std::size_t sent = 0;
    std::string lastOutcome;
    double busiest = 0.0;
};

} // namespace

// Guards against a change for fleets that are too small, or that don't ask for shared placement.
TEST(EnginePlacements, NothingIsSentWithoutEnoughEntries)
{
    for (const std::uint32_t minEntries : {0U, 3U}) {
        connected_entries fleet(minEntries);
        EXPECT_FALSE(fleet.entries[0]->isActive());
        EXPECT_EQ(fleet.place(600).outcome, placement_outcome::NoCoordinator);
        EXPECT_EQ(fleet.entries[0]->adopt("chat", engine_phase::Decode, "e0", 5'000), 0U);
        fleet.entries[0]->end(0);
        fleet.entries[0]->advance();
        fleet.run(milliseconds(60));
        EXPECT_EQ(fleet.sent, 0U);
        EXPECT_EQ(fleet.lastOutcome, "");
    }
}

// Guards against engines that stay in use at the coordinator after their requests have ended.
TEST(EnginePlacements, EngineIsAssignedAndFreeAgainAfterItsEnd)
{
    connected_entries fleet(2);
    const placement_answer first = fleet.place(0);
    EXPECT_EQ(first.outcome, placement_outcome::Assigned);
    EXPECT_EQ(first.engine, "e0");
    const placement_answer second = fleet.place(0);
    EXPECT_EQ(second.outcome, placement_outcome::NoRoom);
    EXPECT_GT(second.wait.count(), 0);
    fleet.entries[0]->end(first.number);
    fleet.run(milliseconds(100));
    EXPECT_EQ(fleet.place(0).outcome, placement_outcome::Assigned);
}

// Guards against a request that waits for a lost coordinator as long as for an engine.
TEST(EnginePlacements, EntryChoosesByItselfSoonWithoutAReply)
{
    connected_entries fleet(2);
    fleet.isConnected = false;
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(fleet.place(2'000).outcome, placement_outcome::NoCoordinator);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1'000));
    EXPECT_EQ(fleet.lastOutcome, "no_reply");
    // The request was repeated once, and the next one isn't sent at all.
    EXPECT_EQ(fleet.sent, 2U);
    EXPECT_EQ(fleet.place(2'000).outcome, placement_outcome::NoCoordinator);
    EXPECT_EQ(fleet.sent, 2U);
}

// Guards against a queued request that is taken for lost, and against one that stays queued when an engine becomes free.
TEST(EnginePlacements, QueuedRequestGetsTheEngineThatBecomesFree)
{
    connected_entries fleet(2);
    const placement_answer first = fleet.place(0);
    std::optional<placement_answer> second;
    fleet.begin(5'000, &second);
    fleet.run(milliseconds(150));
    EXPECT_FALSE(second.has_value());
    fleet.entries[0]->end(first.number);
    fleet.run(milliseconds(150));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->outcome, placement_outcome::Assigned);
}

// Guards against a coordinator that doesn't know what its predecessor, or the entries themselves, have placed.
TEST(EnginePlacements, ReportsListCurrentPlacements)
{
    connected_entries fleet(2);
    EXPECT_NE(fleet.entries[0]->adopt("chat", engine_phase::Decode, "e0", 30'000), 0U);
    fleet.run(milliseconds(20));
    fleet.entries[1]->advance();
    EXPECT_GT(fleet.busiest, 0.5);
    EXPECT_EQ(fleet.place(0).outcome, placement_outcome::NoRoom);
}

// Guards against requests that wait at an entry that stops.
TEST(EnginePlacements, CoordinatorThatStopsReleasesItsQueue)
{
    connected_entries fleet(2);
    fleet.place(0);
    std::optional<placement_answer> second;
    fleet.begin(5'000, &second);
    fleet.run(milliseconds(30));
    EXPECT_FALSE(second.has_value());
    fleet.entries[1]->stop();
    fleet.run(milliseconds(30));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->outcome, placement_outcome::NoCoordinator);
}
