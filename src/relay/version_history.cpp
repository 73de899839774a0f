#include "relay/version_history.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

namespace
{

std::uint32_t millisecondsOf(duration time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

version_history version_history::make(const version_history_settings &settings)
{
    return version_history(settings);
}

version_history::version_history(const version_history_settings &settings)
    : m_settings(settings)
{ }

void version_history::noteCurrent(instant now, duration age)
{
    const instant at = now - age;
    if (!m_currentAt || at - *m_currentAt > m_settings.maxListAge) {
        m_currentSince = at;
    }
    m_currentAt = std::max(m_currentAt.value_or(at), at);
}

void version_history::note(instant now, const std::string &service, const std::string &version)
{
    auto &versions = m_lastSeen[service];
    versions[version] = now;
    std::erase_if(versions, [&](const auto &known) { return now - known.second > m_settings.retention; });
}

void version_history::noteRegistered(instant now, const registration &run)
{
    served_version &known = m_registered[run.id];
    const served_version before = std::exchange(known, {run.service, run.softwareVersion});
    if (before != known) {
        count(known);
    }
    if (before != known && before != served_version{}) {
        discount(before);
        note(now, before.service, before.version);
    }
    note(now, run.service, run.softwareVersion);
}

void version_history::noteRemoved(instant now, const registration &run)
{
    noteRegistered(now, run);
    discount(m_registered.at(run.id));
    m_registered.erase(run.id);
}

void version_history::count(const served_version &served)
{
    ++m_registeredCounts[served];
}

void version_history::discount(const served_version &served)
{
    const auto found = m_registeredCounts.find(served);
    if (found != m_registeredCounts.end() && --found->second == 0) {
        m_registeredCounts.erase(found);
    }
}

void version_history::noteRead(instant begunAt, std::optional<registrations_position> position)
{
    m_readBegunAt = std::max(m_readBegunAt.value_or(begunAt), begunAt);
    m_position = position;
}

bool version_history::hasSeveral(instant now, const std::string &service, duration window) const
{
    std::set<std::string> versions;
    if (const auto known = m_lastSeen.find(service); known != m_lastSeen.end()) {
        for (const auto &[version, at] : known->second) {
            if (now - at <= window) {
                versions.insert(version);
            }
        }
    }
    for (const auto &[served, upstreams] : m_registeredCounts) {
        if (served.service == service) {
            versions.insert(served.version);
        }
    }
    return versions.size() > 1;
}

std::optional<version_summary> version_history::summary(instant now) const
{
    const duration current = currentTime(now);
    if (current == duration::zero() || !m_position || now - *m_readBegunAt > m_settings.maxListAge) {
        return std::nullopt;
    }
    std::map<served_version, duration> ages;
    for (const auto &[service, versions] : m_lastSeen) {
        for (const auto &[version, at] : versions) {
            if (now - at <= m_settings.retention) {
                ages[{service, version}] = now - at;
            }
        }
    }
    for (const auto &[id, served] : m_registered) {
        ages[served] = duration::zero();
    }
    if (ages.size() > kMaxSummaryVersions) {
        return std::nullopt;
    }
    version_summary summary;
    summary.position = *m_position;
    summary.currentMs = millisecondsOf(std::min(current, m_settings.retention));
    for (const auto &[served, age] : ages) {
        summary.versions.push_back({served.service, served.version, millisecondsOf(age)});
    }
    return summary;
}

bool version_history::noteSummary(
    instant now, const version_summary &summary, instant writtenBefore, instant readBegunAt, const std::vector<seen_version> &later)
{
    if (currentTime(now) == duration::zero() || readBegunAt < m_currentSince) {
        return false;
    }
    const auto noteAt = [this](const seen_version &seen, instant at) {
        instant &lastSeen = m_lastSeen[seen.service].try_emplace(seen.version, at).first->second;
        lastSeen = std::max(lastSeen, at);
    };
    for (const seen_version &seen : summary.versions) {
        noteAt(seen, writtenBefore - std::chrono::milliseconds(seen.ageMs));
    }
    for (const seen_version &seen : later) {
        noteAt(seen, now);
    }
    m_currentSince = std::min(m_currentSince, writtenBefore - std::chrono::milliseconds(summary.currentMs));
    return true;
}

duration version_history::currentTime(instant now) const
{
    const bool isCurrent = m_currentAt && now - *m_currentAt <= m_settings.maxListAge;
    return isCurrent ? now - m_currentSince : duration::zero();
}

std::optional<std::string>
version_history::onlyVersion(instant now, instant askedAt, const std::string &service, const std::set<std::string> &present, duration window) const
{
    const bool isRead = m_readBegunAt && *m_readBegunAt >= askedAt;
    const duration current = currentTime(now);
    if (!isRead || current == duration::zero() || current < window || window > m_settings.retention) {
        return std::nullopt;
    }
    std::set<std::string> versions = present;
    if (const auto known = m_lastSeen.find(service); known != m_lastSeen.end()) {
        for (const auto &[version, at] : known->second) {
            if (now - at <= window) {
                versions.insert(version);
            }
        }
    }
    const bool isOnly = versions.size() == 1 && !versions.begin()->empty();
    return isOnly ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace heatherroute
