#include "heatherroute/request_quarantine.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

std::uint32_t millisecondsBetween(instant from, instant to)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count(), 0));
}

} // namespace

std::set<observation_key> keysOf(const crash_evidence &evidence)
{
    std::set<observation_key> keys;
    for (const crash_report &report : evidence.crashes) {
        keys.insert({report.fingerprint, report.instance, false});
    }
    for (const open_attempt &open : evidence.open) {
        keys.insert({open.fingerprint, open.instance, true});
    }
    return keys;
}

request_quarantine request_quarantine::make(const quarantine_settings &settings)
{
    return request_quarantine(settings);
}

request_quarantine::request_quarantine(const quarantine_settings &settings)
    : m_settings(settings)
{ }

std::optional<crash_report> request_quarantine::noteInterrupted(instant now, const upstream_instance &instance, std::uint64_t fingerprint)
{
    expire(now);
    const auto crashed = m_crashedInstances.find(instance);
    // If its start isn't known, an interruption long after the crash belongs to the next instance.
    if (crashed != m_crashedInstances.end() && (instance.startedAt != 0 || now - crashed->second < m_settings.sameCrashWindow)) {
        crash_report report = addSuspect(now, {now, instance, fingerprint});
        updateQuarantine();
        return report;
    }
    addPending({now, instance, fingerprint});
    return std::nullopt;
}

std::vector<open_attempt> request_quarantine::noteSilent(instant now, const upstream_instance &instance)
{
    expire(now);
    std::vector<open_attempt> reports;
    for (pending_interruption &interruption : m_pending) {
        if (interruption.instance == instance && !interruption.isOpen) {
            interruption.isOpen = true;
            reports.push_back({interruption.fingerprint, instance, millisecondsBetween(interruption.at, now)});
        }
    }
    return reports;
}

std::optional<open_attempt> request_quarantine::noteStarted(instant now, const upstream_instance &instance, std::uint64_t fingerprint)
{
    expire(now);
    if (!isAnnounced(fingerprint) || m_crashedInstances.contains(instance) || isPending(instance, fingerprint)) {
        return std::nullopt;
    }
    addPending({now, instance, fingerprint, true, true});
    return open_attempt{fingerprint, instance, 0};
}

void request_quarantine::noteAnswered(const upstream_instance &instance, std::uint64_t fingerprint)
{
    std::erase_if(m_pending, [&](const pending_interruption &known) { return known.instance == instance && known.fingerprint == fingerprint; });
}

bool request_quarantine::isPending(const upstream_instance &instance, std::uint64_t fingerprint) const
{
    return std::any_of(
        m_pending.begin(), m_pending.end(), [&](const pending_interruption &known) { return known.instance == instance && known.fingerprint == fingerprint; });
}

/// Adds an interruption in the order of time. An earlier one of the same attempt is replaced, but stays open if it was.
void request_quarantine::addPending(const pending_interruption &interruption)
{
    pending_interruption added = interruption;
    std::erase_if(m_pending, [&added](const pending_interruption &known) {
        const bool isSame = known.instance == added.instance && known.fingerprint == added.fingerprint;
        added.isOpen = added.isOpen || (isSame && known.isOpen);
        added.observedHere = added.observedHere || (isSame && known.observedHere);
        return isSame;
    });
    if (m_pending.size() >= m_settings.maxPending) {
        m_pending.pop_front();
    }
    const auto later =
        std::upper_bound(m_pending.begin(), m_pending.end(), added.at, [](instant at, const pending_interruption &known) { return at < known.at; });
    m_pending.insert(later, added);
}

std::size_t request_quarantine::openCount(std::uint64_t fingerprint) const
{
    return static_cast<std::size_t>(std::count_if(m_pending.begin(), m_pending.end(), [fingerprint](const pending_interruption &interruption) {
        return interruption.isOpen && interruption.fingerprint == fingerprint;
    }));
}

std::vector<crash_report> request_quarantine::noteCrashed(instant now, const upstream_instance &instance)
{
    expire(now);
    m_crashedInstances[instance] = now;
    return explainPending(now, [&instance](const upstream_instance &other) { return other == instance; });
}

std::vector<crash_report> request_quarantine::noteRestarted(instant now, const upstream_instance &started)
{
    expire(now);
    return explainPending(now, [&started](const upstream_instance &other) { return other.id == started.id && other.startedAt < started.startedAt; });
}

template<typename Matches>
std::vector<crash_report> request_quarantine::explainPending(instant now, Matches matches)
{
    std::vector<crash_report> reports;
    for (const pending_interruption &interruption : m_pending) {
        if (matches(interruption.instance)) {
            reports.push_back(addSuspect(now, interruption));
        }
    }
    std::erase_if(m_pending, [&matches](const pending_interruption &interruption) { return matches(interruption.instance); });
    if (!reports.empty()) {
        updateQuarantine();
    }
    return reports;
}

void request_quarantine::noteAlive(instant aliveAt, const upstream_instance &instance)
{
    std::erase_if(m_pending, [&](const pending_interruption &interruption) { return interruption.instance == instance && interruption.at <= aliveAt; });
}

std::optional<crash_report> request_quarantine::noteCompleted(instant now, std::uint64_t fingerprint)
{
    const bool isSuspect = crashesOf(fingerprint) > 0 || openCount(fingerprint) > 0;
    std::erase_if(m_pending, [fingerprint](const pending_interruption &interruption) { return interruption.fingerprint == fingerprint; });
    if (!isSuspect) {
        return std::nullopt;
    }
    clear(now, fingerprint);
    return crash_report{fingerprint, {}, 0, true};
}

void request_quarantine::onReport(instant now, const crash_report &report)
{
    expire(now);
    const instant at = now - std::chrono::milliseconds(report.ageMs);
    if (report.cleared) {
        clear(at, report.fingerprint);
    } else if (now - at <= m_settings.retention) {
        addSuspect(now, {at, report.instance, report.fingerprint, false});
        updateQuarantine();
    }
}

void request_quarantine::onOpenAttempt(instant now, const open_attempt &report)
{
    expire(now);
    const instant at = now - std::chrono::milliseconds(report.ageMs);
    const auto cleared = m_clearedAt.find(report.fingerprint);
    const bool isCleared = cleared != m_clearedAt.end() && at <= cleared->second;
    const crash_report inCrash{report.fingerprint, report.instance, report.ageMs, false};
    if (isCleared || now - at > m_settings.retention) {
        return;
    }
    if (m_crashedInstances.contains(report.instance)) {
        // The sender may restart before it comes to the same conclusion.
        onReport(now, inCrash);
    } else {
        addPending({at, report.instance, report.fingerprint, false, true});
    }
}

std::vector<upstream_instance> request_quarantine::silentInstances() const
{
    std::set<upstream_instance> instances;
    for (const pending_interruption &interruption : m_pending) {
        if (interruption.isOpen) {
            instances.insert(interruption.instance);
        }
    }
    return {instances.begin(), instances.end()};
}

std::vector<open_attempt> request_quarantine::openAttempts(instant now) const
{
    std::vector<open_attempt> reports;
    for (const pending_interruption &interruption : m_pending) {
        if (interruption.isOpen) {
            reports.push_back({interruption.fingerprint, interruption.instance, millisecondsBetween(interruption.at, now)});
        }
    }
    return reports;
}

std::vector<started_quarantine> request_quarantine::takeStarted()
{
    std::erase_if(m_taken, [this](std::uint64_t fingerprint) { return !m_quarantined.contains(fingerprint); });
    std::vector<started_quarantine> started;
    for (const auto &[fingerprint, lapsesAt] : m_quarantined) {
        if (m_taken.insert(fingerprint).second) {
            const bool observedHere = std::any_of(m_crashes.begin(), m_crashes.end(), [fingerprint = fingerprint](const known_crash &crash) {
                const auto suspect = crash.suspects.find(fingerprint);
                return suspect != crash.suspects.end() && suspect->second;
            });
            started.push_back({fingerprint, observedHere});
        }
    }
    return started;
}

crash_evidence request_quarantine::observations(instant now, std::size_t limit) const
{
    crash_evidence observed;
    for (const pending_interruption &interruption : m_pending) {
        if (interruption.isOpen && interruption.observedHere && observed.open.size() < limit) {
            observed.open.push_back({interruption.fingerprint, interruption.instance, millisecondsBetween(interruption.at, now)});
        }
    }
    std::vector<const known_crash *> newestFirst = crashesByTime();
    std::reverse(newestFirst.begin(), newestFirst.end());
    for (const known_crash *crash : newestFirst) {
        for (const auto &[fingerprint, observedHere] : crash->suspects) {
            if (observedHere && observed.open.size() + observed.crashes.size() < limit) {
                observed.crashes.push_back({fingerprint, crash->instance, millisecondsBetween(crash->at, now), false});
            }
        }
    }
    return observed;
}

void request_quarantine::restore(instant now, const crash_evidence &recorded)
{
    expire(now);
    for (const crash_report &report : recorded.crashes) {
        if (std::chrono::milliseconds(report.ageMs) <= m_settings.retention) {
            addSuspect(now, {now - std::chrono::milliseconds(report.ageMs), report.instance, report.fingerprint});
        }
    }
    for (const open_attempt &open : recorded.open) {
        addPending({now - std::chrono::milliseconds(open.ageMs), open.instance, open.fingerprint, true, true});
    }
    updateQuarantine();
}

bool request_quarantine::isAnnounced(std::uint64_t fingerprint) const
{
    return crashesOf(fingerprint) >= m_settings.announcedCrashes || openCount(fingerprint) > 0;
}

duration request_quarantine::quarantinedFor(instant now, std::uint64_t fingerprint)
{
    if (m_quarantined.empty()) {
        return duration::zero();
    }
    expire(now);
    const auto found = m_quarantined.find(fingerprint);
    return found == m_quarantined.end() ? duration::zero() : std::max(found->second - now, duration::zero());
}

std::uint32_t request_quarantine::crashesOf(std::uint64_t fingerprint) const
{
    const auto found = m_crashCounts.find(fingerprint);
    return found == m_crashCounts.end() ? 0 : found->second;
}

std::vector<crash_report> request_quarantine::suspectReports(instant now, std::size_t limit) const
{
    std::vector<const known_crash *> newestFirst = crashesByTime();
    std::reverse(newestFirst.begin(), newestFirst.end());
    std::vector<crash_report> reports;
    for (const known_crash *crash : newestFirst) {
        for (const auto &[fingerprint, observedHere] : crash->suspects) {
            if (reports.size() == limit) {
                return reports;
            }
            reports.push_back({fingerprint, crash->instance, millisecondsBetween(crash->at, now), false});
        }
    }
    return reports;
}

std::vector<const request_quarantine::known_crash *> request_quarantine::crashesByTime() const
{
    std::vector<const known_crash *> ordered;
    for (const known_crash &crash : m_crashes) {
        ordered.push_back(&crash);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const known_crash *a, const known_crash *b) { return a->at < b->at; });
    return ordered;
}

request_quarantine::known_crash *request_quarantine::findCrash(instant at, const upstream_instance &instance)
{
    const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const known_crash &crash) {
        const duration apart = crash.at < at ? at - crash.at : crash.at - at;
        return crash.instance == instance && (instance.startedAt != 0 || apart < m_settings.sameCrashWindow);
    });
    return found == m_crashes.end() ? nullptr : &*found;
}

crash_report request_quarantine::addSuspect(instant now, const pending_interruption &interruption)
{
    const std::uint64_t fingerprint = interruption.fingerprint;
    crash_report report{fingerprint, interruption.instance, millisecondsBetween(interruption.at, now), false};
    const auto cleared = m_clearedAt.find(fingerprint);
    if (cleared != m_clearedAt.end() && interruption.at <= cleared->second) {
        return report;
    }
    known_crash *crash = findCrash(interruption.at, interruption.instance);
    if (crash == nullptr) {
        if (m_crashes.size() >= m_settings.maxCrashesKept) {
            const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const known_crash &a, const known_crash &b) { return a.at < b.at; });
            forgetCrash(static_cast<std::size_t>(oldest - m_crashes.begin()));
        }
        crash = &m_crashes.emplace_back(known_crash{interruption.at, interruption.instance, {}});
    }
    const auto known = crash->suspects.find(fingerprint);
    if (known != crash->suspects.end()) {
        known->second = known->second || interruption.observedHere;
    } else if (crash->suspects.size() < m_settings.maxSuspectsPerCrash) {
        crash->suspects.emplace(fingerprint, interruption.observedHere);
        ++m_crashCounts[fingerprint];
    }
    return report;
}

void request_quarantine::removeSuspect(known_crash &crash, std::uint64_t fingerprint)
{
    crash.suspects.erase(fingerprint);
    const auto count = m_crashCounts.find(fingerprint);
    if (--count->second == 0) {
        m_crashCounts.erase(count);
    }
}

void request_quarantine::forgetCrash(std::size_t index)
{
    known_crash &crash = m_crashes[index];
    while (!crash.suspects.empty()) {
        removeSuspect(crash, crash.suspects.begin()->first);
    }
    m_crashes.erase(m_crashes.begin() + static_cast<std::ptrdiff_t>(index));
}

void request_quarantine::clear(instant at, std::uint64_t fingerprint)
{
    instant &clearedAt = m_clearedAt.try_emplace(fingerprint, at).first->second;
    clearedAt = std::max(clearedAt, at);
    std::erase_if(m_pending, [&](const pending_interruption &interruption) { return interruption.fingerprint == fingerprint && interruption.at <= at; });
    for (known_crash &crash : m_crashes) {
        if (crash.at <= at && crash.suspects.contains(fingerprint)) {
            removeSuspect(crash, fingerprint);
        }
    }
    updateQuarantine();
}

void request_quarantine::expire(instant now)
{
    while (!m_pending.empty() && now - m_pending.front().at > m_settings.pendingTime) {
        m_pending.pop_front();
    }
    std::erase_if(m_crashedInstances, [&](const auto &entry) { return now - entry.second > m_settings.pendingTime; });
    std::erase_if(m_clearedAt, [&](const auto &entry) { return now - entry.second > m_settings.retention; });
    bool forgot = false;
    for (std::size_t index = m_crashes.size(); index > 0; --index) {
        if (now - m_crashes[index - 1].at > m_settings.retention) {
            forgetCrash(index - 1);
            forgot = true;
        }
    }
    if (forgot) {
        updateQuarantine();
    }
}

/// Goes through the crashes in the order of time, so that each request is judged by what was known then: a crash counts against a request
/// unless one that is quarantined already explains it. Of several suspects of one crash, the one with the most crashes is judged first;
/// those with equally many can't be told apart.
void request_quarantine::updateQuarantine()
{
    m_quarantined.clear();
    const bool hasCandidates = std::any_of(m_crashCounts.begin(), m_crashCounts.end(), [this](const auto &entry) { return isCandidate(entry.first); });
    if (!hasCandidates) {
        return;
    }
    crash_lists crashesOfRequest;
    std::set<const known_crash *> explained;
    for (const known_crash *crash : crashesByTime()) {
        std::map<std::size_t, std::vector<std::uint64_t>, std::greater<>> byCount;
        for (const auto &[fingerprint, observedHere] : crash->suspects) {
            if (isCandidate(fingerprint)) {
                std::vector<const known_crash *> &crashes = crashesOfRequest[fingerprint];
                crashes.push_back(crash);
                byCount[crashes.size()].push_back(fingerprint);
            }
            if (m_quarantined.contains(fingerprint)) {
                explained.insert(crash);
            }
        }
        for (const auto &[count, fingerprints] : byCount) {
            judge(fingerprints, crashesOfRequest, explained);
        }
    }
    for (auto &[fingerprint, lapsesAt] : m_quarantined) {
        const std::vector<const known_crash *> &crashes = crashesOfRequest[fingerprint];
        lapsesAt = crashes[crashes.size() - m_settings.maxCrashes]->at + m_settings.retention;
    }
}

bool request_quarantine::isCandidate(std::uint64_t fingerprint) const
{
    return crashesOf(fingerprint) >= m_settings.maxCrashes;
}

/// Quarantines those of @p fingerprints that have too many unexplained crashes, and marks their crashes as explained.
void request_quarantine::judge(const std::vector<std::uint64_t> &fingerprints, const crash_lists &crashesOfRequest, std::set<const known_crash *> &explained)
{
    std::set<const known_crash *> newlyExplained;
    for (const std::uint64_t fingerprint : fingerprints) {
        const std::vector<const known_crash *> &crashes = crashesOfRequest.at(fingerprint);
        const auto unexplained = std::count_if(crashes.begin(), crashes.end(), [&explained](const known_crash *crash) { return !explained.contains(crash); });
        if (unexplained >= static_cast<std::ptrdiff_t>(m_settings.maxCrashes)) {
            m_quarantined.emplace(fingerprint, instant{});
            newlyExplained.insert(crashes.begin(), crashes.end());
        }
    }
    explained.insert(newlyExplained.begin(), newlyExplained.end());
}

} // namespace heatherroute
