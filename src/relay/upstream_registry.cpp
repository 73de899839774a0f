#include "relay/upstream_registry.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

const char *toString(upstream_change change) noexcept
{
    switch (change) {
    case upstream_change::Added:
        return "added";
    case upstream_change::AddedDraining:
        return "added_draining";
    case upstream_change::Restarted:
        return "restarted";
    case upstream_change::Draining:
        return "draining";
    case upstream_change::Ready:
        return "ready";
    case upstream_change::Phase:
        return "phase";
    case upstream_change::Moved:
        return "moved";
    case upstream_change::Removed:
        return "removed";
    case upstream_change::Lapsed:
        return "lapsed";
    case upstream_change::Displaced:
        return "displaced";
    case upstream_change::Leaving:
        return "leaving";
    case upstream_change::Moving:
        return "moving";
    case upstream_change::Stays:
        return "stays";
    }
    return "unknown";
}

bool isSeenInStore(upstream_change change) noexcept
{
    return change <= upstream_change::Removed;
}

upstream_registry upstream_registry::make(const registry_settings &settings, change_hook onChange)
{
    return upstream_registry(settings, std::move(onChange));
}

upstream_registry::upstream_registry(const registry_settings &settings, change_hook onChange)
    : m_settings(settings)
    , m_onChange(std::move(onChange))
{ }

bool upstream_registry::isStale(const registration &report) const
{
    const auto known = m_runs.find(report.id);
    if (known != m_runs.end()) {
        const registration &run = known->second.run;
        return report.startedAt < run.startedAt || (report.startedAt == run.startedAt && report.sequence < run.sequence);
    }
    const auto removed = m_removed.find(report.id);
    if (removed == m_removed.end()) {
        return false;
    }
    // The last report of a removed instance may arrive again, so an equal sequence number is stale here.
    const removed_run &run = removed->second;
    return report.startedAt < run.startedAt || (report.startedAt == run.startedAt && report.sequence <= run.sequence);
}

void upstream_registry::onReport(const registration &report)
{
    if (isStale(report)) {
        return;
    }
    const auto removed = m_removed.find(report.id);
    const bool isLeaving = removed != m_removed.end() && removed->second.leaving && removed->second.startedAt == report.startedAt;
    m_removed.erase(report.id);
    const auto known = m_runs.find(report.id);
    if (known == m_runs.end()) {
        m_runs.emplace(report.id, known_run{report, std::nullopt, false, isLeaving, std::nullopt});
        m_onChange(report, report.draining ? upstream_change::AddedDraining : upstream_change::Added);
        return;
    }
    known_run &entry = known->second;
    const registration before = std::exchange(entry.run, report);
    if (report.startedAt == before.startedAt && report.softwareVersion.empty()) {
        // Entries of earlier builds don't send it.
        entry.run.softwareVersion = before.softwareVersion;
    }
    entry.removeAt.reset();
    // The store may show late that it leaves, and reports that were sent before arrive meanwhile.
    entry.leaving = entry.leaving && report.startedAt == before.startedAt;
    if (entry.moving && (report.startedAt != before.startedAt || report.phase == entry.moving->to)) {
        entry.moving.reset();
    }
    if (report.startedAt != before.startedAt) {
        entry.displaced = false;
        m_onChange(report, upstream_change::Restarted);
    } else if (report.draining != before.draining) {
        m_onChange(report, report.draining ? upstream_change::Draining : upstream_change::Ready);
    } else if (report.phase != before.phase) {
        m_onChange(report, upstream_change::Phase);
    } else if (report.address != before.address || report.service != before.service) {
        m_onChange(report, upstream_change::Moved);
    }
}

void upstream_registry::onRemoved(instant now, const std::string &id)
{
    const auto known = m_runs.find(id);
    if (known == m_runs.end()) {
        return;
    }
    if (isAuthoritative(now)) {
        remove(now, id);
    } else if (!known->second.removeAt) {
        known->second.removeAt = m_storeLostAt ? now + m_settings.lapseGrace : m_graceUntil;
        m_onChange(known->second.run, upstream_change::Lapsed);
    }
}

void upstream_registry::onRemovalReceived(instant now, const registration &report)
{
    const auto known = m_runs.find(report.id);
    // The last report that the sender has read may be older than one that this entry has read itself.
    if (known != m_runs.end() && known->second.run.startedAt <= report.startedAt) {
        registration &run = known->second.run;
        run.sequence = run.startedAt < report.startedAt ? report.sequence : std::max(run.sequence, report.sequence);
        run.startedAt = report.startedAt;
        remove(now, report.id);
    }
}

void upstream_registry::onSnapshot(instant now, const std::set<std::string> &ids)
{
    std::vector<std::string> gone;
    for (const auto &[id, entry] : m_runs) {
        if (ids.count(id) == 0) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        onRemoved(now, id);
    }
    m_complete = true;
}

void upstream_registry::onStoreLost(instant now)
{
    if (!m_storeLostAt) {
        m_storeLostAt = now;
    }
}

void upstream_registry::onStoreBack(instant now)
{
    if (m_storeLostAt) {
        m_storeLostAt.reset();
        m_graceUntil = now + m_settings.lapseGrace;
    }
}

void upstream_registry::onDisplaced(const std::string &id)
{
    const auto known = m_runs.find(id);
    if (known != m_runs.end() && !known->second.displaced) {
        known->second.displaced = true;
        m_onChange(known->second.run, upstream_change::Displaced);
    }
}

void upstream_registry::onLeaving(const upstream_instance &instance)
{
    const auto known = m_runs.find(instance.id);
    if (known != m_runs.end() && known->second.run.startedAt == instance.startedAt && !known->second.leaving) {
        known->second.leaving = true;
        m_onChange(known->second.run, upstream_change::Leaving);
    }
    const auto removed = m_removed.find(instance.id);
    if (removed != m_removed.end() && removed->second.startedAt == instance.startedAt) {
        removed->second.leaving = true;
    }
}

void upstream_registry::onMoving(instant now, const std::string &id, engine_phase to)
{
    const auto known = m_runs.find(id);
    if (known == m_runs.end()) {
        return;
    }
    known_run &entry = known->second;
    const bool wasMoving = entry.moving.has_value();
    if (entry.run.phase == to) {
        entry.moving.reset();
    } else if (!wasMoving) {
        entry.moving = phase_change{to, now + m_settings.moveTimeout};
    }
    if (wasMoving != entry.moving.has_value()) {
        m_onChange(entry.run, wasMoving ? upstream_change::Stays : upstream_change::Moving);
    }
}

void upstream_registry::advance(instant now)
{
    std::vector<std::string> due;
    for (auto &[id, entry] : m_runs) {
        if (entry.moving && entry.moving->until <= now) {
            entry.moving.reset();
        }
        if (entry.removeAt && *entry.removeAt <= now) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        remove(now, id);
    }
    expireRemoved(now);
}

void upstream_registry::remove(instant now, const std::string &id)
{
    const auto known = m_runs.find(id);
    const registration run = known->second.run;
    const bool isLeaving = known->second.leaving;
    m_runs.erase(known);
    m_removed.insert_or_assign(id, removed_run{run.startedAt, run.sequence, now, isLeaving});
    m_onChange(run, upstream_change::Removed);
}

void upstream_registry::expireRemoved(instant now)
{
    std::erase_if(m_removed, [&](const auto &entry) { return now - entry.second.at > m_settings.removedRetention; });
}

const registration *upstream_registry::find(const std::string &id) const
{
    const auto known = m_runs.find(id);
    return known == m_runs.end() ? nullptr : &known->second.run;
}

bool upstream_registry::isUsable(const known_run &entry)
{
    return !entry.run.draining && !entry.displaced && !entry.leaving;
}

bool upstream_registry::isUsable(const std::string &id) const
{
    const auto known = m_runs.find(id);
    return known != m_runs.end() && isUsable(known->second) && !known->second.moving;
}

bool upstream_registry::takesWork(const upstream_instance &instance) const
{
    const auto known = m_runs.find(instance.id);
    return known != m_runs.end() && known->second.run.startedAt == instance.startedAt && isUsable(known->second);
}

std::set<std::string> upstream_registry::softwareVersions(const std::string &service) const
{
    std::set<std::string> versions;
    for (const auto &[id, entry] : m_runs) {
        if (entry.run.service == service) {
            versions.insert(entry.run.softwareVersion);
        }
    }
    return versions;
}

std::vector<const registration *> upstream_registry::draining() const
{
    std::vector<const registration *> result;
    for (const auto &[id, entry] : m_runs) {
        if (entry.run.draining) {
            result.push_back(&entry.run);
        }
    }
    return result;
}

std::vector<const registration *> upstream_registry::usable(const std::string &service) const
{
    std::vector<const registration *> result;
    for (const auto &[id, entry] : m_runs) {
        if (entry.run.service == service && isUsable(entry)) {
            result.push_back(&entry.run);
        }
    }
    return result;
}

std::vector<const registration *> upstream_registry::usable(const std::string &service, engine_phase phase) const
{
    std::vector<const registration *> result;
    for (const auto &[id, entry] : m_runs) {
        if (entry.run.service == service && entry.run.phase == phase && isUsable(entry) && !entry.moving) {
            result.push_back(&entry.run);
        }
    }
    return result;
}

} // namespace heatherroute
