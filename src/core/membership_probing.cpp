#include "core/membership_node.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace heatherroute
{

namespace
{

constexpr std::uint32_t kMaxLocalHealthScore = 4;
constexpr std::uint32_t kSuppressionPeriods = 2;
constexpr std::size_t kMaxUpdateBytes = 600; // With a summary of kMaxSummaryBytes, a probe still fits a datagram.
constexpr std::size_t kMaxPageBytes = 900;
constexpr std::uint32_t kFinalProbes = 3; // Sent half a period apart.
constexpr std::size_t kMaxRelayedProbes = 64;
constexpr std::size_t kJoinsPerPeriod = 3;
constexpr std::uint64_t kInitialSyncPeriods = 20; // A peer that started at the same time has an incomplete list at first.

} // namespace

void membership_node::on(const membership_timer & /*event*/)
{
    advanceSuspicions();
    if (m_probe && !m_probe->answered && !m_probe->indirectSent && m_now >= m_probe->ackDeadline) {
        sendIndirectProbes();
    }
    if (m_now >= m_nextPeriod) {
        runPeriod();
    }
}

void membership_node::runPeriod()
{
    finishProbe();
    startProbe();
    if (m_periods % m_settings.retryDeadEvery == 0 || m_table.liveCount() == 0) {
        contactAbsentMembers();
    }
    if (m_joining || m_periods < kInitialSyncPeriods || m_periods % m_settings.syncEvery == 0) {
        requestSync();
    }
    m_table.purgeDead(m_now - m_settings.deadRetention);
    ++m_periods;
    m_nextPeriod = m_now + scaled(m_settings.probePeriod);
}

void membership_node::onLateTimer(duration lateness)
{
    raiseLocalHealthScore(2);
    m_suppressSuspicionsUntil = m_now + kSuppressionPeriods * m_settings.probePeriod;
    for (auto &[id, pending] : m_suspicions) {
        pending.deadline = std::max(pending.deadline + lateness, m_suppressSuspicionsUntil);
    }
    // The answer may be unread in the socket buffer, so a missing answer proves nothing.
    if (m_probe && !m_probe->answered) {
        ++m_counters.probeFailuresSuppressed;
    }
    m_probe.reset();
    m_nextPeriod = std::max(m_nextPeriod, m_now);
}

bool membership_node::isSuppressingSuspicions() const
{
    return m_now < m_suppressSuspicionsUntil;
}

void membership_node::raiseLocalHealthScore(std::uint32_t amount)
{
    m_localHealthScore = std::min(m_localHealthScore + amount, kMaxLocalHealthScore);
}

duration membership_node::scaled(duration base) const
{
    return base * (1 + m_localHealthScore);
}

duration membership_node::suspicionTimeout() const
{
    const double periods = m_settings.suspicionFactor * std::log2(static_cast<double>(m_table.liveCount() + 2));
    return duration(static_cast<duration::rep>(static_cast<double>(m_settings.probePeriod.count()) * std::max(periods, 2.0)));
}

membership_node::suspicion membership_node::newSuspicion() const
{
    return {m_now + suspicionTimeout(), kFinalProbes};
}

instant membership_node::nextActionAt(const suspicion &pending) const
{
    return pending.deadline - pending.finalProbesLeft * m_settings.probePeriod / 2;
}

void membership_node::advanceSuspicions()
{
    std::vector<member_id> expired;
    for (auto &[id, pending] : m_suspicions) {
        if (nextActionAt(pending) > m_now) {
            continue;
        }
        if (pending.finalProbesLeft == 0) {
            expired.push_back(id);
            continue;
        }
        // The refutation may have been lost on its way here, so the suspect is probed again before it is declared dead.
        --pending.finalProbesLeft;
        if (const member *known = m_table.find(id)) {
            sendFinalProbe(*known);
        }
    }
    for (const member_id &id : expired) {
        declareDead(id);
    }
}

void membership_node::sendFinalProbe(const member &suspect)
{
    const std::uint32_t number = ++m_lastNumber;
    sendProbe(number, suspect.id, suspect.peerAddress);
    const member *helper = m_table.randomLive(m_random);
    if (helper != nullptr && helper->id != suspect.id) {
        send(helper->peerAddress, indirect_probe{number, suspect.id, suspect.peerAddress});
    }
}

void membership_node::declareDead(const member_id &id)
{
    m_suspicions.erase(id);
    const member *known = m_table.find(id);
    if (known != nullptr && known->state != member_state::Dead) {
        ++m_counters.deathsDeclared;
        changeState(*known, member_state::Dead, known->refutation);
    }
}

void membership_node::finishProbe()
{
    if (!m_probe) {
        return;
    }
    const pending_probe finished = *m_probe;
    m_probe.reset();
    if (finished.answered) {
        m_localHealthScore -= m_localHealthScore > 0 ? 1 : 0;
        return;
    }
    ++m_counters.probesFailed;
    raiseLocalHealthScore(1);
    const member *target = m_table.find(finished.target);
    if (target == nullptr || target->state == member_state::Dead) {
        return;
    }
    if (isSuppressingSuspicions()) {
        ++m_counters.probeFailuresSuppressed;
        return;
    }
    suspect(*target);
}

void membership_node::startProbe()
{
    const member *target = m_table.nextToProbe(m_random);
    if (target == nullptr) {
        return;
    }
    m_probe = pending_probe{++m_lastNumber, target->id, m_now + scaled(m_settings.ackTimeout)};
    ++m_counters.probesSent;
    sendProbe(m_probe->number, target->id, target->peerAddress);
}

void membership_node::sendIndirectProbes()
{
    m_probe->indirectSent = true;
    const member *target = m_table.find(m_probe->target);
    if (target == nullptr) {
        return;
    }
    std::vector<member_id> helpers;
    // More attempts than helpers, since a random choice may be a repetition or the target.
    for (std::uint32_t attempts = 0; attempts < 3 * m_settings.indirectProbes && helpers.size() < m_settings.indirectProbes; ++attempts) {
        const member *helper = m_table.randomLive(m_random);
        if (helper == nullptr || helper->id == target->id || std::find(helpers.begin(), helpers.end(), helper->id) != helpers.end()) {
            continue;
        }
        helpers.push_back(helper->id);
        send(helper->peerAddress, indirect_probe{m_probe->number, target->id, target->peerAddress});
    }
}

void membership_node::contactAbsentMembers()
{
    const member *dead = m_table.randomDead(m_random);
    if (dead != nullptr && m_table.liveAt(dead->peerAddress) == nullptr) {
        sendProbe(++m_lastNumber, dead->id, dead->peerAddress);
    }
    if (m_hints.empty()) {
        return;
    }
    const std::size_t joins = m_table.liveCount() == 0 ? kJoinsPerPeriod : 1;
    for (std::size_t i = 0; i < joins; ++i) {
        const std::string &address = m_hints[randomBelow(m_random, m_hints.size())];
        if (address != m_self.peerAddress && m_table.liveAt(address) == nullptr) {
            sendJoin(address);
        }
    }
}

void membership_node::requestSync()
{
    if (const member *peer = m_table.randomLive(m_random)) {
        send(peer->peerAddress, sync_request{m_syncAfter});
    }
}

instant membership_node::nextWake() const
{
    instant wake = m_nextPeriod;
    if (m_probe && !m_probe->answered && !m_probe->indirectSent) {
        wake = std::min(wake, m_probe->ackDeadline);
    }
    for (const auto &[id, pending] : m_suspicions) {
        wake = std::min(wake, nextActionAt(pending));
    }
    return wake;
}

void membership_node::on(const membership_received &event)
{
    if (event.sender == m_self.id || event.sender.name.empty() || m_self.state == member_state::Dead) {
        return;
    }
    noteMessageFrom(event);
    std::visit(
        [this, &event](const auto &body) {
            if constexpr (requires { this->receive(event, body); }) {
                receive(event, body);
            }
        },
        event.body);
}

void membership_node::noteMessageFrom(const membership_received &from)
{
    m_lastReceivedAt = m_now;
    const member *sender = m_table.find(from.sender);
    const bool isDead = sender != nullptr && sender->state == member_state::Dead;
    const member *holder = m_table.liveAt(from.fromAddress);
    if (holder != nullptr && holder->id != from.sender && !isDead) {
        // Another process sends from this address, so the member known at it was replaced.
        changeState(*holder, member_state::Dead, holder->refutation);
    }
    noteAnswerFrom(from.sender);
}

void membership_node::noteAnswerFrom(const member_id &id)
{
    const auto suspicion = m_suspicions.find(id);
    if (suspicion == m_suspicions.end()) {
        return;
    }
    const member *known = m_table.find(id);
    if (known != nullptr && known->state == member_state::Leaving) {
        m_suspicions.erase(suspicion);
        return;
    }
    // The member is alive, so the suspicion starts over until its refutation arrives.
    suspicion->second = newSuspicion();
}

void membership_node::noteSummary(const member_id &sender, const node_summary &summary)
{
    const member *known = m_table.find(sender);
    if (known == nullptr) {
        return;
    }
    const bool isNewConfig = known->summary.configRevision != summary.configRevision || known->summary.configDigest != summary.configDigest;
    m_table.setSummary(sender, summary);
    if (isNewConfig) {
        m_effects.changes.push_back({known->state, *known});
    }
}

void membership_node::send(const std::string &address, peer_body body)
{
    m_effects.sends.push_back({address, std::move(body)});
}

std::vector<member_update> membership_node::updatesFor(const member_id &receiver)
{
    std::vector<member_update> updates;
    std::size_t budget = kMaxUpdateBytes;
    const member *known = m_table.find(receiver);
    if (known != nullptr && (known->state == member_state::Suspected || known->state == member_state::Dead)) {
        // A receiver that is suspected or dead must learn of that first, or it can't refute it.
        updates.push_back({known->id, known->refutation, known->state, std::nullopt});
        budget -= encodedBytes(updates.front());
    }
    for (member_update &update : m_gossip.take(budget)) {
        if (updates.size() < kMaxUpdatesPerMessage) {
            updates.push_back(std::move(update));
        }
    }
    return updates;
}

void membership_node::sendProbe(std::uint32_t number, const member_id &target, const std::string &address)
{
    send(address, probe{number, target, m_self.summary, updatesFor(target)});
}

void membership_node::sendJoin(const std::string &address)
{
    send(address, join_request{updateOfSelf()});
}

void membership_node::receive(const membership_received &from, const probe &body)
{
    applyAll(body.updates, dissemination::Yes);
    noteSummary(from.sender, body.summary);
    const bool isUnknown = m_table.find(from.sender) == nullptr;
    send(from.fromAddress, probe_ack{body.number, m_self.id, isUnknown, m_self.summary, updatesFor(from.sender)});
}

void membership_node::receive(const membership_received &from, const probe_ack &body)
{
    applyAll(body.updates, dissemination::Yes);
    noteAnswerFrom(body.subject);
    noteSummary(from.sender, body.summary);
    if (body.introduce) {
        sendJoin(from.fromAddress);
    }
    const auto relayed = std::find_if(m_relayedProbes.begin(), m_relayedProbes.end(), [&body](const relayed_probe &one) { return one.number == body.number; });
    if (relayed != m_relayedProbes.end()) {
        send(relayed->originAddress, probe_ack{relayed->originNumber, body.subject, false, m_self.summary, {}});
        m_relayedProbes.erase(relayed);
        return;
    }
    if (!m_probe || body.number != m_probe->number) {
        return;
    }
    if (body.subject == m_probe->target) {
        m_probe->answered = true;
        return;
    }
    const member *replaced = m_table.find(m_probe->target);
    if (replaced != nullptr && replaced->state != member_state::Dead) {
        changeState(*replaced, member_state::Dead, replaced->refutation);
    }
    m_probe.reset();
}

void membership_node::receive(const membership_received &from, const indirect_probe &body)
{
    if (m_relayedProbes.size() >= kMaxRelayedProbes) {
        m_relayedProbes.pop_front();
    }
    m_relayedProbes.push_back({++m_lastNumber, from.fromAddress, body.number});
    sendProbe(m_lastNumber, body.target, body.targetAddress);
}

void membership_node::receive(const membership_received &from, const join_request &body)
{
    if (body.self.id == from.sender) {
        apply(body.self, dissemination::Yes);
    }
    sendSyncPage(from.fromAddress, {});
}

void membership_node::receive(const membership_received &from, const sync_request &body)
{
    sendSyncPage(from.fromAddress, body.after);
}

void membership_node::sendSyncPage(const std::string &address, const member_id &after)
{
    sync_page page;
    page.updates.push_back(updateOfSelf());
    page.end = after;
    std::size_t bytes = encodedBytes(page.updates.front());
    const auto &all = m_table.all();
    for (auto next = all.upper_bound(after); next != all.end(); ++next) {
        const member &known = next->second;
        if (known.state == member_state::Dead) {
            continue;
        }
        const member_details details{known.callerAddress, known.peerAddress, known.zone, known.region, known.half};
        member_update update{known.id, known.refutation, known.state, details};
        bytes += encodedBytes(update);
        if (bytes > kMaxPageBytes || page.updates.size() == kMaxUpdatesPerMessage) {
            page.last = false;
            break;
        }
        page.end = known.id;
        page.updates.push_back(std::move(update));
    }
    send(address, std::move(page));
}

void membership_node::receive(const membership_received &from, const sync_page &body)
{
    // Updates from a page aren't gossiped: they were gossiped when they were new, and later pages repeat them.
    applyAll(body.updates, dissemination::No);
    m_syncAfter = body.last ? member_id{} : body.end;
    if (body.last) {
        m_joining = false;
    } else if (m_joining) {
        send(from.fromAddress, sync_request{m_syncAfter});
    }
}

} // namespace heatherroute
