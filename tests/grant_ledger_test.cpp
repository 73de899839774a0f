#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <array>

#include "heatherroute/grant_ledger.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kSlots = 4;
constexpr std::uint32_t kPieces = 20;
constexpr std::uint32_t kHolders = 4;

grant_ledger_settings smallSettings()
{
    grant_ledger_settings settings;
    settings.slots = kSlots;
    settings.pieces = kPieces;
    settings.closedMemory = std::chrono::hours(1);
    settings.closedLimit = 10000;
    return settings;
}

grant_request ask(const std::string &entry, std::uint64_t sequence, std::uint32_t pieces)
{
    return {{{entry, 1}, sequence}, pieces, priority_class::Interactive, "team", seconds(1)};
}

bool given(const grant_answer &answer)
{
    return std::holds_alternative<grant_given>(answer);
}

/// Entries, a network that duplicates and reorders, one engine and its owner.
class reservation_world
{
public:
    void step(std::uint32_t what, std::uint32_t which)
    {
        m_now += milliseconds(100);
        switch (what) {
        case 0:
        case 1:
            send(which);
            break;
        case 2:
        case 3:
        case 4:
            deliver(which);
            break;
        case 5:
            finish(which);
            break;
        case 6:
            listEngine();
            break;
        case 7:
            renewSome(which);
            break;
        case 8:
            which % 3 == 0 ? changeOwner() : die(which);
            break;
        default:
            m_now += milliseconds(700);
        }
        cancelOnEngine(m_ledger.expire(m_now));
        verify();
    }

    void settle()
    {
        m_wire.clear();
        for (std::uint32_t index = 0; index < kHolders; ++index) {
            die(index);
        }
        for (int round = 0; round < 5; ++round) {
            m_now += seconds(3);
            listEngine();
        }
        RC_ASSERT(m_engine.empty());
        RC_ASSERT(m_ledger.totals().slotsGranted == 0U);
        RC_ASSERT(m_ledger.totals().slotsFree == kSlots);
        RC_ASSERT(m_ledger.totals().piecesFree == kPieces);
    }

private:
    struct message
    {
        grant_request request;
        bool release = false;
    };

    grant_holder holder(std::uint32_t index) const
    {
        return {"entry" + std::to_string(index % kHolders), m_incarnations[index % kHolders]};
    }

    void send(std::uint32_t which)
    {
        const grant_request request{{holder(which), ++m_sequence}, 1 + which % 9, priority_class::Interactive, "t", seconds(1)};
        m_wire.push_back({request, false});
        m_wire.push_back({request, false});
        if (which % 5 == 0) {
            m_wire.push_back({request, true});
        }
    }

    void deliver(std::uint32_t which)
    {
        if (m_wire.empty()) {
            return;
        }
        const auto position = m_wire.begin() + static_cast<std::ptrdiff_t>(which % m_wire.size());
        const message next = *position;
        m_wire.erase(position);
        if (next.release) {
            end(next.request.id);
            return;
        }
        if (given(m_ledger.request(m_now, next.request))) {
            RC_ASSERT(!m_ended.contains(next.request.id));
            m_held.emplace(next.request.id, next.request);
            m_engine.emplace(next.request.id, next.request.pieces);
        }
    }

    void finish(std::uint32_t which)
    {
        if (!m_held.empty()) {
            const grant_id id = std::next(m_held.begin(), static_cast<std::ptrdiff_t>(which % m_held.size()))->first;
            end(id);
        }
    }

    void end(const grant_id &id)
    {
        m_held.erase(id);
        m_engine.erase(id);
        m_ended.insert(id);
        m_ledger.release(m_now, id);
    }

    void die(std::uint32_t which)
    {
        const grant_holder dead = holder(which);
        m_incarnations[which % kHolders] += 1;
        cancelOnEngine(m_ledger.cancelHolder(m_now, dead));
        RC_ASSERT(std::none_of(m_held.begin(), m_held.end(), [&](const auto &each) { return each.first.holder == dead; }));
    }

    void listEngine()
    {
        std::vector<engine_holding> list;
        for (const auto &[id, pieces] : m_engine) {
            list.push_back({id, pieces});
        }
        cancelOnEngine(m_ledger.reconcile(m_now, m_now, list));
        // A cancel that got lost is sent again; only the next list tells that it arrived.
        for (const grant_id &id : m_ledger.unconfirmedCancels()) {
            m_engine.erase(id);
        }
    }

    void changeOwner()
    {
        std::set<grant_holder> live;
        for (std::uint32_t index = 0; index < kHolders; ++index) {
            live.insert(holder(index));
        }
        m_ledger = grant_ledger::makeAdopting(m_now, smallSettings(), live);
        m_wire.clear();
        RC_ASSERT(!given(m_ledger.request(m_now, ask("early", ++m_sequence, 1))));
        for (const auto &[id, request] : m_held) {
            const bool taken = m_ledger.announce(m_now, request);
            RC_ASSERT(taken);
        }
        for (const grant_holder &each : live) {
            m_ledger.announceDone(each);
        }
        listEngine();
        RC_ASSERT(!m_ledger.rebuilding());
        RC_ASSERT(m_ledger.totals().overCommits == 0U);
    }

    void renewSome(std::uint32_t which)
    {
        for (const auto &[id, request] : m_held) {
            const bool lost = id.sequence % 3 == which % 3;
            RC_ASSERT(lost || m_ledger.renew(m_now, id).has_value() || m_ledger.nextExpiry() <= m_now);
        }
    }

    void cancelOnEngine(const std::vector<grant_id> &ids)
    {
        for (const grant_id &id : ids) {
            m_held.erase(id);
            m_ended.insert(id);
            // One cancel in four is lost, so that the room must stay taken until a list shows it.
            if (++m_cancels % 4 != 0) {
                m_engine.erase(id);
                m_ledger.confirmCancelled(m_now, id);
            }
        }
    }

    void verify()
    {
        std::uint32_t pieces = 0;
        for (const auto &[id, taken] : m_engine) {
            pieces += taken;
        }
        RC_ASSERT(m_engine.size() <= kSlots);
        RC_ASSERT(pieces <= kPieces);
        RC_ASSERT(m_ledger.totals().slotsGranted >= m_held.size());
    }

    instant m_now{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_cancels = 0;
    std::array<std::uint64_t, kHolders> m_incarnations{1, 1, 1, 1};
    std::vector<message> m_wire;
    std::map<grant_id, grant_request> m_held; ///< What entries believe they hold.
    std::map<grant_id, std::uint32_t> m_engine; ///< What the engine's memory holds.
    std::set<grant_id> m_ended;
    grant_ledger m_ledger = grant_ledger::make(smallSettings());
};

} // namespace

RC_GTEST_PROP(GrantLedger, EngineIsNeverOverrunAndNothingLeaks, ())
{
    const auto step = rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 10), rc::gen::inRange<std::uint32_t>(0, 1000));
    const auto steps = *rc::gen::scale(5.0, rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(step));
    reservation_world world;
    for (const auto &[what, which] : steps) {
        world.step(what, which);
    }
    world.settle();
}

TEST(GrantLedger, RepeatedRequestHoldsOnceAndReleaseMayComeFirst)
{
    grant_ledger ledger = grant_ledger::make(smallSettings());
    const instant start{};
    const grant_answer first = ledger.request(start, ask("a", 1, 5));
    EXPECT_EQ(ledger.request(start + seconds(1), ask("a", 1, 5)), first);
    EXPECT_EQ(ledger.totals().piecesGranted, 5U);
    ledger.release(start, ask("a", 2, 5).id);
    EXPECT_EQ(ledger.request(start, ask("a", 2, 5)), grant_answer(grant_refused{grant_refusal::Closed, {}}));
    ledger.release(start, ask("a", 1, 5).id);
    ledger.release(start, ask("a", 1, 5).id);
    EXPECT_EQ(ledger.totals().slotsGranted, 0U);
}

TEST(GrantLedger, FullUpstreamSaysWhenToComeBackAndKeepsRoomForShortCalls)
{
    grant_ledger_settings settings = smallSettings();
    settings.interactiveSlots = 1;
    grant_ledger ledger = grant_ledger::make(settings);
    const instant start{};
    grant_request report = ask("a", 1, 2);
    report.priority = priority_class::Batch;
    for (; report.id.sequence <= 3; ++report.id.sequence) {
        EXPECT_TRUE(given(ledger.request(start, report)));
    }
    EXPECT_EQ(ledger.request(start, report), grant_answer(grant_refused{grant_refusal::NoSlot, seconds(1)}));
    EXPECT_TRUE(given(ledger.request(start, ask("a", 5, 14))));
    EXPECT_EQ(ledger.request(start, ask("a", 6, 21)), grant_answer(grant_refused{grant_refusal::TooLarge, {}}));
}

TEST(GrantLedger, SilentHolderKeepsRoomUntilTheEngineConfirms)
{
    grant_ledger ledger = grant_ledger::make(smallSettings());
    const instant start{};
    EXPECT_TRUE(given(ledger.request(start, ask("a", 1, 20))));
    EXPECT_EQ(ledger.renew(start + seconds(2), ask("a", 1, 0).id), start + seconds(5));
    EXPECT_TRUE(ledger.expire(start + seconds(4)).empty());
    EXPECT_EQ(ledger.expire(start + seconds(5)).size(), 1U);
    EXPECT_FALSE(ledger.renew(start + seconds(5), ask("a", 1, 0).id));
    EXPECT_FALSE(given(ledger.request(start + seconds(5), ask("b", 1, 1))));
    EXPECT_TRUE(ledger.reconcile(start + seconds(6), start + seconds(4), {}).empty());
    EXPECT_EQ(ledger.unconfirmedCancels().size(), 1U);
    ledger.reconcile(start + seconds(7), start + seconds(7), {});
    EXPECT_TRUE(given(ledger.request(start + seconds(7), ask("b", 2, 20))));
}

TEST(GrantLedger, NewOwnerWaitsForAllAndCancelsWhatNobodyClaims)
{
    const instant start{};
    const grant_holder a{"a", 1};
    grant_ledger ledger = grant_ledger::makeAdopting(start, smallSettings(), {a, {"silent", 1}});
    EXPECT_TRUE(ledger.announce(start, ask("a", 1, 5)));
    ledger.announceDone(a);
    const std::vector<engine_holding> list{{ask("a", 1, 5).id, 5}, {ask("gone", 7, 3).id, 3}};
    EXPECT_TRUE(ledger.reconcile(start, start, list).empty());
    EXPECT_FALSE(given(ledger.request(start, ask("a", 2, 1))));
    ledger.reconcile(start + seconds(2), start + seconds(2), list);
    EXPECT_TRUE(ledger.rebuilding());
    const auto overdue = ledger.reconcile(start + seconds(3), start + seconds(3), list);
    EXPECT_EQ(overdue, std::vector<grant_id>{ask("gone", 7, 3).id});
    EXPECT_FALSE(ledger.rebuilding());
    EXPECT_EQ(ledger.totals().slotsFree, kSlots - 2);
    ledger.confirmCancelled(start + seconds(3), overdue.front());
    EXPECT_EQ(ledger.totals().piecesFree, kPieces - 5);
}

TEST(GrantLedger, AnnouncedGrantsBeyondCapacityAreCountedAndStopNewOnes)
{
    grant_ledger ledger = grant_ledger::makeAdopting({}, smallSettings(), {});
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        EXPECT_TRUE(ledger.announce({}, ask("a", sequence, 4)));
    }
    ledger.reconcile({}, {}, {});
    EXPECT_EQ(ledger.totals().slotsOverCommitted, 2U);
    EXPECT_EQ(ledger.totals().piecesOverCommitted, 4U);
    EXPECT_EQ(ledger.totals().overCommits, 2U);
    EXPECT_FALSE(given(ledger.request({}, ask("a", 7, 1))));
}

TEST(GrantLedger, RequestIdsReadBack)
{
    const grant_id id{{"10.0.0.1/x", 12}, 99};
    EXPECT_EQ(fromRequestId(toRequestId(id)), id);
    EXPECT_EQ(fromRequestId("by-hand"), (grant_id{{"by-hand", 0}, 0}));
}
