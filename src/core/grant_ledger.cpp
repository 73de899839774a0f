#include "heatherroute/grant_ledger.h"

#include <algorithm>
#include <charconv>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr duration kShortestWait = std::chrono::milliseconds(20);
constexpr duration kLongestWait = std::chrono::seconds(30);

std::optional<std::uint64_t> readNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::uint32_t lessOrZero(std::uint32_t capacity, std::uint32_t used)
{
    return capacity > used ? capacity - used : 0;
}

} // namespace

std::string toRequestId(const grant_id &id)
{
    return id.holder.entry + '/' + std::to_string(id.holder.incarnation) + '/' + std::to_string(id.sequence);
}

grant_id fromRequestId(std::string_view requestId)
{
    grant_id foreign{{std::string(requestId), 0}, 0};
    const auto last = requestId.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return foreign;
    }
    const auto first = requestId.rfind('/', last - 1);
    if (first == std::string_view::npos) {
        return foreign;
    }
    const auto incarnation = readNumber(requestId.substr(first + 1, last - first - 1));
    const auto sequence = readNumber(requestId.substr(last + 1));
    if (!incarnation || !sequence) {
        return foreign;
    }
    return grant_id{{std::string(requestId.substr(0, first)), *incarnation}, *sequence};
}

std::string_view toString(grant_refusal value) noexcept
{
    switch (value) {
    case grant_refusal::NoSlot:
        return "no_slot";
    case grant_refusal::NoMemory:
        return "no_memory";
    case grant_refusal::TooLarge:
        return "too_large";
    case grant_refusal::Rebuilding:
        return "rebuilding";
    case grant_refusal::NotAccepting:
        return "not_accepting";
    case grant_refusal::Closed:
        return "closed";
    }
    return "closed";
}

grant_ledger::grant_ledger(const grant_ledger_settings &settings)
    : m_settings(settings)
    , m_slotCeiling(settings.slots)
    , m_pieceCeiling(settings.pieces)
{ }

grant_ledger grant_ledger::make(const grant_ledger_settings &settings)
{
    return grant_ledger(settings);
}

grant_ledger grant_ledger::makeAdopting(instant now, const grant_ledger_settings &settings, std::set<grant_holder> expected)
{
    grant_ledger ledger(settings);
    ledger.m_expected = std::move(expected);
    ledger.m_rebuildUntil = now + settings.lifetime;
    return ledger;
}

grant_answer grant_ledger::request(instant now, const grant_request &request)
{
    forgetClosed(now);
    finishRebuild();
    if (const auto known = m_grants.find(request.id); known != m_grants.end()) {
        if (known->second.cancelling) {
            return grant_refused{grant_refusal::Closed, {}};
        }
        return grant_given{known->second.expiry};
    }
    if (const auto why = refusal(request)) {
        return grant_refused{*why, estimateWait(now, request)};
    }
    insert(now, request);
    check();
    return grant_given{now + m_settings.lifetime};
}

std::optional<grant_refusal> grant_ledger::refusal(const grant_request &request) const
{
    if (isClosed(request.id)) {
        return grant_refusal::Closed;
    }
    if (!m_accepting || m_handedOver) {
        return grant_refusal::NotAccepting;
    }
    if (request.pieces > m_settings.pieces) {
        return grant_refusal::TooLarge;
    }
    if (rebuilding()) {
        return grant_refusal::Rebuilding;
    }
    const std::uint32_t keptBack = request.priority == priority_class::Batch ? m_settings.interactiveSlots : 0;
    if (freeSlots() <= keptBack) {
        return grant_refusal::NoSlot;
    }
    if (freePieces() < request.pieces) {
        return grant_refusal::NoMemory;
    }
    return std::nullopt;
}

duration grant_ledger::estimateWait(instant now, const grant_request &request) const
{
    const auto why = refusal(request);
    if (why == grant_refusal::Closed || why == grant_refusal::TooLarge || why == grant_refusal::NotAccepting) {
        return {};
    }
    if (why == grant_refusal::Rebuilding) {
        return std::clamp<duration>(*m_rebuildUntil - now, kShortestWait, kLongestWait);
    }
    std::vector<std::pair<instant, std::uint32_t>> ends;
    for (const auto &[id, held] : m_grants) {
        ends.emplace_back(held.expectedEnd, held.request.pieces);
    }
    std::sort(ends.begin(), ends.end());
    const std::uint32_t keptBack = request.priority == priority_class::Batch ? m_settings.interactiveSlots : 0;
    std::uint32_t slots = freeSlots();
    std::uint32_t pieces = freePieces();
    for (const auto &[end, freed] : ends) {
        slots += 1;
        pieces += freed;
        if (slots > keptBack && pieces >= request.pieces) {
            return std::clamp<duration>(end - now, kShortestWait, kLongestWait);
        }
    }
    return std::clamp<duration>(m_settings.orphanGrace, kShortestWait, kLongestWait);
}

std::optional<instant> grant_ledger::renew(instant now, const grant_id &id)
{
    const auto found = m_grants.find(id);
    if (found == m_grants.end() || found->second.cancelling || found->second.expiry <= now) {
        return std::nullopt;
    }
    found->second.expiry = now + m_settings.lifetime;
    return found->second.expiry;
}

void grant_ledger::release(instant now, const grant_id &id)
{
    forgetClosed(now);
    rememberClosed(now, id);
    if (const auto found = m_grants.find(id); found != m_grants.end()) {
        erase(found);
    }
    check();
}

std::vector<grant_id> grant_ledger::expire(instant now)
{
    forgetClosed(now);
    finishRebuild();
    std::vector<grant_id> ended;
    for (auto &[id, held] : m_grants) {
        if (!held.cancelling && held.expiry <= now) {
            held.cancelling = true;
            held.closedAt = now;
            ended.push_back(id);
        }
    }
    check();
    return ended;
}

std::vector<grant_id> grant_ledger::cancelHolder(instant now, const grant_holder &holder)
{
    rememberDead(holder);
    m_expected.erase(holder);
    std::vector<grant_id> ended;
    for (auto &[id, held] : m_grants) {
        if (id.holder == holder && !held.cancelling) {
            held.cancelling = true;
            held.closedAt = now;
            ended.push_back(id);
        }
    }
    finishRebuild();
    check();
    return ended;
}

void grant_ledger::confirmCancelled(instant now, const grant_id &id)
{
    const auto found = m_grants.find(id);
    if (found != m_grants.end() && found->second.cancelling) {
        rememberClosed(now, id);
        erase(found);
    }
    dropOrphan(id);
    check();
}

std::vector<grant_id> grant_ledger::unconfirmedCancels() const
{
    std::vector<grant_id> ids;
    for (const auto &[id, held] : m_grants) {
        if (held.cancelling) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool grant_ledger::announce(instant now, const grant_request &request)
{
    forgetClosed(now);
    if (const auto known = m_grants.find(request.id); known != m_grants.end()) {
        return !known->second.cancelling;
    }
    if (isClosed(request.id) || m_handedOver) {
        return false;
    }
    if (m_slotsGranted + 1 > m_settings.slots || m_piecesGranted + request.pieces > m_settings.pieces) {
        m_overCommits += 1;
    }
    m_slotCeiling = std::max(m_slotCeiling, m_slotsGranted + 1);
    m_pieceCeiling = std::max(m_pieceCeiling, m_piecesGranted + request.pieces);
    insert(now, request);
    check();
    return true;
}

void grant_ledger::announceDone(const grant_holder &holder)
{
    m_expected.erase(holder);
    finishRebuild();
    check();
}

std::vector<grant_id> grant_ledger::reconcile(instant now, instant listedAt, const std::vector<engine_holding> &holdings)
{
    std::map<grant_id, orphan> orphans;
    std::set<grant_id> listed;
    std::vector<grant_id> overdue;
    for (const engine_holding &holding : holdings) {
        if (!listed.insert(holding.id).second || m_grants.contains(holding.id)) {
            continue;
        }
        const auto closed = m_closed.find(holding.id);
        if (closed != m_closed.end() && closed->second >= listedAt) {
            continue;
        }
        const auto seen = m_orphans.find(holding.id);
        const instant firstSeen = seen == m_orphans.end() ? now : seen->second.firstSeen;
        orphans.emplace(holding.id, orphan{holding.pieces, firstSeen});
        if (now - firstSeen >= m_settings.orphanGrace) {
            overdue.push_back(holding.id);
        }
    }
    m_orphans = std::move(orphans);
    m_slotsOrphaned = 0;
    m_piecesOrphaned = 0;
    for (const auto &[id, lost] : m_orphans) {
        m_slotsOrphaned += 1;
        m_piecesOrphaned += lost.pieces;
    }
    for (auto each = m_grants.begin(); each != m_grants.end();) {
        const auto next = std::next(each);
        if (each->second.cancelling && each->second.closedAt < listedAt && !listed.contains(each->first)) {
            rememberClosed(now, each->first);
            erase(each);
        }
        each = next;
    }
    m_listedAt = std::max(m_listedAt.value_or(listedAt), listedAt);
    finishRebuild();
    check();
    return overdue;
}

std::vector<grant_id> grant_ledger::engineRestarted(instant now)
{
    std::vector<grant_id> lost;
    while (!m_grants.empty()) {
        const auto first = m_grants.begin();
        if (!first->second.cancelling) {
            lost.push_back(first->first);
        }
        rememberClosed(now, first->first);
        erase(first);
    }
    m_orphans.clear();
    m_slotsOrphaned = 0;
    m_piecesOrphaned = 0;
    check();
    return lost;
}

void grant_ledger::setCapacity(std::uint32_t slots, std::uint32_t pieces)
{
    m_settings.slots = slots;
    m_settings.pieces = pieces;
    settleCeiling();
    check();
}

void grant_ledger::setAccepting(bool accepting)
{
    m_accepting = accepting;
}

std::vector<grant_request> grant_ledger::handOver()
{
    m_handedOver = true;
    std::vector<grant_request> live;
    for (const auto &[id, held] : m_grants) {
        if (!held.cancelling) {
            live.push_back(held.request);
        }
    }
    return live;
}

grant_ledger_totals grant_ledger::totals() const
{
    grant_ledger_totals totals;
    totals.slotsGranted = m_slotsGranted;
    totals.piecesGranted = m_piecesGranted;
    totals.slotsOrphaned = m_slotsOrphaned;
    totals.piecesOrphaned = m_piecesOrphaned;
    totals.rebuilding = rebuilding();
    const bool open = m_accepting && !m_handedOver && !totals.rebuilding;
    totals.slotsFree = open ? freeSlots() : 0;
    totals.piecesFree = open ? freePieces() : 0;
    totals.cancelling = static_cast<std::uint32_t>(std::count_if(m_grants.begin(), m_grants.end(), [](const auto &each) { return each.second.cancelling; }));
    totals.slotsOverCommitted = lessOrZero(m_slotsGranted, m_settings.slots);
    totals.piecesOverCommitted = lessOrZero(m_piecesGranted, m_settings.pieces);
    totals.overCommits = m_overCommits;
    return totals;
}

bool grant_ledger::rebuilding() const noexcept
{
    return m_rebuildUntil.has_value();
}

std::optional<instant> grant_ledger::nextExpiry() const
{
    std::optional<instant> next = m_rebuildUntil;
    for (const auto &[id, held] : m_grants) {
        if (!held.cancelling && (!next || held.expiry < *next)) {
            next = held.expiry;
        }
    }
    return next;
}

void grant_ledger::dropOrphan(const grant_id &id)
{
    const auto found = m_orphans.find(id);
    if (found == m_orphans.end()) {
        return;
    }
    m_slotsOrphaned -= 1;
    m_piecesOrphaned -= found->second.pieces;
    m_orphans.erase(found);
}

void grant_ledger::insert(instant now, const grant_request &request)
{
    dropOrphan(request.id);
    m_grants.emplace(request.id, grant{request, now + m_settings.lifetime, now + request.expectedLifetime, {}, false});
    m_slotsGranted += 1;
    m_piecesGranted += request.pieces;
}

void grant_ledger::erase(std::map<grant_id, grant>::iterator position)
{
    m_slotsGranted -= 1;
    m_piecesGranted -= position->second.request.pieces;
    m_grants.erase(position);
    settleCeiling();
}

void grant_ledger::rememberClosed(instant now, const grant_id &id)
{
    if (!m_closed.try_emplace(id, now).second) {
        return;
    }
    m_closedOrder.push_back(id);
    while (m_closedOrder.size() > m_settings.closedLimit) {
        m_closed.erase(m_closedOrder.front());
        m_closedOrder.pop_front();
    }
}

void grant_ledger::forgetClosed(instant now)
{
    while (!m_closedOrder.empty() && m_closed.at(m_closedOrder.front()) + m_settings.closedMemory <= now) {
        m_closed.erase(m_closedOrder.front());
        m_closedOrder.pop_front();
    }
}

bool grant_ledger::isClosed(const grant_id &id) const
{
    return m_dead.contains(id.holder) || m_closed.contains(id);
}

void grant_ledger::rememberDead(const grant_holder &holder)
{
    if (!m_dead.insert(holder).second) {
        return;
    }
    m_deadOrder.push_back(holder);
    if (m_deadOrder.size() > m_settings.deadHolderLimit) {
        m_dead.erase(m_deadOrder.front());
        m_deadOrder.pop_front();
    }
}

void grant_ledger::finishRebuild()
{
    if (!m_rebuildUntil) {
        return;
    }
    const bool allHeard = m_listedAt && m_expected.empty();
    const bool allExpired = m_listedAt && *m_listedAt >= *m_rebuildUntil;
    if (allHeard || allExpired) {
        m_rebuildUntil.reset();
        m_expected.clear();
    }
}

std::uint32_t grant_ledger::freeSlots() const
{
    return lessOrZero(m_settings.slots, m_slotsGranted + m_slotsOrphaned);
}

std::uint32_t grant_ledger::freePieces() const
{
    return lessOrZero(m_settings.pieces, m_piecesGranted + m_piecesOrphaned);
}

void grant_ledger::settleCeiling()
{
    m_slotCeiling = std::max(m_settings.slots, m_slotsGranted);
    m_pieceCeiling = std::max(m_settings.pieces, m_piecesGranted);
}

void grant_ledger::check() const
{
    std::uint32_t slots = 0;
    std::uint32_t pieces = 0;
    for (const auto &[id, held] : m_grants) {
        slots += 1;
        pieces += held.request.pieces;
    }
    HR_INVARIANT("engine memory is accounted for exactly", slots == m_slotsGranted);
    HR_INVARIANT("engine memory is accounted for exactly", pieces == m_piecesGranted);
    HR_INVARIANT("no over-commit with a stable owner", m_slotsGranted <= m_slotCeiling);
    HR_INVARIANT("no over-commit with a stable owner", m_piecesGranted <= m_pieceCeiling);
    HR_INVARIANT("bounded memory", m_closed.size() <= m_settings.closedLimit && m_closed.size() == m_closedOrder.size());
}

} // namespace heatherroute
