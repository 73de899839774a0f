#include "relay/team_quota_ledger.h"

#include <gtest/gtest.h>

#include <limits>

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t kVersion = 5;

member makeMember(const std::string &name, member_state state = member_state::Alive)
{
    member result;
    result.id = {name, 1};
    result.peerAddress = name + ":1";
    result.state = state;
    return result;
}

/// A ledger with a clock that calls it as its owner does.
class clocked_ledger
{
public:
    explicit clocked_ledger(const std::string &self, const std::vector<std::string> &others = {}, const quota_rule &rule = {})
        : m_ledger(team_quota_ledger::make(m_now, settingsFor(rule), self, 100))
    {
        setMembers(others);
    }

    team_quota_ledger &operator*()
    {
        return m_ledger;
    }
    team_quota_ledger *operator->()
    {
        return &m_ledger;
    }
    instant now() const
    {
        return m_now;
    }
    void setMembers(const std::vector<std::string> &names)
    {
        std::vector<member> others;
        others.reserve(names.size());
        for (const std::string &name : names) {
            others.push_back(makeMember(name));
        }
        m_ledger.setMembers(m_now, others);
    }
    /// Lets time pass while the owner runs.
    void run(duration time)
    {
        const instant end = m_now + time;
        while (m_now < end) {
            m_now = std::min(end, m_now + milliseconds(100));
            m_ledger.advance(m_now);
        }
    }
    /// Lets time pass while the owner doesn't run.
    void suspend(duration time)
    {
        m_now += time;
    }
    quota_step charge(const team_quota &quota, std::uint32_t cost, std::uint64_t version = kVersion, const std::string &team = "t")
    {
        return m_ledger.charge(m_now, team, quota, cost, version);
    }
    /// Returns whether this entry grants by itself.
    bool grants(const team_quota &quota, std::uint32_t cost, std::uint64_t version = kVersion)
    {
        const quota_step step = charge(quota, cost, version);
        return step.verdict && step.verdict->outcome == quota_outcome::Granted;
    }
    /// Returns how many requests of @p cost this entry grants at once.
    int grantsAtOnce(const team_quota &quota, std::uint32_t cost)
    {
        int granted = 0;
        while (granted < 10'000 && grants(quota, cost)) {
            ++granted;
        }
        return granted;
    }
    std::optional<quota_reply> ask(std::uint32_t number, const team_quota &quota, std::uint32_t cost, std::uint64_t version = kVersion)
    {
        return m_ledger.onRequest(m_now, "asker:1", {number, "t", cost, version, quota.perSecond, quota.burst});
    }

private:
    static team_quota_settings settingsFor(const quota_rule &rule)
    {
        team_quota_settings settings;
        settings.rule = rule;
        return settings;
    }

    instant m_now{seconds(1'000)};
    team_quota_ledger m_ledger;
};

/// Returns the names of @p count entries in the order of the team "t".
std::vector<std::string> orderOf(std::size_t count)
{
    coordinator_choice choice = coordinator_choice::make("e0");
    std::vector<member> others;
    for (std::size_t i = 1; i < count; ++i) {
        others.push_back(makeMember("e" + std::to_string(i)));
    }
    choice.setMembers(others);
    std::vector<std::string> names;
    for (const coordinator &one : choice.firstOf("team/t", count)) {
        names.push_back(one.name);
    }
    return names;
}

team_quota makeQuota(double perSecond, double burst)
{
    return {perSecond, burst, quota_unit::Tokens, 1};
}

// Guards against a coordinator that grants more than its bucket holds, or less, and against buckets that refill at another rate.
TEST(TeamQuotaLedger, GrantsTheBurstAndThenTheRate)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 300);
    ledger.run(seconds(10));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 30);
    ledger.run(seconds(1));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 10);
    ledger.run(seconds(60));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 30);
}

// Guards against a burst of every entry in a fleet that starts.
TEST(TeamQuotaLedger, NewBucketsAreEmpty)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 300);
    const quota_step early = ledger.charge(quota, 10);
    ASSERT_TRUE(early.verdict);
    EXPECT_EQ(early.verdict->outcome, quota_outcome::Unknown);
    ledger.run(seconds(2));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 0);
    ledger.run(milliseconds(100));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 1);
}

// Guards against a Retry-After that is too short, and against refused callers that all return at the same moment.
TEST(TeamQuotaLedger, RefusedCallersReturnOneAfterTheOther)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 100);
    ledger.run(seconds(10));
    ASSERT_EQ(ledger.grantsAtOnce(quota, 10), 10);
    duration last{};
    for (int i = 0; i < 10; ++i) {
        const quota_step step = ledger.charge(quota, 10);
        ASSERT_TRUE(step.verdict);
        ASSERT_EQ(step.verdict->outcome, quota_outcome::Exceeded);
        EXPECT_EQ(step.verdict->number, 0u);
        EXPECT_GE(step.verdict->wait, last + milliseconds(99));
        last = step.verdict->wait;
    }
    for (int i = 0; i < 1'000; ++i) {
        EXPECT_LE(ledger.charge(quota, 10).verdict->wait, seconds(4));
    }
}

// Guards against a wait after which the cost doesn't fit yet.
TEST(TeamQuotaLedger, TheCostFitsAfterTheWait)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(29'000, 29'000);
    ledger.run(seconds(10));
    ledger.grantsAtOnce(quota, 5'270);
    const quota_step refused = ledger.charge(quota, 5'270);
    ASSERT_EQ(refused.verdict->outcome, quota_outcome::Exceeded);
    EXPECT_GT(refused.verdict->wait, duration::zero());
    ledger.run(refused.verdict->wait);
    EXPECT_TRUE(ledger.grants(quota, 5'270));
}

// Guards against a request that is charged twice because its datagram was repeated.
TEST(TeamQuotaLedger, ARepeatedRequestIsChargedOnce)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 100);
    ledger.run(seconds(10));
    const auto first = ledger.ask(1, quota, 60);
    ASSERT_TRUE(first && first->granted);
    EXPECT_EQ(ledger.ask(1, quota, 60), first);
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 4);
    const auto refused = ledger.ask(2, quota, 60);
    ASSERT_TRUE(refused && !refused->granted);
    ledger.run(seconds(2));
    EXPECT_EQ(ledger.ask(2, quota, 60), refused);
}

// Guards against a number of one entry that is taken for the same number of another one.
TEST(TeamQuotaLedger, NumbersBelongToTheirSender)
{
    clocked_ledger ledger("a");
    ledger.run(seconds(10));
    EXPECT_TRUE(ledger->onRequest(ledger.now(), "b:1", {1, "t", 60, kVersion, 100, 100})->granted);
    EXPECT_FALSE(ledger->onRequest(ledger.now(), "c:1", {1, "t", 60, kVersion, 100, 100})->granted);
}

// Guards against memory that grows with every request.
TEST(TeamQuotaLedger, NumbersAreForgotten)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(1e6, 1e6);
    ledger.run(seconds(10));
    for (std::uint32_t i = 1; i <= 100'000; ++i) {
        ledger.ask(i, quota, 1);
    }
    EXPECT_LE(ledger->numbersKept(), 65'536u);
    ledger.run(seconds(11));
    EXPECT_EQ(ledger->numbersKept(), 0u);
}

// Guards against lost units when a request doesn't run, and against a repeated refund that gives them back twice.
TEST(TeamQuotaLedger, ARefundCountsOnce)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 100);
    ledger.run(seconds(10));
    ASSERT_TRUE(ledger.ask(1, quota, 50)->granted);
    ASSERT_EQ(ledger.grantsAtOnce(quota, 10), 5);
    ledger->onRefund(ledger.now(), "asker:1", {"t", 50, 1});
    ledger->onRefund(ledger.now(), "asker:1", {"t", 50, 1});
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 5);
    const quota_step own = ledger.charge(quota, 10);
    EXPECT_EQ(own.verdict->outcome, quota_outcome::Exceeded);
}

// Guards against refunds of this entry's own requests that are lost, and against refunds of an unknown or refused request.
TEST(TeamQuotaLedger, OwnRequestsAreRefunded)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 100);
    ledger.run(seconds(10));
    const quota_step step = ledger.charge(quota, 100);
    ASSERT_EQ(step.verdict->outcome, quota_outcome::Granted);
    EXPECT_FALSE(ledger->refund(ledger.now(), "t", 100, step.verdict->number));
    EXPECT_FALSE(ledger->refund(ledger.now(), "t", 100, step.verdict->number));
    EXPECT_FALSE(ledger->refund(ledger.now(), "t", 100, 12'345));
    EXPECT_FALSE(ledger->refund(ledger.now(), "t", 100, 0));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 10);
    ASSERT_FALSE(ledger.ask(2, quota, 50)->granted);
    ledger->onRefund(ledger.now(), "asker:1", {"t", 50, 2});
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 0);
}

// Guards against a refund that adds to a bucket which was full since the charge: in the window after it, the burst, the rate and the refund
// would be used.
TEST(TeamQuotaLedger, ARefundAfterTheBucketWasFullAddsNothing)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 100);
    ledger.run(seconds(10));
    ASSERT_TRUE(ledger.ask(1, quota, 50)->granted);
    ledger.run(seconds(2));
    ASSERT_EQ(ledger.grantsAtOnce(quota, 10), 10);
    ledger->onRefund(ledger.now(), "asker:1", {"t", 50, 1});
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 0);
}

// Guards against a request that arrives after its refund and is charged for nothing.
TEST(TeamQuotaLedger, ARequestThatArrivesAfterItsRefundIsNotCharged)
{
    clocked_ledger ledger("a");
    const team_quota quota = makeQuota(100, 100);
    ledger.run(seconds(10));
    ledger->onRefund(ledger.now(), "asker:1", {"t", 50, 1});
    EXPECT_FALSE(ledger.ask(1, quota, 50)->granted);
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 10);
}

// Guards against entries that decide for themselves while a coordinator can be asked, and against a number that changes on the way.
TEST(TeamQuotaLedger, AnotherEntryAsksTheFirstInTheOrder)
{
    const auto order = orderOf(3);
    clocked_ledger asker(order[2], {order[0], order[1]});
    asker.run(seconds(5));
    const team_quota quota = makeQuota(100, 200);
    const quota_step step = asker.charge(quota, 10);
    ASSERT_FALSE(step.verdict);
    EXPECT_EQ(step.peerAddress, order[0] + ":1");
    EXPECT_EQ(step.coordinator, order[0]);
    EXPECT_EQ(step.request, (quota_request{step.request.number, "t", 10, kVersion, 100, 200}));
    EXPECT_FALSE(asker->onReply(asker.now(), order[1] + ":1", {step.request.number, true, 0})); // Not the one that was asked.
    const auto verdict = asker->onReply(asker.now(), order[0] + ":1", {step.request.number, true, 0});
    ASSERT_TRUE(verdict);
    EXPECT_EQ(*verdict, (quota_verdict{quota_outcome::Granted, duration::zero(), step.request.number}));
    EXPECT_FALSE(asker->onReply(asker.now(), order[0] + ":1", {step.request.number, true, 0}));
    const auto refund = asker->refund(asker.now(), "t", 10, step.request.number);
    ASSERT_TRUE(refund);
    EXPECT_EQ(*refund, (addressed_refund{order[0] + ":1", {"t", 10, step.request.number}}));
    EXPECT_FALSE(asker->refund(asker.now(), "t", 10, step.request.number));
    const quota_step next = asker.charge(quota, 10);
    EXPECT_EQ(asker->onReply(asker.now(), order[0] + ":1", {next.request.number, false, 250}), (quota_verdict{quota_outcome::Exceeded, milliseconds(250), 0}));
}

// Guards against requests that wait again for a coordinator that didn't reply, and against a 429 when nobody replied.
TEST(TeamQuotaLedger, WithoutAReplyTheSecondIsAskedAndThenNobody)
{
    const auto order = orderOf(3);
    clocked_ledger asker(order[2], {order[0], order[1]});
    asker.run(seconds(5));
    const team_quota quota = makeQuota(100, 200);
    const quota_step first = asker.charge(quota, 10);
    const quota_step second = asker->onNoReply(asker.now(), first.request.number);
    ASSERT_FALSE(second.verdict);
    EXPECT_EQ(second.peerAddress, order[1] + ":1");
    EXPECT_EQ(second.request.number, first.request.number);
    EXPECT_EQ(asker.charge(quota, 10).peerAddress, order[1] + ":1");
    const quota_step third = asker->onNoReply(asker.now(), second.request.number);
    ASSERT_TRUE(third.verdict);
    EXPECT_EQ(third.verdict->outcome, quota_outcome::Unknown);
    EXPECT_GT(third.verdict->wait, duration::zero());
    const quota_step none = asker.charge(quota, 10);
    ASSERT_TRUE(none.verdict);
    EXPECT_EQ(none.verdict->outcome, quota_outcome::Unknown);
    asker.run(milliseconds(500));
    EXPECT_EQ(asker.charge(quota, 10).peerAddress, order[0] + ":1");
}

// Guards against a grant that was in a socket buffer while this entry was suspended, when its units have long been granted to others.
TEST(TeamQuotaLedger, AReplyFromBeforeASuspensionIsIgnored)
{
    const auto order = orderOf(3);
    clocked_ledger asker(order[2], {order[0], order[1]});
    asker.run(seconds(5));
    const quota_step step = asker.charge(makeQuota(100, 200), 10);
    asker.suspend(seconds(20));
    EXPECT_FALSE(asker->onReply(asker.now(), order[0] + ":1", {step.request.number, true, 0}));
}

// Guards against a second coordinator that grants the whole rate beside the first one, and against one that grants nothing.
TEST(TeamQuotaLedger, TheSecondGrantsFromItsReserve)
{
    const auto order = orderOf(3);
    quota_rule rule;
    rule.over = 0.1;
    rule.slack = 1'600;
    clocked_ledger second(order[1], {order[0], order[2]}, rule);
    second.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 2'000);
    double granted = 0;
    std::uint32_t number = 0;
    for (int i = 0; i < 800; ++i) {
        while (second.ask(++number, quota, 10)->granted) {
            granted += 10;
        }
        second.run(milliseconds(10));
    }
    // min(0.3 x 1,000, 0.5 x 1,600 / 8 + 0.05 x 1,000) = 150 a second, with one second of it at first.
    EXPECT_NEAR(granted, 9 * 150, 20);
}

// Guards against an entry that decides without being asked to by the order: each one that did would add its own rate.
TEST(TeamQuotaLedger, TheThirdDoesNotReply)
{
    const auto order = orderOf(4);
    clocked_ledger third(order[2], {order[0], order[1], order[3]});
    third.run(seconds(10));
    EXPECT_FALSE(third.ask(1, makeQuota(100, 100), 10));
}

// Guards against a successor that grants a burst again right after the one of the lost coordinator.
TEST(TeamQuotaLedger, ASuccessorStartsEmptyAndThenGrantsTheRate)
{
    const auto order = orderOf(4);
    clocked_ledger second(order[1], {order[0], order[2], order[3]});
    second.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 5'000);
    ASSERT_TRUE(second.ask(1, quota, 10));
    second.setMembers({order[2], order[3]});
    EXPECT_EQ(second.grantsAtOnce(quota, 10), 0);
    second.run(seconds(1));
    EXPECT_LE(second.grantsAtOnce(quota, 10), 5); // The reserve, 0.05 of the rate.
    second.run(seconds(1));
    // Three of four entries are left; the lost one may be alive and have its share.
    EXPECT_NEAR(second.grantsAtOnce(quota, 10), 75, 1);
}

// Guards against a share that is kept from the others after an entry has stopped as planned.
TEST(TeamQuotaLedger, AfterAPlannedStopTheSuccessorGrantsTheWholeRate)
{
    const auto order = orderOf(3);
    clocked_ledger second(order[1], {order[0], order[2]});
    second.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 1'000);
    ASSERT_TRUE(second.ask(1, quota, 10));
    second->setMembers(second.now(), {makeMember(order[0], member_state::Leaving), makeMember(order[2])});
    second.run(milliseconds(100));
    EXPECT_EQ(second.grantsAtOnce(quota, 10), 10);
    second.setMembers({order[2]});
    second.run(milliseconds(100));
    EXPECT_EQ(second.grantsAtOnce(quota, 10), 10);
}

// Guards against an entry that still coordinates while it stops.
TEST(TeamQuotaLedger, AStoppingEntryAsksTheOthers)
{
    const auto order = orderOf(3);
    clocked_ledger first(order[0], {order[1], order[2]});
    first.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 1'000);
    ASSERT_TRUE(first.grants(quota, 10));
    first->stop(first.now());
    EXPECT_EQ(first.charge(quota, 10).peerAddress, order[1] + ":1");
    EXPECT_FALSE(first.ask(1, quota, 10));
}

// Guards against two buckets for one team while the fleet learns of a new entry: the one before coordinates until the new one is asked.
TEST(TeamQuotaLedger, ANewEntryCoordinatesWhenTheOthersKnowIt)
{
    const auto order = orderOf(3);
    clocked_ledger second(order[1], {order[2]});
    second.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 1'000);
    ASSERT_TRUE(second.grants(quota, 10));
    second.setMembers({order[0], order[2]});
    EXPECT_TRUE(second.grants(quota, 10));
    second.run(seconds(1));
    EXPECT_EQ(second.charge(quota, 10).peerAddress, order[0] + ":1");
    clocked_ledger first(order[0], {order[1], order[2]});
    EXPECT_EQ(first.charge(quota, 10).peerAddress, order[1] + ":1");
    first.run(milliseconds(1'900));
    EXPECT_FALSE(first.ask(1, quota, 10));
    first.run(milliseconds(200));
    EXPECT_TRUE(first.ask(2, quota, 10)->granted);
}

// Guards against a bucket that fills while its entry is suspended, when a successor grants in its place.
TEST(TeamQuotaLedger, ASuspendedCoordinatorComesBackEmptyAndLate)
{
    const auto order = orderOf(3);
    clocked_ledger first(order[0], {order[1], order[2]});
    first.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 2'000);
    ASSERT_TRUE(first.ask(1, quota, 10)->granted);
    first.suspend(seconds(20));
    EXPECT_FALSE(first.ask(2, quota, 10));
    first.run(milliseconds(1'900));
    EXPECT_FALSE(first.ask(3, quota, 10));
    first.run(milliseconds(100));
    ASSERT_TRUE(first.ask(4, quota, 10));
    EXPECT_LE(first.grantsAtOnce(quota, 10), 11);
}

// Guards against a pause that is too short for a successor and still refills the bucket for all of it.
TEST(TeamQuotaLedger, AShortPauseRefillsForAQuarterOfASecond)
{
    clocked_ledger ledger("a");
    ledger.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 2'000);
    ASSERT_EQ(ledger.grantsAtOnce(quota, 10), 200);
    ledger.suspend(milliseconds(900));
    EXPECT_EQ(ledger.grantsAtOnce(quota, 10), 25);
}

// Guards against a limit of the configuration before that stays in force, at the coordinator and for a request that brings the newer one.
TEST(TeamQuotaLedger, TheLimitsOfTheNewerConfigurationCount)
{
    clocked_ledger ledger("a");
    ledger.run(seconds(20));
    EXPECT_TRUE(ledger.ask(1, makeQuota(1'000, 5'000), 10, 6)->granted);
    EXPECT_TRUE(ledger.ask(2, makeQuota(100, 100), 10, 7)->granted);
    EXPECT_EQ(ledger.grantsAtOnce(makeQuota(1'000, 5'000), 10), 9); // The lower limit counts at once, also for an older configuration.
    ledger.run(seconds(1));
    EXPECT_EQ(ledger.grantsAtOnce(makeQuota(1'000, 5'000), 10), 10);
    EXPECT_FALSE(ledger.ask(3, makeQuota(2'000, 2'000), 10, 8)->granted);
    ledger.run(seconds(1));
    EXPECT_EQ(ledger.grantsAtOnce(makeQuota(100, 100), 10), 200);
}

// Guards against requests that are never granted because they cost more than the bucket holds, and against those that cost nothing then.
TEST(TeamQuotaLedger, ALargeRequestIsGrantedFromAFullBucketAndLeavesDebt)
{
    clocked_ledger ledger("a");
    ledger.run(seconds(10));
    const team_quota quota = makeQuota(100, 200);
    EXPECT_TRUE(ledger.grants(quota, 500));
    ledger.run(milliseconds(2'900));
    EXPECT_FALSE(ledger.grants(quota, 10));
    ledger.run(milliseconds(200));
    EXPECT_TRUE(ledger.grants(quota, 10));
    const quota_step refused = ledger.charge(quota, 500);
    ASSERT_EQ(refused.verdict->outcome, quota_outcome::Exceeded);
    ledger.run(refused.verdict->wait);
    EXPECT_TRUE(ledger.grants(quota, 500));
}

// Guards against a small team that loses the last request of each second: 5.5 of them fit.
TEST(TeamQuotaLedger, ASmallTeamUsesItsWholeRate)
{
    clocked_ledger ledger("a");
    ledger.run(seconds(10));
    const team_quota quota = makeQuota(29'000, 0);
    ledger.grantsAtOnce(quota, 5'270);
    int granted = 0;
    for (int i = 0; i < 600; ++i) {
        ledger.run(milliseconds(100));
        granted += ledger.grants(quota, 5'270) ? 1 : 0;
    }
    EXPECT_GE(granted * 5'270, 0.95 * 60 * 29'000);
    // A request each 182 ms is the rate; none is refused.
    ledger.run(seconds(2));
    for (int i = 0; i < 300; ++i) {
        EXPECT_TRUE(ledger.grants(quota, 5'270));
        ledger.run(milliseconds(182));
    }
}

// Guards against an idle team that is refused because its coordinator hadn't heard of it.
TEST(TeamQuotaLedger, AnIdleTeamFindsItsBurst)
{
    clocked_ledger ledger("a", {});
    ledger.run(seconds(600));
    EXPECT_EQ(ledger.grantsAtOnce(makeQuota(100, 1'000), 10), 100);
}

// Guards against an entry without the others that uses more than its share, and against one that claims to know that the quota is exceeded.
TEST(TeamQuotaLedger, AnEntryThatHasLostAllOthersKeepsToItsShare)
{
    const auto order = orderOf(4);
    clocked_ledger first(order[0], {order[1], order[2], order[3]});
    first.run(seconds(10));
    const team_quota quota = makeQuota(1'000, 1'000);
    first.setMembers({});
    first.run(seconds(5));
    first.grantsAtOnce(quota, 10);
    first.run(seconds(1));
    EXPECT_EQ(first.grantsAtOnce(quota, 10), 25);
    EXPECT_EQ(first.charge(quota, 10).verdict->outcome, quota_outcome::Unknown);
}

// Guards against a message from outside that makes a bucket infinite or negative.
TEST(TeamQuotaLedger, UnusableLimitsAreNotReplied)
{
    clocked_ledger ledger("a");
    ledger.run(seconds(10));
    EXPECT_FALSE(ledger.ask(1, makeQuota(0, 10), 10));
    EXPECT_FALSE(ledger.ask(2, makeQuota(-5, 10), 10));
    EXPECT_FALSE(ledger.ask(3, makeQuota(std::numeric_limits<double>::infinity(), 10), 10));
    EXPECT_FALSE(ledger.ask(4, makeQuota(std::numeric_limits<double>::quiet_NaN(), 10), 10));
    EXPECT_FALSE(ledger.ask(5, makeQuota(10, -1), 10));
    EXPECT_TRUE(ledger.ask(6, makeQuota(10, 10), 10)->granted);
}

} // namespace
