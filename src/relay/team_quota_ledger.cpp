#include "relay/team_quota_ledger.h"

#include <algorithm>
#include <cmath>

#include "heatherroute/ownership.h"

namespace heatherroute
{

namespace
{

constexpr std::size_t kOrderLength = 2;
/// Without a rule, a bucket holds at least this time of the rate, so that requests needn't arrive evenly.
constexpr double kMinBurstSeconds = 1.0;
/// Part of what the rule allows beyond the quota that a bucket holds beyond the burst, the rest being for changes of coordinators. With one
/// second of its rate, 5.5 requests, a small team loses up to 1 in 1,000 requests at 0.6 of its rate, because they arrive at random.
constexpr double kBurstOfRoom = 0.25;
/// The least time of the rate that a bucket holds, also without room.
constexpr double kMinCapacitySeconds = 0.25;
/// Time of its rate that the bucket of the second entry holds.
constexpr double kReserveSeconds = 1.0;
/// Of the slack of a window, the part that the reserve may use, and of the rate, the part that it may use in addition.
constexpr double kReserveOfSlack = 0.5;
constexpr double kReserveOfOver = 0.05;
/// A share rises after this time: longer than the membership takes to notice a loss, since an entry that has moved to another part of the fleet
/// knows the entries of both for that time.
constexpr duration kShareRiseDelay = std::chrono::seconds(4);
constexpr double kMaxWaitSeconds = 60.0;
constexpr double kRounding = 1e-6; ///< In units.

duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::string keyOf(const std::string &team)
{
    return "team/" + team;
}

bool isUsable(const quota_request &request)
{
    return !request.team.empty() && std::isfinite(request.perSecond) && request.perSecond > 0 && std::isfinite(request.burst) && request.burst >= 0;
}

} // namespace

team_quota_ledger team_quota_ledger::make(instant now, const team_quota_settings &settings, const std::string &self, std::uint32_t firstNumber)
{
    return team_quota_ledger(now, settings, self, firstNumber);
}

team_quota_ledger::team_quota_ledger(instant now, const team_quota_settings &settings, const std::string &self, std::uint32_t firstNumber)
    : m_settings(settings)
    , m_self(self)
    , m_choice(coordinator_choice::make(self))
    , m_seenAt(now)
    , m_selfEligibleAt(now + settings.startDelay)
    , m_startedAt(now)
    , m_nextChangeAt(m_selfEligibleAt)
    , m_lastNumber(firstNumber)
{ }

// Members.

void team_quota_ledger::setMembers(instant now, const std::vector<member> &others)
{
    observe(now);
    std::map<member_id, known_member> current;
    std::set<std::string> names;
    for (const member &other : others) {
        const auto known = m_members.find(other.id);
        // What an entry learns when it starts has been there before, or starts at the same time and doesn't coordinate yet.
        const bool isInitial = now - m_startedAt < m_settings.joinDelay;
        const instant eligibleAt = known != m_members.end() ? known->second.eligibleAt : (isInitial ? now : now + m_settings.joinDelay);
        current.emplace(other.id, known_member{other.state, eligibleAt});
        names.insert(other.id.name);
        m_lost.erase(other.id.name);
    }
    bool hasLost = false;
    for (const auto &[id, known] : m_members) {
        if (!current.contains(id) && known.state != member_state::Leaving) {
            hasLost = true;
            if (!names.contains(id.name)) {
                m_lost[id.name] = now + m_settings.lostRetention;
            }
        }
    }
    m_members = std::move(current);
    m_others = others;
    settleAll();
    updateShare(now);
    updateOrders(now, hasLost);
}

void team_quota_ledger::setRecordedEntries(instant now, std::size_t count)
{
    observe(now);
    m_recorded = count;
    updateShare(now);
}

void team_quota_ledger::stop(instant now)
{
    observe(now);
    m_isStopping = true;
    m_choice.stop();
    updateOrders(now, false);
}

void team_quota_ledger::advance(instant now)
{
    observe(now);
    std::erase_if(m_lost, [now](const auto &lost) { return lost.second <= now; });
    std::erase_if(m_unreachableUntil, [now](const auto &unreachable) { return unreachable.second <= now; });
    updateShare(now);
    while (!m_chargedInOrder.empty() && m_chargedInOrder.front().first <= now) {
        m_charged.erase(m_chargedInOrder.front().second);
        m_chargedInOrder.pop_front();
    }
    while (!m_grantedInOrder.empty() && m_grantedInOrder.front().first <= now) {
        m_grantedBy.erase(m_grantedInOrder.front().second);
        m_grantedInOrder.pop_front();
    }
}

/// Notices the time for which this process didn't run, and entries that have become eligible.
void team_quota_ledger::observe(instant now)
{
    const duration gap = now - m_seenAt;
    if (gap > duration::zero()) {
        m_seenAt = now;
        m_active += std::min(gap, m_settings.maxRefill);
    }
    if (gap > m_settings.resumedAfter) {
        // Others may have granted what this entry would have granted.
        settleAll();
        m_selfEligibleAt = now + m_settings.startDelay;
        updateOrders(now, false);
    } else if (now >= m_nextChangeAt) {
        updateOrders(now, false);
    }
}

void team_quota_ledger::updateOrders(instant now, bool afterLoss)
{
    std::set<std::string> eligible;
    std::vector<member> others;
    m_nextChangeAt = instant::max();
    const auto add = [&](const std::string &name, instant eligibleAt) {
        if (eligibleAt <= now) {
            eligible.insert(name);
        } else {
            m_nextChangeAt = std::min(m_nextChangeAt, eligibleAt);
        }
        return eligibleAt <= now;
    };
    for (const member &other : m_others) {
        if (canOwn(other.state) && add(other.id.name, m_members.at(other.id).eligibleAt)) {
            others.push_back(other);
        }
    }
    if (!m_isStopping) {
        add(m_self, m_selfEligibleAt);
    }
    if (eligible == m_eligible) {
        m_choice.setMembers(others); // A restarted entry may have another address.
    } else {
        m_eligible = std::move(eligible);
        m_choice.setMembers(others);
        m_orderedAt = m_active;
        m_orderedReservedUntil = afterLoss ? m_active + m_settings.takeoverDelay : m_active;
    }
    settleAll();
    for (auto &[name, bucket] : m_teams) {
        const quota_role before = bucket.role;
        placeTeam(name, bucket);
        if (bucket.role == before) {
            continue;
        }
        bucket.epoch += 1;
        if (bucket.role == quota_role::Second && before == quota_role::First) {
            bucket.tokens = std::min(bucket.tokens, capacity(bucket));
        } else {
            bucket.tokens = std::min(bucket.tokens, 0.0);
        }
        bucket.reservedUntil = bucket.role == quota_role::First && afterLoss ? m_active + m_settings.takeoverDelay : m_active;
    }
}

void team_quota_ledger::placeTeam(const std::string &name, team_bucket &bucket) const
{
    bucket.order = m_choice.firstOf(keyOf(name), kOrderLength + 1);
    std::erase_if(bucket.order, [this](const coordinator &one) { return !m_eligible.contains(one.name); });
    bucket.order.resize(std::min(bucket.order.size(), kOrderLength));
    bucket.role = quota_role::None;
    for (std::size_t rank = 0; rank < bucket.order.size(); ++rank) {
        if (bucket.order[rank].peerAddress.empty()) {
            bucket.role = rank == 0 ? quota_role::First : quota_role::Second;
        }
    }
}

/// A share falls at once, and rises when the entries of another part of the fleet have stopped to coordinate for themselves.
void team_quota_ledger::updateShare(instant now)
{
    const double present = 1.0 + static_cast<double>(m_members.size());
    // An entry that has started in one part of the fleet has never known those in the others.
    const bool mayBeUnknown = now - m_startedAt < m_settings.lostRetention;
    const double known = present + static_cast<double>(m_lost.size());
    const double total = mayBeUnknown ? std::max(known, static_cast<double>(m_recorded)) : known;
    // The parts of the fleet together may exceed the rate by half of what the rule allows.
    const double share = std::min(1.0, present / total * (1.0 + m_settings.rule.over / 2));
    m_wantedShare = share;
    // Until it coordinates, an entry that starts grants nothing.
    if (share <= m_share || now - m_startedAt < m_settings.startDelay) {
        settleAll();
        m_share = share;
        m_shareRisesAt.reset();
        return;
    }
    if (!m_shareRisesAt) {
        m_shareRisesAt = now + kShareRiseDelay;
        m_nextShare = share;
    }
    m_nextShare = std::min(m_nextShare, share);
    if (now >= *m_shareRisesAt) {
        settleAll();
        m_share = m_nextShare;
        m_shareRisesAt.reset();
    }
}

bool team_quota_ledger::isPartitioned() const
{
    return m_members.empty() && m_wantedShare < 1.0;
}

std::string team_quota_ledger::coordinatorOf(const std::string &name) const
{
    const auto found = m_teams.find(name);
    return found != m_teams.end() && !found->second.order.empty() ? found->second.order.front().name : std::string();
}

// Buckets.

void team_quota_ledger::settleAll()
{
    for (auto &[name, bucket] : m_teams) {
        settle(bucket);
    }
}

void team_quota_ledger::settle(team_bucket &bucket) const
{
    const double most = capacity(bucket);
    const auto fillUntil = [&](instant until) {
        if (until > bucket.refilledAt) {
            bucket.tokens += rateAt(bucket, bucket.refilledAt) * toSeconds(until - bucket.refilledAt);
            bucket.refilledAt = until;
        }
    };
    fillUntil(std::min(bucket.reservedUntil, m_active));
    fillUntil(m_active);
    if (bucket.tokens >= most) {
        bucket.tokens = most;
        bucket.fullAt = m_active;
    }
}

/// Returns by how much the rule allows to exceed the quota in a window.
double team_quota_ledger::headroom(const team_bucket &bucket) const
{
    return m_settings.rule.over * (bucket.perSecond * toSeconds(m_settings.rule.window) + bucket.burst) + m_settings.rule.slack;
}

double team_quota_ledger::reserveRate(const team_bucket &bucket) const
{
    const double slackRate = kReserveOfSlack * m_settings.rule.slack / toSeconds(m_settings.rule.window);
    return std::min(m_settings.reserveOfRate * bucket.perSecond, slackRate + kReserveOfOver * bucket.perSecond);
}

double team_quota_ledger::rateAt(const team_bucket &bucket, instant active) const
{
    if (bucket.role == quota_role::None) {
        return 0.0;
    }
    const bool isReserved = bucket.role == quota_role::Second || active < bucket.reservedUntil;
    return isReserved ? std::min(reserveRate(bucket), m_share * bucket.perSecond) : m_share * bucket.perSecond;
}

double team_quota_ledger::capacity(const team_bucket &bucket) const
{
    if (bucket.role != quota_role::First) {
        return reserveRate(bucket) * kReserveSeconds;
    }
    double most = std::max(bucket.burst, kMinBurstSeconds * bucket.perSecond);
    if (const double room = headroom(bucket); room > 0) {
        most = std::max(bucket.burst + kBurstOfRoom * room, kMinCapacitySeconds * bucket.perSecond);
    }
    return m_share * most;
}

team_quota_ledger::team_bucket &team_quota_ledger::bucketOf(instant now, const std::string &name, std::uint64_t version, double perSecond, double burst)
{
    auto found = m_teams.find(name);
    if (found == m_teams.end()) {
        if (m_teams.size() >= m_settings.maxTeams) {
            m_teams.erase(
                std::min_element(m_teams.begin(), m_teams.end(), [](const auto &left, const auto &right) { return left.second.usedAt < right.second.usedAt; }));
            m_evictedAt = m_active;
        }
        found = m_teams.emplace(name, team_bucket{}).first;
        team_bucket &bucket = found->second;
        bucket.version = version;
        bucket.perSecond = perSecond;
        bucket.burst = burst;
        placeTeam(name, bucket);
        // An idle team finds its burst: nobody has asked for it since the orders changed, unless its bucket was dropped.
        bucket.refilledAt = std::max(m_orderedAt, m_evictedAt);
        bucket.reservedUntil = m_orderedReservedUntil;
    } else if (version > found->second.version) {
        settle(found->second);
        found->second.version = version;
        found->second.perSecond = perSecond;
        found->second.burst = burst;
    }
    settle(found->second);
    found->second.usedAt = now;
    return found->second;
}

// As the asking entry.

quota_step team_quota_ledger::charge(instant now, const std::string &name, const team_quota &quota, std::uint32_t cost, std::uint64_t version)
{
    observe(now);
    bucketOf(now, name, version, quota.perSecond, quota.burst);
    m_lastNumber = std::max<std::uint32_t>(1, m_lastNumber + 1);
    return choose(now, name, cost, m_lastNumber, 0);
}

/// Decides by itself or by asking the first entry from @p rank on in the order of the team that may be asked.
quota_step team_quota_ledger::choose(instant now, const std::string &name, std::uint32_t cost, std::uint32_t number, std::size_t rank)
{
    quota_step step;
    step.verdict = quota_verdict{quota_outcome::Unknown, m_settings.unknownWait, 0};
    const auto found = m_teams.find(name);
    if (found == m_teams.end()) {
        return step;
    }
    const team_bucket &bucket = found->second;
    for (; rank < bucket.order.size(); ++rank) {
        const coordinator &one = bucket.order[rank];
        if (one.peerAddress.empty()) {
            const quota_reply reply = decide(now, "", name, cost, number);
            step.coordinator = one.name;
            if (reply.granted) {
                keepGranted(now, number, "");
                step.verdict = quota_verdict{quota_outcome::Granted, duration::zero(), number};
            } else {
                // An entry that has lost all others doesn't know what the team uses elsewhere.
                const auto outcome = isPartitioned() ? quota_outcome::Unknown : quota_outcome::Exceeded;
                step.verdict = quota_verdict{outcome, std::chrono::milliseconds(reply.waitMs), 0};
            }
            return step;
        }
        const auto unreachable = m_unreachableUntil.find(one.name);
        if (unreachable != m_unreachableUntil.end() && unreachable->second > now) {
            continue;
        }
        step.verdict.reset();
        step.coordinator = one.name;
        step.peerAddress = one.peerAddress;
        step.request = {number, name, cost, bucket.version, bucket.perSecond, bucket.burst};
        m_pending.insert_or_assign(number, pending_request{name, cost, rank, one, now});
        return step;
    }
    return step;
}

quota_step team_quota_ledger::onNoReply(instant now, std::uint32_t number)
{
    observe(now);
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        quota_step step;
        step.verdict = quota_verdict{quota_outcome::Unknown, m_settings.unknownWait, 0};
        return step;
    }
    const pending_request request = found->second;
    m_pending.erase(found);
    instant &until = m_unreachableUntil[request.asked.name];
    until = std::max(until, now + m_settings.unreachableTime);
    return choose(now, request.team, request.cost, number, request.rank + 1);
}

std::optional<quota_verdict> team_quota_ledger::onReply(instant now, const std::string &from, const quota_reply &reply)
{
    observe(now);
    const auto found = m_pending.find(reply.number);
    if (found == m_pending.end() || found->second.asked.peerAddress != from || now - found->second.askedAt > m_settings.maxReplyTime) {
        return std::nullopt;
    }
    m_unreachableUntil.erase(found->second.asked.name);
    m_pending.erase(found);
    if (!reply.granted) {
        return quota_verdict{quota_outcome::Exceeded, std::chrono::milliseconds(reply.waitMs), 0};
    }
    keepGranted(now, reply.number, from);
    return quota_verdict{quota_outcome::Granted, duration::zero(), reply.number};
}

std::optional<addressed_refund> team_quota_ledger::refund(instant now, const std::string &name, std::uint32_t cost, std::uint32_t number)
{
    observe(now);
    const auto found = m_grantedBy.find(number);
    if (found == m_grantedBy.end()) {
        return std::nullopt;
    }
    const std::string peerAddress = std::move(found->second);
    m_grantedBy.erase(found);
    const quota_refund message{name, cost, number};
    if (peerAddress.empty()) {
        onRefund(now, "", message);
        return std::nullopt;
    }
    return addressed_refund{peerAddress, message};
}

void team_quota_ledger::keepGranted(instant now, std::uint32_t number, std::string peerAddress)
{
    m_grantedBy.insert_or_assign(number, std::move(peerAddress));
    m_grantedInOrder.emplace_back(now + m_settings.retention, number);
    if (m_grantedInOrder.size() > m_settings.maxNumbers) {
        m_grantedBy.erase(m_grantedInOrder.front().second);
        m_grantedInOrder.pop_front();
    }
}

// As the coordinator.

std::optional<quota_reply> team_quota_ledger::onRequest(instant now, const std::string &from, const quota_request &request)
{
    observe(now);
    if (const auto repeated = m_charged.find({from, request.number}); repeated != m_charged.end()) {
        return repeated->second.reply;
    }
    if (!isUsable(request) || bucketOf(now, request.team, request.configVersion, request.perSecond, request.burst).role == quota_role::None) {
        return std::nullopt;
    }
    return decide(now, from, request.team, request.cost, request.number);
}

/// Decides from the bucket of the team. Precondition: the team is known.
quota_reply team_quota_ledger::decide(instant now, const std::string &from, const std::string &name, std::uint32_t cost, std::uint32_t number)
{
    team_bucket &bucket = m_teams.at(name);
    settle(bucket);
    quota_reply reply;
    reply.number = number;
    // A request that is larger than the bucket would never fit.
    reply.granted = bucket.tokens + kRounding >= std::min<double>(cost, capacity(bucket));
    if (reply.granted) {
        bucket.tokens -= cost;
    } else {
        reply.waitMs = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(waitFor(now, bucket, cost)).count());
    }
    keepCharged(now, {from, number}, {now, name, cost, reply, false, m_active, bucket.epoch});
    return reply;
}

/// Returns the time until @p cost fits, or until the turn of this caller among those that were refused, whichever is longer.
duration team_quota_ledger::waitFor(instant now, team_bucket &bucket, std::uint32_t cost) const
{
    const double rate = std::max(rateAt(bucket, m_active), kRounding);
    const double missing = std::max(0.0, std::min<double>(cost, capacity(bucket)) - bucket.tokens);
    const duration untilFits = secondsToDuration(std::min(missing / rate, kMaxWaitSeconds));
    const instant turn = std::min(std::max(bucket.nextReturn, now + untilFits), now + m_settings.maxQueue);
    bucket.nextReturn = turn + secondsToDuration(std::min(cost / rate, kMaxWaitSeconds));
    return std::max(untilFits, turn - now);
}

void team_quota_ledger::onRefund(instant now, const std::string &from, const quota_refund &refund)
{
    observe(now);
    const sender_number number(from, refund.number);
    const auto found = m_charged.find(number);
    if (found == m_charged.end()) {
        // The request may still be on its way; it must not be charged then.
        keepCharged(now, number, {now, refund.team, refund.cost, quota_reply{refund.number, false, 0}, true, m_active, 0});
        return;
    }
    charged_request &request = found->second;
    const auto bucket = m_teams.find(request.team);
    if (!request.reply.granted || request.isRefunded || bucket == m_teams.end()) {
        return;
    }
    request.isRefunded = true;
    settle(bucket->second);
    // A bucket that was full since then, or was emptied, would hold no more without the charge.
    if (bucket->second.epoch == request.epoch && bucket->second.fullAt <= request.chargedAt) {
        bucket->second.tokens = std::min(capacity(bucket->second), bucket->second.tokens + request.cost);
    }
}

void team_quota_ledger::keepCharged(instant now, const sender_number &number, charged_request request)
{
    m_charged.insert_or_assign(number, std::move(request));
    m_chargedInOrder.emplace_back(now + m_settings.retention, number);
    if (m_chargedInOrder.size() > m_settings.maxNumbers) {
        m_charged.erase(m_chargedInOrder.front().second);
        m_chargedInOrder.pop_front();
    }
}

} // namespace heatherroute
