#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "relay/lease_term.h"

using namespace heatherroute;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kRunMs = 60'000;
constexpr std::int64_t kTryEveryMs = 450;
constexpr std::int64_t kGiveUpMs = 1'000; ///< On an answer of the store.
constexpr std::int64_t kOrderTravelMs = 400;
constexpr std::int64_t kLeaseMs = 3'000; ///< The platform's bound on holders that take turns.
constexpr milliseconds kTakeOverWait{3'300};
constexpr std::size_t kEntries = 3;

/// The group at the store: one partition, members with a time to live, a generation that grows with each change.
class group_model
{
public:
    lease_answer join(std::size_t member, std::uint64_t generation, std::int64_t nowMs, milliseconds lifetime, bool newcomerWins)
    {
        expire(nowMs);
        if (m_members.count(member) == 0) {
            ++m_generation;
            m_wanted = !m_wanted || newcomerWins ? member : *m_wanted;
        }
        m_members[member] = nowMs + lifetime.count();
        // The owner gives a partition up by a join that shows that it knows of the change.
        if (m_owner == member && m_wanted != member && generation >= m_generation) {
            m_owner.reset();
        }
        if (!m_owner && m_wanted == member) {
            m_owner = member;
            ++m_generation;
        }
        return {store_outcome::Done, "", m_generation, m_owner == member && m_wanted == member};
    }

    void leave(std::size_t member)
    {
        remove(member);
    }

    /// All is given to another member at once, without its old owner's word.
    void revoke(std::size_t to)
    {
        if (m_members.count(to) > 0) {
            m_owner = to;
            m_wanted = to;
            ++m_generation;
        }
    }

    void forgetAll()
    {
        m_members.clear();
        m_owner.reset();
        m_wanted.reset();
        ++m_generation;
    }

private:
    void expire(std::int64_t nowMs)
    {
        std::vector<std::size_t> gone;
        for (const auto &[member, until] : m_members) {
            if (until < nowMs) {
                gone.push_back(member);
            }
        }
        for (const std::size_t member : gone) {
            remove(member);
        }
    }

    void remove(std::size_t member)
    {
        if (m_members.erase(member) == 0) {
            return;
        }
        ++m_generation;
        m_owner = m_owner == member ? std::nullopt : m_owner;
        if (m_wanted == member) {
            m_wanted = m_members.empty() ? std::nullopt : std::optional(m_members.begin()->first);
        }
    }

    std::map<std::size_t, std::int64_t> m_members; ///< Until when each lives.
    std::optional<std::size_t> m_owner;
    std::optional<std::size_t> m_wanted; ///< Who is to own it.
    std::uint64_t m_generation = 0;
};

/// What goes wrong, in parts of a thousand steps.
struct trouble_rates
{
    int lostAnswers = 0; ///< Of tries: the store acts, the answer is lost.
    int lateActions = 0; ///< Of tries: the store acts seconds later, without an answer.
    int lostRequests = 0; ///< Of tries.
    int freezes = 0;
    int restarts = 0;
    int revocations = 0;
    int outages = 0; ///< Some with the members' times expiring.
};

struct arrived_order
{
    std::int64_t atMs = 0;
    std::size_t holder = 0;
    std::uint64_t token = 0;
    bool operator<(const arrived_order &other) const
    {
        return atMs < other.atMs;
    }
};

class lease_simulation
{
public:
    lease_simulation(const trouble_rates &rates, std::uint64_t seed)
        : m_rates(rates)
        , m_random(seed)
    { }

    std::vector<arrived_order> run()
    {
        for (m_now = 0; m_now < kRunMs; m_now += kStepMs) {
            trouble();
            for (std::size_t index = 0; index < kEntries; ++index) {
                if (m_now >= m_entries[index].frozenUntil) {
                    act(index);
                }
            }
            carryOutLate();
        }
        std::stable_sort(m_orders.begin(), m_orders.end());
        return m_orders;
    }

private:
    struct pending_answer
    {
        lease_answer answer;
        std::int64_t sentAt = 0;
        std::int64_t readyAt = 0;
    };
    struct entry
    {
        lease_book book = lease_book::make({});
        std::optional<pending_answer> pending;
        std::int64_t nextTry = 0;
        std::int64_t frozenUntil = 0;
    };
    struct late_action
    {
        std::size_t member = 0;
        std::uint64_t generation = 0;
        std::int64_t at = 0;
    };

    bool happens(int perThousand)
    {
        return draw(0, 999) < perThousand;
    }

    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }

    std::size_t anyEntry()
    {
        return static_cast<std::size_t>(draw(0, kEntries - 1));
    }

    void trouble()
    {
        if (happens(m_rates.freezes)) {
            m_entries[anyEntry()].frozenUntil = m_now + draw(100, 8'000);
        }
        if (happens(m_rates.restarts)) {
            m_entries[anyEntry()] = entry{};
        }
        if (happens(m_rates.revocations)) {
            m_group.revoke(anyEntry());
        }
        if (m_now >= m_downUntil && happens(m_rates.outages)) {
            m_downUntil = m_now + draw(500, 8'000);
            if (happens(500)) {
                m_group.forgetAll();
            }
        }
    }

    void act(std::size_t index)
    {
        entry &self = m_entries[index];
        if (self.pending && m_now >= self.pending->readyAt) {
            self.book.onAnswer(self.pending->answer, self.pending->sentAt, m_now);
            self.pending.reset();
            self.nextTry = m_now + kTryEveryMs;
        }
        if (!self.pending && m_now >= self.nextTry) {
            ask(index);
        }
        if (mayOrder(self.book.term(), m_now, kTakeOverWait) && happens(200)) {
            m_orders.push_back({m_now + draw(1, kOrderTravelMs), index, self.book.term().fencingToken});
        }
    }

    void ask(std::size_t index)
    {
        entry &self = m_entries[index];
        const lease_answer none{store_outcome::Unavailable, "no answer", 0, false};
        const bool lost = m_now < m_downUntil || happens(m_rates.lostRequests);
        pending_answer pending{none, m_now, m_now + kGiveUpMs};
        if (!lost && happens(m_rates.lateActions)) {
            m_late.push_back({index, self.book.generation(), m_now + draw(1'000, 6'000)});
        } else if (!lost) {
            lease_answer answer = m_group.join(index, self.book.generation(), m_now + draw(1, 20), self.book.settings().lifetime, happens(500));
            if (!happens(m_rates.lostAnswers)) {
                pending.answer = std::move(answer);
                pending.readyAt = m_now + draw(kStepMs, kGiveUpMs - kStepMs);
            }
        }
        self.pending = std::move(pending);
    }

    void carryOutLate()
    {
        for (const late_action &action : m_late) {
            if (action.at <= m_now && m_now >= m_downUntil) {
                m_group.join(action.member, action.generation, m_now, lease_settings{}.lifetime, happens(500));
            }
        }
        std::erase_if(m_late, [this](const late_action &action) { return action.at <= m_now; });
    }

    trouble_rates m_rates;
    std::mt19937_64 m_random;
    group_model m_group;
    std::array<entry, kEntries> m_entries;
    std::vector<late_action> m_late;
    std::vector<arrived_order> m_orders;
    std::int64_t m_now = 0;
    std::int64_t m_downUntil = 0;
};

/// Why @p orders, as they arrived, break the promise of one holder; empty when they don't.
std::string breachOf(const std::vector<arrived_order> &orders)
{
    std::map<std::uint64_t, std::size_t> holderOf;
    std::map<std::size_t, std::int64_t> lastOf;
    std::uint64_t highest = 0;
    std::optional<std::size_t> last;
    for (const arrived_order &order : orders) {
        const std::string at = " at " + std::to_string(order.atMs) + " ms, token " + std::to_string(order.token);
        if (holderOf.try_emplace(order.token, order.holder).first->second != order.holder) {
            return "two holders with one token" + at;
        }
        if (order.token < highest && last != order.holder) {
            return "a lower token after a higher one" + at;
        }
        highest = std::max(highest, order.token);
        const auto before = lastOf.find(order.holder);
        if (last && *last != order.holder && before != lastOf.end() && order.atMs - before->second < kLeaseMs) {
            return "holders take turns" + at;
        }
        lastOf[order.holder] = order.atMs;
        last = order.holder;
    }
    return {};
}

} // namespace

RC_GTEST_PROP(LeaseState, OrdersComeFromOneHolderAtATimeWhateverIsLostLateOrFrozen, ())
{
    trouble_rates rates;
    rates.lostAnswers = *rc::gen::inRange(0, 300);
    rates.lateActions = *rc::gen::inRange(0, 300);
    rates.lostRequests = *rc::gen::inRange(0, 300);
    rates.freezes = *rc::gen::inRange(0, 5);
    rates.restarts = *rc::gen::inRange(0, 3);
    rates.revocations = *rc::gen::inRange(0, 4);
    rates.outages = *rc::gen::inRange(0, 3);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto orders = lease_simulation(rates, seed).run();
    RC_LOG() << breachOf(orders);
    RC_ASSERT(breachOf(orders).empty());
}

TEST(LeaseState, QuietGroupKeepsOneHolderThatOrders)
{
    const auto orders = lease_simulation({}, 1).run();
    EXPECT_EQ(breachOf(orders), "");
    EXPECT_GT(orders.size(), 100U);
}

TEST(LeaseState, AuditFindsEachBreach)
{
    EXPECT_NE(breachOf({{0, 0, 5}, {10'000, 1, 5}}), "");
    EXPECT_NE(breachOf({{0, 0, 6}, {10'000, 1, 5}}), "");
    EXPECT_NE(breachOf({{0, 0, 5}, {1'000, 1, 6}, {2'000, 0, 7}}), "");
    EXPECT_EQ(breachOf({{0, 0, 5}, {4'000, 1, 6}, {8'000, 0, 7}}), "");
}
