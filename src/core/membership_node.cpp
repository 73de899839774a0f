#include "core/membership_node.h"

#include "heatherroute/assert.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace heatherroute
{

namespace
{

// An update reaches all members with high probability when each sends it this many times per doubling of the fleet size.
constexpr std::uint32_t kTransmissionsPerDoubling = 2;
constexpr std::size_t kMaxSummaryBytes = 400;
constexpr std::size_t kDepartureMessages = 3;

member_update updateOf(const member &known)
{
    const member_details details{known.callerAddress, known.peerAddress, known.zone, known.region, known.half};
    return {known.id, known.refutation, known.state, details};
}

bool overrules(const member_update &update, const member &known)
{
    return std::pair(update.refutation, update.state) > std::pair(known.refutation, known.state);
}

bool areAddressesTooLong(const member &self)
{
    return self.callerAddress.size() > kMaxAddressBytes || self.peerAddress.size() > kMaxAddressBytes;
}

bool areNamesTooLong(const member &self)
{
    const std::size_t maxSize = std::max({self.id.name.size(), self.zone.size(), self.region.size(), self.half.size()});
    return maxSize > kMaxMemberNameBytes;
}

} // namespace

std::unique_ptr<membership> membership::make(const membership_settings &settings, const member &self, std::uint64_t seed, last_reason *reason)
{
    if (self.id.name.empty() || self.peerAddress.empty()) {
        setReason(reason, "a member needs a name and a peer address");
        return nullptr;
    }
    if (areNamesTooLong(self) || areAddressesTooLong(self)) {
        setReason(reason, "a name or address of the member is too long");
        return nullptr;
    }
    if (self.state != member_state::Alive || self.refutation != 0) {
        setReason(reason, "a member must start alive and with refutation 0");
        return nullptr;
    }
    if (settings.ackTimeout <= duration::zero() || settings.ackTimeout >= settings.probePeriod) {
        setReason(reason, "ackTimeout must be between 0 and probePeriod");
        return nullptr;
    }
    if (settings.retryDeadEvery == 0 || settings.syncEvery == 0 || settings.maxMembers == 0 || settings.suspicionFactor <= 0) {
        setReason(reason, "retryDeadEvery, syncEvery, maxMembers and suspicionFactor must be positive");
        return nullptr;
    }
    return std::make_unique<membership_node>(settings, self, seed);
}

membership_node::membership_node(const membership_settings &settings, const member &self, std::uint64_t seed)
    : m_settings(settings)
    , m_self(self)
    , m_random(seed)
    , m_table(settings.maxMembers)
{ }

membership_effects membership_node::handle(instant now, const membership_event &event)
{
    if (!m_started) {
        m_started = true;
        m_nextPeriod = now;
        m_wakeAt = now;
    }
    HR_ASSERT(now >= m_now || m_now == instant());
    m_now = now;
    m_effects = {};
    if (now - m_wakeAt > m_settings.maxTimerDelay) {
        onLateTimer(now - m_wakeAt);
    }
    std::visit([this](const auto &one) { on(one); }, event);
    m_wakeAt = nextWake();
    m_effects.wakeAt = m_wakeAt;
    return std::move(m_effects);
}

const member &membership_node::self() const
{
    return m_self;
}

std::vector<member> membership_node::members() const
{
    std::vector<member> live;
    for (const auto &[id, known] : m_table.all()) {
        if (known.state != member_state::Dead) {
            live.push_back(known);
        }
    }
    return live;
}

std::optional<instant> membership_node::lastReceivedAt() const
{
    return m_lastReceivedAt;
}

membership_dump membership_node::dump() const
{
    membership_dump result{m_self, {}, m_localHealthScore, m_lastReceivedAt, m_gossip.size(), m_counters};
    for (const auto &[id, known] : m_table.all()) {
        result.members.push_back(known);
    }
    return result;
}

void membership_node::on(const membership_hints &event)
{
    m_hints = event.addresses;
    if (m_hints.size() > m_settings.maxHints) {
        m_hints.resize(m_settings.maxHints);
    }
}

void membership_node::on(const membership_summary &event)
{
    m_self.summary = event.summary;
    auto &pools = m_self.summary.freeSlotsByPool;
    while (pools.size() > kMaxPools || encodedBytes(m_self.summary) > kMaxSummaryBytes) {
        pools.pop_back();
    }
}

void membership_node::on(const membership_leave & /*event*/)
{
    if (m_self.state == member_state::Alive) {
        m_self.state = member_state::Leaving;
        announceSelf();
    }
}

void membership_node::on(const membership_departed & /*event*/)
{
    m_self.state = member_state::Dead;
    announceSelf();
    for (std::size_t i = 0; i < kDepartureMessages; ++i) {
        if (const member *peer = m_table.nextToProbe(m_random)) {
            sendProbe(++m_lastNumber, peer->id, peer->peerAddress);
        }
    }
}

member_update membership_node::updateOfSelf() const
{
    return updateOf(m_self);
}

void membership_node::announceSelf()
{
    member_update update = updateOfSelf();
    if (m_self.refutation > 0 || m_self.state != member_state::Alive) {
        update.details.reset();
    }
    // More sends than any other update, so that it goes first.
    m_gossip.add(update, 2 * kTransmissionsPerDoubling * static_cast<std::uint32_t>(std::bit_width(m_table.liveCount() + 1)));
}

void membership_node::queueUpdate(const member_update &update)
{
    m_gossip.add(update, kTransmissionsPerDoubling * static_cast<std::uint32_t>(std::bit_width(m_table.liveCount() + 1)));
}

void membership_node::applyAll(const std::vector<member_update> &updates, dissemination disseminate)
{
    for (const member_update &update : updates) {
        apply(update, disseminate);
    }
}

void membership_node::apply(const member_update &update, dissemination disseminate)
{
    if (update.id.name.empty()) {
        return;
    }
    if (update.id == m_self.id) {
        applyToSelf(update);
        return;
    }
    const member *known = m_table.find(update.id);
    if (known == nullptr) {
        addMember(update, disseminate);
        return;
    }
    if (overrules(update, *known)) {
        changeState(*known, update.state, update.refutation);
    }
}

void membership_node::applyToSelf(const member_update &update)
{
    const bool isAccusation = update.state == member_state::Suspected || update.state == member_state::Dead;
    if (!isAccusation || update.refutation < m_self.refutation || m_self.state == member_state::Dead) {
        return;
    }
    m_self.refutation = update.refutation + 1;
    ++m_counters.refutationsOfSelf;
    // Being suspected indicates that this process itself is slow.
    raiseLocalHealthScore(1);
    announceSelf();
}

void membership_node::addMember(const member_update &update, dissemination disseminate)
{
    if (update.state == member_state::Dead || !update.details) {
        return;
    }
    const member_details &details = *update.details;
    if (details.peerAddress.empty() || details.peerAddress == m_self.peerAddress) {
        return; // An earlier process at this VM's address.
    }
    if (const member *holder = m_table.liveAt(details.peerAddress)) {
        if (holder->id.incarnation > update.id.incarnation) {
            return; // Keeps the larger incarnation. If that is wrong, the next message from the address corrects it.
        }
        changeState(*holder, member_state::Dead, holder->refutation);
    }
    const member added{update.id, update.refutation, update.state, details.callerAddress, details.peerAddress, details.zone, details.region, details.half, {}};
    if (!m_table.insert(added, m_random)) {
        ++m_counters.membersRejected;
        return;
    }
    if (added.state == member_state::Suspected) {
        m_suspicions[added.id] = newSuspicion();
    }
    m_effects.changes.push_back({std::nullopt, added});
    if (disseminate == dissemination::Yes) {
        queueUpdate(update);
    }
}

void membership_node::changeState(const member &known, member_state state, std::uint32_t refutation)
{
    const member before = known;
    if (before.state == member_state::Dead && state != member_state::Dead) {
        const member *holder = m_table.liveAt(before.peerAddress);
        if (holder != nullptr) {
            return; // Its address is used by a successor.
        }
    }
    if (before.state == member_state::Suspected && state != member_state::Dead && state != member_state::Suspected) {
        ++m_counters.suspicionsRefuted;
    }
    m_suspicions.erase(before.id);
    m_table.update(before.id, state, refutation, m_now, m_random);
    if (state == member_state::Suspected) {
        m_suspicions[before.id] = newSuspicion();
    }
    queueUpdate({before.id, refutation, state, std::nullopt});
    if (before.state != state) {
        m_effects.changes.push_back({before.state, *m_table.find(before.id)});
    }
}

void membership_node::suspect(const member &target)
{
    if (target.state == member_state::Alive) {
        ++m_counters.suspicionsRaised;
        changeState(target, member_state::Suspected, target.refutation);
        // Informs the suspect at once, so that it can refute the suspicion.
        sendProbe(++m_lastNumber, target.id, target.peerAddress);
        return;
    }
    // A leaving member is not gossiped as suspected; only this member tracks that it doesn't answer.
    m_suspicions.emplace(target.id, newSuspicion());
}

} // namespace heatherroute
