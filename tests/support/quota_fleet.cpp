#include "support/quota_fleet.h"

#include <algorithm>
#include <cmath>

namespace heatherroute
{

namespace
{

constexpr std::int64_t kAdvanceMs = 100;
constexpr std::int64_t kOneWayMs = 1;
constexpr std::int64_t kRepeatMs = 30;
constexpr std::int64_t kTimeoutMs = 80;
/// As the membership protocol detects at its default settings.
constexpr std::int64_t kJoinMs = 300;
constexpr std::int64_t kDetectionMs = 2'500;
constexpr std::int64_t kViewSpreadMs = 500; ///< By which the entries learn of a change at different times.
constexpr std::int64_t kMaxRefundMs = 3'000;
constexpr std::int64_t kConfigMs = 500;

} // namespace

quota_fleet::quota_fleet(std::size_t entries, const quota_rule &rule, std::vector<fleet_team> teams, std::uint64_t seed)
    : m_random(seed)
    , m_rule(rule)
    , m_teams(std::move(teams))
    , m_entries(entries)
{
    for (const fleet_team &one : m_teams) {
        m_quotas.push_back({{0, 1, one.quota}});
    }
}

std::int64_t quota_fleet::below(std::int64_t limit)
{
    return std::uniform_int_distribution<std::int64_t>(0, limit - 1)(m_random);
}

instant quota_fleet::now() const
{
    return instant(std::chrono::seconds(1'000)) + std::chrono::milliseconds(m_nowMs);
}

std::string quota_fleet::nameOf(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

std::string quota_fleet::addressOf(std::size_t entry)
{
    return "10.0.0.1:" + std::to_string(1 + entry);
}

std::size_t quota_fleet::indexOf(const std::string &address) const
{
    return std::stoul(address.substr(address.find(':') + 1)) - 1;
}

bool quota_fleet::mayReach(std::size_t from, std::size_t to) const
{
    return m_entries[from].part == m_entries[to].part;
}

void quota_fleet::push(event one)
{
    one.order = ++m_order;
    m_events.push(std::move(one));
}

void quota_fleet::start()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; startsKnown && i < m_entries.size(); ++i) {
        for (std::size_t j = 0; j < m_entries.size(); ++j) {
            m_entries[i].differsSince[j] = -kDetectionMs - kViewSpreadMs;
        }
        updateView(i);
    }
    for (std::size_t team = 0; team < m_teams.size(); ++team) {
        scheduleRequest(team);
    }
}

void quota_fleet::startEntry(std::size_t index)
{
    entry &one = m_entries[index];
    const std::uint64_t starts = one.starts + 1;
    const int part = one.part;
    one = entry();
    one.starts = starts;
    one.part = part;
    one.isUp = true;
    one.startedAt = m_nowMs;
    one.known.assign(m_entries.size(), 0);
    one.differsSince.assign(m_entries.size(), m_nowMs);
    team_quota_settings settings;
    settings.rule = m_rule;
    one.ledger = team_quota_ledger::make(now(), settings, nameOf(index), static_cast<std::uint32_t>(m_random()));
    one.ledger->setRecordedEntries(now(), m_entries.size()); // The store can be reached.
    event first;
    first.atMs = m_nowMs + 1 + below(kAdvanceMs);
    first.entry = index;
    first.starts = starts;
    push(std::move(first));
}

void quota_fleet::kill(std::size_t index, std::int64_t downMs)
{
    entry &one = m_entries[index];
    if (!one.isUp) {
        return;
    }
    one.isUp = false;
    event again;
    again.kind = event_kind::Start;
    again.atMs = m_nowMs + downMs;
    again.entry = index;
    push(std::move(again));
}

void quota_fleet::suspend(std::size_t index, std::int64_t forMs)
{
    m_entries[index].suspendedUntil = std::max(m_entries[index].suspendedUntil, m_nowMs + forMs);
}

void quota_fleet::setPart(std::size_t index, int part)
{
    m_entries[index].part = part;
}

void quota_fleet::setFactor(std::size_t team, double factor)
{
    m_teams[team].factor = factor;
}

void quota_fleet::changeQuota(std::size_t team, const team_quota &quota)
{
    m_quotas[team].push_back({m_nowMs, m_quotas[team].back().version + 1, quota});
}

std::size_t quota_fleet::coordinatorOf(std::size_t team) const
{
    auto choice = coordinator_choice::make(nameOf(0));
    std::vector<member> others;
    for (std::size_t i = 1; i < m_entries.size(); ++i) {
        member other;
        other.id.name = nameOf(i);
        other.peerAddress = addressOf(i);
        others.push_back(other);
    }
    choice.setMembers(others);
    const coordinator first = choice.firstOf("team/" + m_teams[team].name, 1).front();
    return first.peerAddress.empty() ? 0 : indexOf(first.peerAddress);
}

void quota_fleet::runUntil(std::int64_t atMs)
{
    while (!m_events.empty() && m_events.top().atMs <= atMs) {
        event one = m_events.top();
        m_events.pop();
        m_nowMs = one.atMs;
        handle(one);
    }
    m_nowMs = atMs;
}

void quota_fleet::handle(event &one)
{
    if (one.kind == event_kind::Request) {
        request(one.team);
        scheduleRequest(one.team);
        return;
    }
    if (one.kind == event_kind::Start) {
        startEntry(one.entry);
        return;
    }
    entry &at = m_entries[one.entry];
    if (!at.isUp || at.starts != one.starts) {
        return;
    }
    if (at.suspendedUntil > m_nowMs) {
        // What arrives meanwhile is in its socket buffer, and its timers are late.
        one.atMs = at.suspendedUntil;
        m_events.push(one);
        return;
    }
    const auto waiting = at.waiting.find(one.number);
    const bool isWaiting = waiting != at.waiting.end() && waiting->second.round == one.round;
    switch (one.kind) {
    case event_kind::Advance:
        advanceEntry(one.entry);
        break;
    case event_kind::Deliver:
        deliver(one);
        break;
    case event_kind::Repeat:
        if (isWaiting) {
            post(one.entry, waiting->second.step.peerAddress, waiting->second.step.request);
        }
        break;
    case event_kind::Timeout:
        if (isWaiting) {
            const waiting_request request = waiting->second;
            at.waiting.erase(waiting);
            post(one.entry, request.step.peerAddress, quota_refund{m_teams[request.team].name, request.step.request.cost, one.number});
            onStep(one.entry, request.team, at.ledger->onNoReply(now(), one.number));
        }
        break;
    case event_kind::Refund:
        if (const auto refund = at.ledger->refund(now(), m_teams[one.team].name, m_teams[one.team].cost, one.number)) {
            post(one.entry, refund->peerAddress, refund->refund);
        }
        break;
    default:
        break;
    }
}

void quota_fleet::advanceEntry(std::size_t index)
{
    entry &one = m_entries[index];
    updateView(index);
    one.ledger->advance(now());
    event next;
    next.atMs = m_nowMs + kAdvanceMs;
    next.entry = index;
    next.starts = one.starts;
    push(std::move(next));
}

void quota_fleet::updateView(std::size_t index)
{
    entry &one = m_entries[index];
    bool hasChanged = false;
    for (std::size_t j = 0; j < m_entries.size(); ++j) {
        if (j == index) {
            continue;
        }
        const entry &other = m_entries[j];
        const bool isThere = other.isUp && other.suspendedUntil <= m_nowMs && mayReach(index, j);
        const std::uint64_t present = isThere ? other.starts : 0;
        if (present == one.known[j]) {
            one.differsSince[j] = m_nowMs;
            continue;
        }
        const auto spread = static_cast<std::int64_t>((index * 7 + j * 3) % 11) * kViewSpreadMs / 10;
        if (m_nowMs - one.differsSince[j] >= (isThere ? kJoinMs : kDetectionMs) + spread) {
            one.known[j] = present;
            hasChanged = true;
        }
    }
    if (!hasChanged) {
        return;
    }
    std::vector<member> others;
    for (std::size_t j = 0; j < m_entries.size(); ++j) {
        if (one.known[j] != 0) {
            member other;
            other.id = {nameOf(j), one.known[j]};
            other.peerAddress = addressOf(j);
            others.push_back(other);
        }
    }
    one.ledger->setMembers(now(), others);
}

void quota_fleet::post(std::size_t from, const std::string &address, const team_quota_message &body)
{
    const std::size_t to = indexOf(address);
    if (!mayReach(from, to) || !m_entries[to].isUp) {
        return;
    }
    const int copies = below(100) < lostPerCent ? 0 : (below(100) < repeatedPerCent ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
        event one;
        one.kind = event_kind::Deliver;
        one.atMs = m_nowMs + kOneWayMs + below(maxExtraDelayMs + 1);
        one.entry = to;
        one.starts = m_entries[to].starts;
        one.other = from;
        one.body = std::make_shared<const team_quota_message>(body);
        push(std::move(one));
    }
}

void quota_fleet::deliver(const event &one)
{
    entry &at = m_entries[one.entry];
    const std::string from = addressOf(one.other);
    if (const auto *request = std::get_if<quota_request>(one.body.get())) {
        if (const auto reply = at.ledger->onRequest(now(), from, *request)) {
            post(one.entry, from, *reply);
        }
    } else if (const auto *refund = std::get_if<quota_refund>(one.body.get())) {
        at.ledger->onRefund(now(), from, *refund);
    } else if (const auto verdict = at.ledger->onReply(now(), from, std::get<quota_reply>(*one.body))) {
        const auto waiting = at.waiting.find(std::get<quota_reply>(*one.body).number);
        if (waiting != at.waiting.end()) {
            const std::size_t team = waiting->second.team;
            at.waiting.erase(waiting);
            finish(one.entry, team, *verdict);
        }
    }
}

void quota_fleet::scheduleRequest(std::size_t team)
{
    const fleet_team &one = m_teams[team];
    const double perMs = std::max(one.usual * one.factor / one.cost / 1'000, 1e-6);
    event next;
    next.kind = event_kind::Request;
    next.atMs = m_nowMs + std::llround(std::exponential_distribution<double>(perMs)(m_random));
    next.team = team;
    push(std::move(next));
}

void quota_fleet::request(std::size_t team)
{
    const auto index = static_cast<std::size_t>(below(static_cast<std::int64_t>(m_entries.size())));
    entry &one = m_entries[index];
    if (!one.isUp || one.suspendedUntil > m_nowMs) {
        return; // Its callers get no connection.
    }
    const std::vector<known_quota> &quotas = m_quotas[team];
    const auto lateness = static_cast<std::int64_t>(index * 37 % kConfigMs);
    std::size_t last = quotas.size() - 1;
    while (last > 0 && quotas[last].fromMs + lateness > m_nowMs) {
        --last;
    }
    onStep(index, team, one.ledger->charge(now(), m_teams[team].name, quotas[last].quota, m_teams[team].cost, quotas[last].version));
}

void quota_fleet::onStep(std::size_t index, std::size_t team, quota_step step)
{
    if (step.verdict) {
        finish(index, team, *step.verdict);
        return;
    }
    entry &one = m_entries[index];
    event timer;
    timer.entry = index;
    timer.starts = one.starts;
    timer.number = step.request.number;
    timer.round = ++m_rounds;
    timer.kind = event_kind::Repeat;
    timer.atMs = m_nowMs + kRepeatMs;
    push(timer);
    timer.kind = event_kind::Timeout;
    timer.atMs = m_nowMs + kTimeoutMs;
    push(timer);
    post(index, step.peerAddress, step.request);
    one.waiting.insert_or_assign(timer.number, waiting_request{team, timer.round, std::move(step)});
}

void quota_fleet::finish(std::size_t index, std::size_t team, const quota_verdict &verdict)
{
    const bool isGranted = verdict.outcome == quota_outcome::Granted;
    const bool isRefunded = isGranted && below(100) < notRunPerCent;
    m_outcomes.push_back({m_nowMs, team, m_teams[team].cost, verdict.outcome, isGranted && !isRefunded});
    if (isRefunded) {
        event later;
        later.kind = event_kind::Refund;
        later.atMs = m_nowMs + below(kMaxRefundMs);
        later.entry = index;
        later.starts = m_entries[index].starts;
        later.team = team;
        later.number = verdict.number;
        push(std::move(later));
    }
}

double quota_fleet::unitsRun(std::size_t team, std::int64_t fromMs, std::int64_t toMs) const
{
    double units = 0.0;
    for (const fleet_outcome &one : m_outcomes) {
        units += one.hasRun && one.team == team && one.atMs >= fromMs && one.atMs < toMs ? one.cost : 0.0;
    }
    return units;
}

double quota_fleet::worstExcess(std::size_t team, const team_quota &quota, std::int64_t fromMs) const
{
    const std::int64_t windowMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_rule.window).count();
    const double allowed = (quota.perSecond * static_cast<double>(windowMs) / 1'000 + quota.burst) * (1 + m_rule.over) + m_rule.slack;
    std::deque<const fleet_outcome *> window;
    double units = 0.0;
    double worst = 0.0;
    for (const fleet_outcome &one : m_outcomes) {
        if (!one.hasRun || one.team != team || one.atMs < fromMs) {
            continue;
        }
        window.push_back(&one);
        units += one.cost;
        while (window.front()->atMs <= one.atMs - windowMs) {
            units -= window.front()->cost;
            window.pop_front();
        }
        worst = std::max(worst, units);
    }
    return worst - allowed;
}

} // namespace heatherroute
