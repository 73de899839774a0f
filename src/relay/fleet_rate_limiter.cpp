#include "relay/fleet_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace heatherroute
{

namespace
{

std::uint32_t millisecondsBetween(instant from, instant to)
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(passed, 0, UINT32_MAX));
}

duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

const char *toString(limit_change change) noexcept
{
    switch (change) {
    case limit_change::None:
        return "none";
    case limit_change::Begun:
        return "begun";
    case limit_change::Changed:
        return "changed";
    case limit_change::Ended:
        return "ended";
    }
    return "unknown";
}

fleet_rate_limiter fleet_rate_limiter::make(instant now, const rate_limiter_settings &settings, const std::string &self, std::uint64_t seed)
{
    return fleet_rate_limiter(now, settings, self, seed);
}

fleet_rate_limiter::fleet_rate_limiter(instant now, const rate_limiter_settings &settings, const std::string &self, std::uint64_t seed)
    : m_settings(settings)
    , m_self{self, 0}
    , m_random(seed)
    , m_startedAt(now)
{
    m_ownership.setMember(m_self, member_state::Alive);
}

limit_change fleet_rate_limiter::noteAnswer(instant now, const upstream_instance &instance, instant sentAt, std::optional<double> perSecond)
{
    const limit_change change = apply(now, instance, sentAt, perSecond);
    if (change != limit_change::None) {
        limited_upstream &upstream = m_upstreams.at(instance.id);
        upstream.reportsLeft = m_settings.reportsPerChange;
    }
    return change;
}

limit_change fleet_rate_limiter::apply(instant now, const upstream_instance &instance, instant observedAt, std::optional<double> perSecond)
{
    if (perSecond) {
        if (!std::isfinite(*perSecond)) {
            return limit_change::None;
        }
        perSecond = std::clamp(*perSecond, m_settings.minPerSecond, m_settings.maxPerSecond);
    }
    auto found = m_upstreams.find(instance.id);
    if (found != m_upstreams.end() && found->second.instance.startedAt < instance.startedAt) {
        remove(instance.id);
        found = m_upstreams.end();
    }
    if (found == m_upstreams.end()) {
        if (!perSecond) {
            return limit_change::None;
        }
        limited_upstream upstream;
        upstream.instance = instance;
        upstream.perSecond = perSecond;
        upstream.observedAt = observedAt;
        upstream.refilledAt = now;
        upstream.issuesFrom = m_startedAt + m_settings.takeoverDelay;
        m_upstreams.emplace(instance.id, upstream);
        m_ownership.addUpstream(instance.id);
        return limit_change::Begun;
    }
    limited_upstream &upstream = found->second;
    if (upstream.instance != instance || observedAt <= upstream.observedAt) {
        return limit_change::None;
    }
    upstream.observedAt = observedAt;
    if (upstream.perSecond == perSecond) {
        return limit_change::None;
    }
    const bool wasLimited = upstream.perSecond.has_value();
    upstream.perSecond = perSecond;
    upstream.nextOwnPermit = {}; // It was drawn at the limit before.
    if (!wasLimited) {
        upstream.tokens = 0;
        upstream.refilledAt = now;
    }
    return !perSecond ? limit_change::Ended : (wasLimited ? limit_change::Changed : limit_change::Begun);
}

limit_change fleet_rate_limiter::onReport(instant now, const limit_report &report)
{
    const instant observedAt = now - std::chrono::milliseconds(report.ageMs);
    const auto found = m_upstreams.find(report.instance.id);
    const bool isKnown = found != m_upstreams.end() && found->second.instance == report.instance;
    const bool contradicts = isKnown && observedAt < found->second.observedAt && found->second.perSecond.has_value() != report.isLimited;
    if (contradicts && found->second.reportsLeft == 0) {
        found->second.reportsLeft = 1;
    }
    return apply(now, report.instance, observedAt, report.isLimited ? std::optional(report.perSecond) : std::nullopt);
}

void fleet_rate_limiter::noteInstance(const upstream_instance &instance)
{
    const auto found = m_upstreams.find(instance.id);
    if (found != m_upstreams.end() && found->second.instance.startedAt < instance.startedAt) {
        remove(instance.id);
    } else if (found != m_upstreams.end()) {
        found->second.removedAt.reset();
    }
}

void fleet_rate_limiter::noteRemoved(instant now, const std::string &id)
{
    if (const auto found = m_upstreams.find(id); found != m_upstreams.end()) {
        found->second.removedAt = now;
    }
}

void fleet_rate_limiter::remove(const std::string &id)
{
    m_upstreams.erase(id);
    m_ownership.removeUpstream(id);
}

void fleet_rate_limiter::setMembers(instant now, const std::vector<member> &others)
{
    std::map<member_id, known_member> current;
    std::set<std::string> names;
    for (const member &other : others) {
        current.emplace(other.id, known_member{other.peerAddress, other.state});
        names.insert(other.id.name);
        m_lost.erase(other.id.name);
    }
    std::vector<owner_change> changes;
    const auto note = [&changes](std::vector<owner_change> more) { changes.insert(changes.end(), more.begin(), more.end()); };
    for (const auto &[id, known] : m_members) {
        if (current.contains(id)) {
            continue;
        }
        note(m_ownership.setMember(id, member_state::Dead));
        if (known.state != member_state::Leaving && !names.contains(id.name)) {
            m_lost[id.name] = now + m_settings.lostRetention;
        }
    }
    for (const auto &[id, known] : current) {
        note(m_ownership.setMember(id, known.state));
    }
    m_members = std::move(current);
    onOwnerChanges(now, changes);
}

void fleet_rate_limiter::onOwnerChanges(instant now, const std::vector<owner_change> &changes)
{
    for (const owner_change &change : changes) {
        const auto found = m_upstreams.find(change.upstream);
        if (found != m_upstreams.end() && isCoordinator(change.upstream)) {
            found->second.tokens = 0;
            found->second.issuesFrom = now + m_settings.takeoverDelay;
            found->second.refilledAt = found->second.issuesFrom;
        }
    }
}

void fleet_rate_limiter::stop()
{
    m_ownership.setMember(m_self, member_state::Leaving);
}

bool fleet_rate_limiter::isCoordinator(const std::string &id) const
{
    return m_ownership.ownerOf(id) == m_self;
}

std::string fleet_rate_limiter::coordinatorOf(const std::string &id) const
{
    const auto owner = m_ownership.ownerOf(id);
    return owner ? owner->name : std::string();
}

std::string fleet_rate_limiter::limitText(const std::string &id) const
{
    const auto found = m_upstreams.find(id);
    return found != m_upstreams.end() && found->second.perSecond ? std::to_string(*found->second.perSecond) : "none";
}

std::size_t fleet_rate_limiter::fleetSize() const
{
    return 1 + m_members.size() + m_lost.size();
}

double fleet_rate_limiter::ownShareOfFleet() const
{
    return static_cast<double>(1 + m_members.size()) / static_cast<double>(fleetSize());
}

const fleet_rate_limiter::limited_upstream *fleet_rate_limiter::findLimited(const upstream_instance &instance) const
{
    const auto found = m_upstreams.find(instance.id);
    const bool isLimited = found != m_upstreams.end() && found->second.instance == instance && found->second.perSecond;
    return isLimited ? &found->second : nullptr;
}

fleet_rate_limiter::limited_upstream *fleet_rate_limiter::findLimited(const upstream_instance &instance)
{
    return const_cast<limited_upstream *>(std::as_const(*this).findLimited(instance));
}

std::optional<double> fleet_rate_limiter::limitOf(const upstream_instance &instance) const
{
    const limited_upstream *upstream = findLimited(instance);
    return upstream != nullptr ? upstream->perSecond : std::nullopt;
}

duration fleet_rate_limiter::waitFor(instant now, const upstream_instance &instance) const
{
    const limited_upstream *upstream = findLimited(instance);
    if (upstream == nullptr || (upstream->spare > 0 && upstream->spareUntil > now)) {
        return duration::zero();
    }
    return std::max(upstream->refusedUntil - now, duration::zero());
}

limit_report fleet_rate_limiter::reportOf(instant now, const limited_upstream &upstream)
{
    return {upstream.instance, upstream.perSecond.has_value(), upstream.perSecond.value_or(0), millisecondsBetween(upstream.observedAt, now)};
}

limit_report fleet_rate_limiter::reportOf(instant now, const upstream_instance &instance) const
{
    const auto found = m_upstreams.find(instance.id);
    return found != m_upstreams.end() ? reportOf(now, found->second) : limit_report{instance, false, 0, UINT32_MAX};
}

permit_decision fleet_rate_limiter::acquire(instant now, const upstream_instance &instance, std::uint32_t permits)
{
    limited_upstream *upstream = findLimited(instance);
    if (upstream == nullptr) {
        return {};
    }
    if (upstream->spareUntil <= now) {
        upstream->spare = 0;
    }
    if (upstream->spare >= permits) {
        upstream->spare -= permits;
        return {};
    }
    permit_decision decision;
    decision.outcome = permit_outcome::Refused;
    if (upstream->refusedUntil > now) {
        return decision;
    }
    const auto owner = m_ownership.ownerOf(instance.id);
    if (owner == m_self) {
        duration wait{};
        if (tryIssue(now, *upstream, permits, &wait)) {
            return {};
        }
        refuse(now, *upstream, wait);
        return decision;
    }
    const auto coordinator = owner ? m_members.find(*owner) : m_members.end();
    const auto unreachable = owner ? m_unreachableUntil.find(owner->name) : m_unreachableUntil.end();
    if (coordinator == m_members.end() || (unreachable != m_unreachableUntil.end() && unreachable->second > now)) {
        decision.outcome = tryUnreachable(now, *upstream, permits) ? permit_outcome::Granted : permit_outcome::Refused;
        return decision;
    }
    decision.outcome = permit_outcome::Ask;
    decision.coordinator = coordinator->second.peerAddress;
    decision.request = {++m_lastNumber, permits, reportOf(now, *upstream)};
    m_pending.emplace(m_lastNumber, pending_request{instance, permits, owner->name});
    return decision;
}

void fleet_rate_limiter::giveBack(instant now, const upstream_instance &instance, std::uint32_t permits)
{
    if (limited_upstream *upstream = findLimited(instance)) {
        upstream->spare = (upstream->spareUntil > now ? upstream->spare : 0) + permits;
        upstream->spareUntil = now + m_settings.permitLifetime;
    }
}

bool fleet_rate_limiter::onNoReply(instant now, std::uint32_t number)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return false;
    }
    const pending_request request = found->second;
    m_pending.erase(found);
    m_late.emplace(number, now);
    instant &unreachableUntil = m_unreachableUntil[request.coordinator];
    limited_upstream *upstream = findLimited(request.instance);
    if (unreachableUntil <= now) {
        unreachableUntil = now + m_settings.unreachableTime;
    }
    return upstream == nullptr || tryUnreachable(now, *upstream, request.permits);
}

std::optional<permit_result> fleet_rate_limiter::onReply(instant now, const permit_reply &reply)
{
    onReport(now, reply.limit);
    const auto found = m_pending.find(reply.number);
    if (found == m_pending.end()) {
        // A repeated reply brings no second permit.
        if (m_late.erase(reply.number) > 0) {
            giveBack(now, reply.limit.instance, reply.granted);
        }
        return std::nullopt;
    }
    const pending_request request = found->second;
    m_pending.erase(found);
    m_unreachableUntil.erase(request.coordinator);
    limited_upstream *upstream = findLimited(request.instance);
    if (upstream == nullptr || reply.granted >= request.permits) {
        return permit_result{reply.number, true};
    }
    refuse(now, *upstream, std::chrono::milliseconds(reply.waitMs));
    return permit_result{reply.number, false};
}

permit_reply fleet_rate_limiter::onRequest(instant now, const permit_request &request)
{
    onReport(now, request.limit);
    permit_reply reply;
    reply.number = request.number;
    limited_upstream *upstream = findLimited(request.limit.instance);
    duration wait = m_settings.minWait;
    const bool isGranted = upstream == nullptr || (isCoordinator(request.limit.instance.id) && tryIssue(now, *upstream, request.permits, &wait));
    reply.granted = isGranted ? request.permits : 0;
    reply.waitMs = millisecondsBetween(now, now + wait);
    reply.limit = reportOf(now, request.limit.instance);
    return reply;
}

/// Issues permits from the token bucket. If there are too few, sets @p wait to the time after which an entry should ask again.
bool fleet_rate_limiter::tryIssue(instant now, limited_upstream &upstream, std::uint32_t permits, duration *wait)
{
    const double rate = *upstream.perSecond * ownShareOfFleet();
    const double capacity = std::max<double>(m_settings.burstPermits + rate * toSeconds(m_settings.burstTime), permits);
    if (now > upstream.refilledAt) {
        upstream.tokens = std::min(capacity, upstream.tokens + rate * toSeconds(now - upstream.refilledAt));
        upstream.refilledAt = now;
    }
    if (now >= upstream.issuesFrom && upstream.tokens >= permits) {
        upstream.tokens -= permits;
        return true;
    }
    const duration untilEnough = secondsToDuration(std::max(0.0, permits - upstream.tokens) / rate);
    upstream.nextSlot = std::max(upstream.nextSlot, now) + std::min(secondsToDuration(permits / (rate * m_settings.requestsPerPermit)), m_settings.maxWait);
    upstream.nextSlot = std::min(upstream.nextSlot, now + m_settings.maxWait);
    *wait = std::clamp(std::max({untilEnough, upstream.issuesFrom - now, upstream.nextSlot - now}), m_settings.minWait, m_settings.maxWait);
    return false;
}

/// Decides without the coordinator. The intervals are random, so that the first permit of many entries isn't due at the same time.
bool fleet_rate_limiter::tryUnreachable(instant now, limited_upstream &upstream, std::uint32_t permits)
{
    // An interval that ended long ago was drawn while the coordinator could be reached.
    if (upstream.nextOwnPermit + m_settings.ownPermitLifetime < now) {
        upstream.nextOwnPermit = now + drawOwnInterval(upstream, permits);
    }
    if (now >= upstream.nextOwnPermit) {
        upstream.nextOwnPermit = now + drawOwnInterval(upstream, permits);
        return true;
    }
    refuse(now, upstream, upstream.nextOwnPermit - now);
    return false;
}

duration fleet_rate_limiter::drawOwnInterval(const limited_upstream &upstream, std::uint32_t permits)
{
    const double rate = *upstream.perSecond * m_settings.unreachableShare / static_cast<double>(fleetSize());
    constexpr double kMaxSeconds = 3600.0;
    return secondsToDuration(std::min(kMaxSeconds, permits * std::exponential_distribution<double>(rate)(m_random)));
}

void fleet_rate_limiter::refuse(instant now, limited_upstream &upstream, duration wait)
{
    wait = std::clamp(wait, m_settings.minWait, m_settings.maxWait);
    // Entries that are refused at the same moment shouldn't ask again at the same moment.
    const double factor = std::uniform_real_distribution<double>(1.0, 1.5)(m_random);
    upstream.refusedUntil = now + secondsToDuration(factor * toSeconds(wait));
}

duration fleet_rate_limiter::nextReturn(instant now, const std::string &service, double perSecond)
{
    const duration interval = secondsToDuration(static_cast<double>(fleetSize()) / std::max(perSecond, m_settings.minPerSecond));
    const auto first = m_nextReturn.find(service) == m_nextReturn.end();
    instant &next = m_nextReturn[service];
    if (first || next < now) {
        // The entries begin at different points of the interval.
        next = now + secondsToDuration(toSeconds(interval) * std::uniform_real_distribution<double>(0.0, 1.0)(m_random));
    } else {
        next += interval;
    }
    return next - now;
}

std::vector<limit_reports> fleet_rate_limiter::dueReports(instant now)
{
    std::vector<limit_report> due;
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.nextReport > now) {
            continue;
        }
        if (upstream.reportsLeft > 0) {
            upstream.reportsLeft -= 1;
            upstream.nextReport = now + m_settings.reportInterval;
            due.push_back(reportOf(now, upstream));
        } else if (upstream.perSecond && isCoordinator(id) && now - upstream.nextReport >= m_settings.refreshInterval) {
            upstream.nextReport = now;
            due.push_back(reportOf(now, upstream));
        }
    }
    std::vector<std::string> ended;
    for (const auto &[id, upstream] : m_upstreams) {
        const bool hasEnded = !upstream.perSecond && upstream.reportsLeft == 0 && now - upstream.observedAt > m_settings.endedRetention;
        const bool isGone = upstream.removedAt && now - *upstream.removedAt > m_settings.removedRetention;
        if (hasEnded || isGone) {
            ended.push_back(id);
        }
    }
    for (const std::string &id : ended) {
        remove(id);
    }
    std::erase_if(m_lost, [now](const auto &lost) { return lost.second <= now; });
    std::erase_if(m_late, [&](const auto &late) { return now - late.second > m_settings.maxReplyDelay; });
    std::erase_if(m_unreachableUntil, [now](const auto &unreachable) { return unreachable.second <= now; });
    return makeMessages(due);
}

std::vector<limit_reports> fleet_rate_limiter::introduction(instant now) const
{
    std::vector<limit_report> known;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.perSecond) {
            known.push_back(reportOf(now, upstream));
        }
    }
    return makeMessages(known);
}

std::vector<limit_reports> fleet_rate_limiter::makeMessages(const std::vector<limit_report> &reports) const
{
    std::vector<limit_reports> messages;
    for (const limit_report &report : reports) {
        if (messages.empty() || messages.back().reports.size() == kMaxLimitReportsPerMessage) {
            messages.emplace_back();
        }
        messages.back().reports.push_back(report);
    }
    return messages;
}

} // namespace heatherroute
