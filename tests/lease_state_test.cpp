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
constexpr std::int64_t kAttemptIntervalMs = 450;
constexpr std::int64_t kAnswerTimeoutMs = 1'000; ///< Timeout for an answer of the store.
constexpr std::int64_t kMaxOrderDelayMs = 400;
constexpr std::int64_t kLeaseMs = 3'000; ///< The platform's minimum time before the lease may return to a previous holder.
constexpr milliseconds kTakeOverWait{3'300};
constexpr std::size_t kEntries = 3;

/// Models the store's group that grants the lease: one partition, whose owner holds the lease, members with a time to live, and a
/// generation that grows with each change.
class group_model
{
public:
    lease_answer join(std::size_t member, std::uint64_t generation, std::int64_t nowMs, milliseconds lifetime, bool newcomerWins)
    {
        expire(nowMs);
        if (m_members.count(member) == 0) {
            ++m_generation;
            m_nextOwner = !m_nextOwner || newcomerWins ? member : *m_nextOwner;
        }
        m_members[member] = nowMs + lifetime.count();
        // The owner releases the partition by a join whose generation shows that it knows of the change.
        if (m_owner == member && m_nextOwner != member && generation >= m_generation) {
            m_owner.reset();
        }
        if (!m_owner && m_nextOwner == member) {
            m_owner = member;
            ++m_generation;
        }
        return {store_outcome::Done, "", m_generation, m_owner == member && m_nextOwner == member};
    }

    void leave(std::size_t member)
    {
        remove(member);
    }

    /// Assigns the partition to another member at once, without the consent of its owner.
    void revoke(std::size_t to)
    {
        if (m_members.count(to) > 0) {
            m_owner = to;
            m_nextOwner = to;
            ++m_generation;
        }
    }

    void forgetAll()
    {
        m_members.clear();
        m_owner.reset();
        m_nextOwner.reset();
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
        if (m_nextOwner == member) {
            m_nextOwner = m_members.empty() ? std::nullopt : std::optional(m_members.begin()->first);
        }
    }

    std::map<std::size_t, std::int64_t> m_members; ///< Expiry time of each member.
    std::optional<std::size_t> m_owner;
    std::optional<std::size_t> m_nextOwner; ///< The member that is to own the partition.
    std::uint64_t m_generation = 0;
};

/// Rates of the injected faults, per thousand steps unless stated otherwise.
struct fault_rates
{
    int lostAnswers = 0; ///< Per thousand attempts: the store acts, but its answer is lost.
    int lateActions = 0; ///< Per thousand attempts: the store acts seconds later, without an answer.
    int lostRequests = 0; ///< Per thousand attempts.
    int freezes = 0;
    int restarts = 0;
    int revocations = 0;
    int outages = 0; ///< Half of them delete all members.
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
    lease_simulation(const fault_rates &rates, std::uint64_t seed)
        : m_rates(rates)
        , m_random(seed)
    { }

    std::vector<arrived_order> run()
    {
        for (m_now = 0; m_now < kRunMs; m_now += kStepMs) {
            injectFaults();
            for (std::size_t index = 0; index < kEntries; ++index) {
                if (m_now >= m_entries[index].frozenUntil) {
                    step(index);
                }
            }
            applyLateActions();
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
        lease_tracker tracker = lease_tracker::make({});
        std::optional<pending_answer> pending;
        std::int64_t nextAttempt = 0;
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
        return randomBetween(0, 999) < perThousand;
    }

    std::int64_t randomBetween(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }

    std::size_t anyEntry()
    {
        return static_cast<std::size_t>(randomBetween(0, kEntries - 1));
    }

    void injectFaults()
    {
        if (happens(m_rates.freezes)) {
            m_entries[anyEntry()].frozenUntil = m_now + randomBetween(100, 8'000);
        }
        if (happens(m_rates.restarts)) {
            m_entries[anyEntry()] = entry{};
        }
        if (happens(m_rates.revocations)) {
            m_group.revoke(anyEntry());
        }
        if (m_now >= m_downUntil && happens(m_rates.outages)) {
            m_downUntil = m_now + randomBetween(500, 8'000);
            if (happens(500)) {
                m_group.forgetAll();
            }
        }
    }

    void step(std::size_t index)
    {
        entry &self = m_entries[index];
        if (self.pending && m_now >= self.pending->readyAt) {
            self.tracker.onAnswer(self.pending->answer, self.pending->sentAt, m_now);
            self.pending.reset();
            self.nextAttempt = m_now + kAttemptIntervalMs;
        }
        if (!self.pending && m_now >= self.nextAttempt) {
            sendAttempt(index);
        }
        if (mayOrder(self.tracker.term(), m_now, kTakeOverWait) && happens(200)) {
            m_orders.push_back({m_now + randomBetween(1, kMaxOrderDelayMs), index, self.tracker.term().fencingToken});
        }
    }

    void sendAttempt(std::size_t index)
    {
        entry &self = m_entries[index];
        const lease_answer none{store_outcome::Unavailable, "no answer", 0, false};
        const bool lost = m_now < m_downUntil || happens(m_rates.lostRequests);
        pending_answer pending{none, m_now, m_now + kAnswerTimeoutMs};
        if (!lost && happens(m_rates.lateActions)) {
            m_late.push_back({index, self.tracker.generation(), m_now + randomBetween(1'000, 6'000)});
        } else if (!lost) {
            lease_answer answer = m_group.join(index, self.tracker.generation(), m_now + randomBetween(1, 20), self.tracker.settings().lifetime, happens(500));
            if (!happens(m_rates.lostAnswers)) {
                pending.answer = std::move(answer);
                pending.readyAt = m_now + randomBetween(kStepMs, kAnswerTimeoutMs - kStepMs);
            }
        }
        self.pending = std::move(pending);
    }

    void applyLateActions()
    {
        for (const late_action &action : m_late) {
            if (action.at <= m_now && m_now >= m_downUntil) {
                m_group.join(action.member, action.generation, m_now, lease_settings{}.lifetime, happens(500));
            }
        }
        std::erase_if(m_late, [this](const late_action &action) { return action.at <= m_now; });
    }

    fault_rates m_rates;
    std::mt19937_64 m_random;
    group_model m_group;
    std::array<entry, kEntries> m_entries;
    std::vector<late_action> m_late;
    std::vector<arrived_order> m_orders;
    std::int64_t m_now = 0;
    std::int64_t m_downUntil = 0;
};

/// Returns how @p orders, as they arrived, violate the rule of a single holder; empty when they don't.
std::string violationOf(const std::vector<arrived_order> &orders)
{
    std::map<std::uint64_t, std::size_t> holderOf;
    std::map<std::size_t, std::int64_t> lastOf;
    std::uint64_t highest = 0;
    std::optional<std::size_t> last;
    for (const arrived_order &order : orders) {
        const std::string at = " at " + std::to_string(order.atMs) + " ms, token " + std::to_string(order.token);
        if (holderOf.try_emplace(order.token, order.holder).first->second != order.holder) {
            return "two holders with the same token" + at;
        }
        if (order.token < highest && last != order.holder) {
            return "a lower token after a higher one" + at;
        }
        highest = std::max(highest, order.token);
        const auto before = lastOf.find(order.holder);
        if (last && *last != order.holder && before != lastOf.end() && order.atMs - before->second < kLeaseMs) {
            return "the lease returned to a previous holder too soon" + at;
        }
        lastOf[order.holder] = order.atMs;
        last = order.holder;
    }
    return {};
}

} // namespace

RC_GTEST_PROP(LeaseState, OrdersComeFromOneHolderAtATimeDespiteFaults, ())
{
    fault_rates rates;
    rates.lostAnswers = *rc::gen::inRange(0, 300);
    rates.lateActions = *rc::gen::inRange(0, 300);
    rates.lostRequests = *rc::gen::inRange(0, 300);
    rates.freezes = *rc::gen::inRange(0, 5);
    rates.restarts = *rc::gen::inRange(0, 3);
    rates.revocations = *rc::gen::inRange(0, 4);
    rates.outages = *rc::gen::inRange(0, 3);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto orders = lease_simulation(rates, seed).run();
    RC_LOG() << violationOf(orders);
    RC_ASSERT(violationOf(orders).empty());
}

TEST(LeaseState, GroupWithoutFaultsKeepsOneHolderThatOrders)
{
    const auto orders = lease_simulation({}, 1).run();
    EXPECT_EQ(violationOf(orders), "");
    EXPECT_GT(orders.size(), 100U);
}

TEST(LeaseState, CheckDetectsEachViolation)
{
    EXPECT_NE(violationOf({{0, 0, 5}, {10'000, 1, 5}}), "");
    EXPECT_NE(violationOf({{0, 0, 6}, {10'000, 1, 5}}), "");
    EXPECT_NE(violationOf({{0, 0, 5}, {1'000, 1, 6}, {2'000, 0, 7}}), "");
    EXPECT_EQ(violationOf({{0, 0, 5}, {4'000, 1, 6}, {8'000, 0, 7}}), "");
}
