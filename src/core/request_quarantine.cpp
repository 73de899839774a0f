#include "heatherroute/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
        keys.insert({report.fingerprint, report.instance, false, report.parts, false});
    }
    for (const open_attempt &open : evidence.open) {
        keys.insert({open.fingerprint, open.instance, true, open.parts, false});
    }
    for (const crash_report &report : evidence.cleared) {
        keys.insert({report.fingerprint, {}, false, {}, true});
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

std::optional<crash_report>
request_quarantine::noteInterrupted(instant now, const upstream_instance &instance, const request_fingerprints &request, duration ran)
{
    const pending_interruption interruption{now, instance, request.fingerprint, {request.parts, millisecondsBetween({}, instant(ran)), true}, false};
    expire(now);
    const auto crashed = m_crashedInstances.find(instance);
    // If its start isn't known, an interruption long after the crash belongs to the next instance.
    if (crashed != m_crashedInstances.end() && (instance.startedAt != 0 || now - crashed->second < m_settings.sameCrashWindow)) {
        crash_report report = addSuspect(now, interruption);
        updateQuarantine();
        return report;
    }
    addPending(interruption);
    return std::nullopt;
}

std::vector<open_attempt> request_quarantine::noteSilent(instant now, const upstream_instance &instance)
{
    expire(now);
    std::vector<open_attempt> reports;
    for (pending_interruption &interruption : m_pending) {
        if (interruption.instance == instance && !interruption.isOpen) {
            interruption.isOpen = true;
            reports.push_back(openReport(now, interruption));
        }
    }
    return reports;
}

std::optional<open_attempt> request_quarantine::noteStarted(instant now, const upstream_instance &instance, const request_fingerprints &request)
{
    expire(now);
    if (!isAnnounced(request.fingerprint) || m_crashedInstances.contains(instance) || isPending(instance, request.fingerprint)) {
        return std::nullopt;
    }
    const pending_interruption started{now, instance, request.fingerprint, {request.parts, 0, true}, true};
    addPending(started);
    return openReport(now, started);
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
        added.suspect.observedHere = added.suspect.observedHere || (isSame && known.suspect.observedHere);
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
    noteSound(now, fingerprint);
    const bool isSuspect = crashesOf(fingerprint) > 0 || openCount(fingerprint) > 0;
    std::erase_if(m_pending, [fingerprint](const pending_interruption &interruption) { return interruption.fingerprint == fingerprint; });
    if (!isSuspect) {
        return std::nullopt;
    }
    clear(now, fingerprint, true);
    return crash_report{fingerprint, {}, 0, true};
}

void request_quarantine::onReport(instant now, const crash_report &report)
{
    expire(now);
    const instant at = now - std::chrono::milliseconds(report.ageMs);
    if (now - at > m_settings.retention) {
        return;
    }
    if (report.cleared) {
        if (now - at <= m_settings.soundTime) {
            noteSound(now, report.fingerprint);
        }
        clear(at, report.fingerprint, false);
    } else {
        addSuspect(now, {at, report.instance, report.fingerprint, {report.parts, report.ranMs, false}, false});
        updateQuarantine();
    }
}

void request_quarantine::onOpenAttempt(instant now, const open_attempt &report)
{
    expire(now);
    const instant at = now - std::chrono::milliseconds(report.ageMs);
    const auto cleared = m_clearedAt.find(report.fingerprint);
    const bool isCleared = cleared != m_clearedAt.end() && at <= cleared->second.at;
    const crash_report inCrash{report.fingerprint, report.instance, report.ageMs, false, report.ranMs, report.parts};
    if (isCleared || now - at > m_settings.retention) {
        return;
    }
    if (m_crashedInstances.contains(report.instance)) {
        // The sender may restart before it comes to the same conclusion.
        onReport(now, inCrash);
    } else {
        if (m_held.contains(report.fingerprint) && !isPending(report.instance, report.fingerprint)) {
            noteTrial(at, report.fingerprint);
        }
        addPending({at, report.instance, report.fingerprint, {report.parts, report.ranMs, false}, true});
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

std::deque<known_crash> request_quarantine::presumedCrashes() const
{
    std::deque<known_crash> crashes;
    for (const pending_interruption &interruption : m_pending) {
        if (!interruption.isOpen || interruption.suspect.ranMs == 0) {
            continue;
        }
        auto crash = std::find_if(
            crashes.begin(), crashes.end(), [&interruption](const known_crash &known) { return known.identity.instance == interruption.instance; });
        if (crash == crashes.end()) {
            crash = crashes.insert(crash, known_crash{{interruption.at, interruption.instance}, {}});
        }
        crash->suspects.emplace(interruption.fingerprint, interruption.suspect);
    }
    return crashes;
}

std::vector<open_attempt> request_quarantine::openAttempts(instant now) const
{
    std::vector<open_attempt> reports;
    for (const pending_interruption &interruption : m_pending) {
        if (interruption.isOpen) {
            reports.push_back(openReport(now, interruption));
        }
    }
    return reports;
}

open_attempt request_quarantine::openReport(instant now, const pending_interruption &interruption)
{
    return {interruption.fingerprint, interruption.instance, millisecondsBetween(interruption.at, now), interruption.suspect.ranMs, interruption.suspect.parts};
}

crash_report request_quarantine::reportOf(instant now, const known_crash &crash, std::uint64_t fingerprint, const crash_suspect &suspect)
{
    return {fingerprint, crash.identity.instance, millisecondsBetween(crash.identity.at, now), false, suspect.ranMs, suspect.parts};
}

void request_quarantine::setExplainedByParts(const std::set<crash_identity> &explained)
{
    if (explained != m_explainedByParts) {
        m_explainedByParts = explained;
        updateQuarantine();
    }
}

std::vector<started_quarantine> request_quarantine::takeStarted()
{
    std::erase_if(m_taken, [this](const auto &known) { return !(known.second ? m_held.contains(known.first) : m_quarantined.contains(known.first)); });
    std::vector<started_quarantine> started;
    const auto take = [&](std::uint64_t fingerprint, bool admitsTrials) {
        if (m_taken.emplace(fingerprint, admitsTrials).second) {
            const bool observedHere = std::any_of(m_crashes.begin(), m_crashes.end(), [fingerprint](const known_crash &crash) {
                const auto suspect = crash.suspects.find(fingerprint);
                return suspect != crash.suspects.end() && suspect->second.observedHere;
            });
            started.push_back({fingerprint, admitsTrials, observedHere});
        }
    };
    for (const auto &[fingerprint, lapsesAt] : m_quarantined) {
        take(fingerprint, false);
    }
    for (const auto &[fingerprint, held] : m_held) {
        take(fingerprint, true);
    }
    return started;
}

crash_evidence request_quarantine::observations(instant now, std::size_t limit) const
{
    crash_evidence observed;
    for (const pending_interruption &interruption : m_pending) {
        if (interruption.isOpen && interruption.suspect.observedHere && observed.open.size() < limit) {
            observed.open.push_back(openReport(now, interruption));
        }
    }
    std::vector<const known_crash *> newestFirst = crashesByTime();
    std::reverse(newestFirst.begin(), newestFirst.end());
    for (const known_crash *crash : newestFirst) {
        for (const auto &[fingerprint, suspect] : crash->suspects) {
            if (suspect.observedHere && observed.open.size() + observed.crashes.size() < limit) {
                observed.crashes.push_back(reportOf(now, *crash, fingerprint, suspect));
            }
        }
    }
    observed.cleared = clearedReports(now, std::min(limit, m_settings.maxClearancesRecorded), true);
    return observed;
}

void request_quarantine::restore(instant now, const crash_evidence &recorded)
{
    expire(now);
    for (const crash_report &report : recorded.crashes) {
        if (std::chrono::milliseconds(report.ageMs) <= m_settings.retention) {
            const instant at = now - std::chrono::milliseconds(report.ageMs);
            addSuspect(now, {at, report.instance, report.fingerprint, {report.parts, report.ranMs, true}, false});
        }
    }
    for (const open_attempt &open : recorded.open) {
        addPending({now - std::chrono::milliseconds(open.ageMs), open.instance, open.fingerprint, {open.parts, open.ranMs, true}, true});
    }
    for (const crash_report &report : recorded.cleared) {
        onReport(now, report);
        if (const auto cleared = m_clearedAt.find(report.fingerprint); cleared != m_clearedAt.end()) {
            cleared->second.isRecorded = true;
        }
    }
    updateQuarantine();
}

bool request_quarantine::isAnnounced(std::uint64_t fingerprint) const
{
    return crashesOf(fingerprint) >= m_settings.announcedCrashes || openCount(fingerprint) > 0;
}

quarantine_admission request_quarantine::admit(instant now, std::uint64_t fingerprint)
{
    const duration refusedFor = quarantinedFor(now, fingerprint);
    const auto held = m_held.find(fingerprint);
    if (refusedFor <= duration::zero() || held == m_held.end()) {
        return {refusedFor, false};
    }
    const trial_history &trials = m_trials[fingerprint];
    if (trials.count >= m_settings.maxTrials) {
        return {refusedFor, false};
    }
    const duration untilOwnTurn = held->second.since + m_trialDelay - now;
    const duration untilNext = trials.count > 0 ? trials.lastAt + m_settings.trialTime - now : duration::zero();
    const duration wait = std::max(untilOwnTurn, untilNext);
    if (wait > duration::zero()) {
        return {wait, false};
    }
    noteTrial(now, fingerprint);
    return {duration::zero(), true};
}

void request_quarantine::noteTrial(instant at, std::uint64_t fingerprint)
{
    trial_history &trials = m_trials[fingerprint];
    trials.count += 1;
    trials.lastAt = std::max(trials.lastAt, at);
}

duration request_quarantine::quarantinedFor(instant now, std::uint64_t fingerprint, bool isTrial)
{
    if (m_quarantined.empty() && m_held.empty()) {
        return duration::zero();
    }
    expire(now);
    if (const auto found = m_quarantined.find(fingerprint); found != m_quarantined.end()) {
        return std::max(found->second - now, duration::zero());
    }
    const auto held = m_held.find(fingerprint);
    return held == m_held.end() || isTrial ? duration::zero() : std::max(held->second.until - now, duration::zero());
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
        for (const auto &[fingerprint, suspect] : crash->suspects) {
            if (reports.size() == limit) {
                return reports;
            }
            reports.push_back(reportOf(now, *crash, fingerprint, suspect));
        }
    }
    return reports;
}

std::vector<crash_report> request_quarantine::clearedReports(instant now, std::size_t limit, bool onlyRecorded) const
{
    std::vector<crash_report> reports;
    for (const auto &[fingerprint, cleared] : m_clearedAt) {
        if (cleared.isRecorded || !onlyRecorded) {
            reports.push_back({fingerprint, {}, millisecondsBetween(cleared.at, now), true});
        }
    }
    std::sort(reports.begin(), reports.end(), [](const crash_report &a, const crash_report &b) { return a.ageMs < b.ageMs; });
    reports.resize(std::min(reports.size(), limit));
    return reports;
}

std::vector<const known_crash *> request_quarantine::crashesByTime() const
{
    std::vector<const known_crash *> ordered;
    for (const known_crash &crash : m_crashes) {
        ordered.push_back(&crash);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const known_crash *a, const known_crash *b) { return a->identity.at < b->identity.at; });
    return ordered;
}

known_crash *request_quarantine::findCrash(instant at, const upstream_instance &instance)
{
    const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const known_crash &crash) {
        const duration apart = crash.identity.at < at ? at - crash.identity.at : crash.identity.at - at;
        return crash.identity.instance == instance && (instance.startedAt != 0 || apart < m_settings.sameCrashWindow);
    });
    return found == m_crashes.end() ? nullptr : &*found;
}

crash_report request_quarantine::addSuspect(instant now, const pending_interruption &interruption)
{
    const std::uint64_t fingerprint = interruption.fingerprint;
    crash_report report{
        fingerprint, interruption.instance, millisecondsBetween(interruption.at, now), false, interruption.suspect.ranMs, interruption.suspect.parts};
    const auto cleared = m_clearedAt.find(fingerprint);
    if (cleared != m_clearedAt.end() && interruption.at <= cleared->second.at) {
        return report;
    }
    known_crash *crash = findCrash(interruption.at, interruption.instance);
    if (crash == nullptr) {
        if (m_crashes.size() >= m_settings.maxCrashesKept) {
            const auto oldest =
                std::min_element(m_crashes.begin(), m_crashes.end(), [](const known_crash &a, const known_crash &b) { return a.identity.at < b.identity.at; });
            forgetCrash(static_cast<std::size_t>(oldest - m_crashes.begin()));
        }
        crash = &m_crashes.emplace_back(known_crash{{interruption.at, interruption.instance}, {}});
    }
    const auto known = crash->suspects.find(fingerprint);
    if (known != crash->suspects.end()) {
        known->second.observedHere = known->second.observedHere || interruption.suspect.observedHere;
        // Of several attempts the oldest counts: one that crashes upstreams has none that has run for long.
        known->second.ranMs = std::max(known->second.ranMs, interruption.suspect.ranMs);
    } else if (hasRoomFor(interruption.suspect, *crash)) {
        crash->suspects.emplace(fingerprint, interruption.suspect);
        ++m_crashCounts[fingerprint];
    }
    return report;
}

/// Makes room for a suspect of a crash that has as many as are kept, if another one had run for longer.
bool request_quarantine::hasRoomFor(const crash_suspect &suspect, known_crash &crash)
{
    if (crash.suspects.size() < m_settings.maxSuspectsPerCrash) {
        return true;
    }
    const auto oldest =
        std::max_element(crash.suspects.begin(), crash.suspects.end(), [](const auto &a, const auto &b) { return a.second.ranMs < b.second.ranMs; });
    if (oldest->second.ranMs <= suspect.ranMs) {
        return false;
    }
    removeSuspect(crash, oldest->first);
    return true;
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

void request_quarantine::clear(instant at, std::uint64_t fingerprint, bool isOwn)
{
    const bool mightReturn = crashesOf(fingerprint) >= m_settings.announcedCrashes;
    clearance &cleared = m_clearedAt.try_emplace(fingerprint, clearance{at, false}).first->second;
    cleared.at = std::max(cleared.at, at);
    cleared.isRecorded = cleared.isRecorded || (mightReturn && isOwn);
    std::erase_if(m_pending, [&](const pending_interruption &interruption) { return interruption.fingerprint == fingerprint && interruption.at <= at; });
    for (known_crash &crash : m_crashes) {
        const auto suspect = crash.suspects.find(fingerprint);
        if (crash.identity.at <= at && suspect != crash.suspects.end()) {
            // The record of this entry changes in any case.
            cleared.isRecorded = cleared.isRecorded || (mightReturn && suspect->second.observedHere);
            removeSuspect(crash, fingerprint);
        }
    }
    updateQuarantine();
}

void request_quarantine::expire(instant now)
{
    forgetSound(now);
    while (!m_pending.empty() && now - m_pending.front().at > m_settings.pendingTime) {
        m_pending.pop_front();
    }
    std::erase_if(m_crashedInstances, [&](const auto &entry) { return now - entry.second > m_settings.pendingTime; });
    std::erase_if(m_clearedAt, [&](const auto &entry) { return now - entry.second.at > m_settings.retention; });
    bool forgot = false;
    for (std::size_t index = m_crashes.size(); index > 0; --index) {
        if (now - m_crashes[index - 1].identity.at > m_settings.retention) {
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
    m_held.clear();
    const bool hasCandidates = std::any_of(m_crashCounts.begin(), m_crashCounts.end(), [this](const auto &entry) { return isCandidate(entry.first); });
    if (!hasCandidates) {
        m_trials.clear();
        return;
    }
    crash_lists crashesOfRequest;
    for (const known_crash *crash : crashesByTime()) {
        std::map<std::size_t, std::vector<std::uint64_t>, std::greater<>> byCount;
        for (const auto &[fingerprint, suspect] : crash->suspects) {
            if (isCandidate(fingerprint)) {
                std::vector<const known_crash *> &crashes = crashesOfRequest[fingerprint];
                crashes.push_back(crash);
                byCount[crashes.size()].push_back(fingerprint);
            }
        }
        for (const auto &[count, fingerprints] : byCount) {
            judge(fingerprints, crashesOfRequest);
        }
    }
    // Causes that were found later may explain the crashes of a request that is held back.
    std::erase_if(m_held, [&](const auto &held) { return unexplainedOf(held.first, crashesOfRequest[held.first]).size() < m_settings.maxCrashes; });
    const auto lapsesAt = [&](std::uint64_t fingerprint) {
        const std::vector<const known_crash *> &crashes = crashesOfRequest[fingerprint];
        return crashes[crashes.size() - m_settings.maxCrashes]->identity.at + m_settings.retention;
    };
    for (auto &[fingerprint, until] : m_quarantined) {
        until = lapsesAt(fingerprint);
    }
    for (auto &[fingerprint, held] : m_held) {
        held.until = lapsesAt(fingerprint);
    }
    std::erase_if(m_trials, [this](const auto &trials) { return !m_held.contains(trials.first); });
}

/// Returns those of the @p crashes of a request that neither a part of prompts nor a quarantined request explains.
std::vector<const known_crash *> request_quarantine::unexplainedOf(std::uint64_t fingerprint, const std::vector<const known_crash *> &crashes) const
{
    std::vector<const known_crash *> unexplained;
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(unexplained), [&](const known_crash *crash) { return !isExplained(fingerprint, *crash); });
    return unexplained;
}

/// A request that crashes upstreams does so as it begins to run, so a crash isn't explained by another one that had run for much longer. Nor
/// is it by one with no more crashes than the request itself, which may have run beside it, unless this request was answered lately.
bool request_quarantine::isExplained(std::uint64_t fingerprint, const known_crash &crash) const
{
    const duration ran = std::chrono::milliseconds(crash.suspects.at(fingerprint).ranMs) + m_settings.sameAge;
    const bool wasAnswered = isSound(fingerprint);
    return m_explainedByParts.contains(crash.identity) || std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto &other) {
               const bool isLikelier = m_quarantined.contains(other.first) && (wasAnswered || crashesOf(other.first) > crashesOf(fingerprint));
               return isLikelier && std::chrono::milliseconds(other.second.ranMs) <= ran;
           });
}

bool request_quarantine::isCandidate(std::uint64_t fingerprint) const
{
    return crashesOf(fingerprint) >= m_settings.maxCrashes;
}

bool request_quarantine::isSound(std::uint64_t fingerprint) const
{
    return m_sound.contains(fingerprint) || m_soundBefore.contains(fingerprint);
}

/// Whether an upstream crashed under an attempt that was sent after the request had too many crashes. Precondition: it has.
bool request_quarantine::hasCrashedLater(std::uint64_t fingerprint, const std::vector<const known_crash *> &unexplained) const
{
    const instant heldSince = unexplained[m_settings.maxCrashes - 1]->identity.at;
    return std::any_of(unexplained.begin(), unexplained.end(), [&](const known_crash *crash) {
        const auto ran = std::chrono::milliseconds(crash->suspects.at(fingerprint).ranMs);
        return crash->identity.at - ran > heldSince + m_settings.spreadTime;
    });
}

void request_quarantine::noteSound(instant now, std::uint64_t fingerprint)
{
    forgetSound(now);
    if (m_sound.size() >= m_settings.maxSoundRequests && !m_sound.contains(fingerprint)) {
        m_soundBefore = std::exchange(m_sound, {});
        m_soundSince = now;
    }
    m_sound.insert(fingerprint);
}

void request_quarantine::forgetSound(instant now)
{
    if (now - m_soundSince < m_settings.soundTime) {
        return;
    }
    const bool isRecent = now - m_soundSince < 2 * m_settings.soundTime;
    m_soundBefore = isRecent ? std::exchange(m_sound, {}) : std::unordered_set<std::uint64_t>();
    m_sound.clear();
    m_soundSince = now;
}

/// Quarantines or holds back those of @p fingerprints that have too many unexplained crashes.
void request_quarantine::judge(const std::vector<std::uint64_t> &fingerprints, const crash_lists &crashesOfRequest)
{
    std::vector<std::uint64_t> quarantined;
    for (const std::uint64_t fingerprint : fingerprints) {
        const std::vector<const known_crash *> unexplained = unexplainedOf(fingerprint, crashesOfRequest.at(fingerprint));
        m_held.erase(fingerprint);
        if (unexplained.size() < m_settings.maxCrashes) {
            continue;
        }
        if (isSound(fingerprint) && !hasCrashedLater(fingerprint, unexplained)) {
            m_held[fingerprint].since = unexplained[m_settings.maxCrashes - 1]->identity.at;
        } else {
            quarantined.push_back(fingerprint);
        }
    }
    // They can't be told apart, so none of them explains the crashes of another one for now.
    for (const std::uint64_t fingerprint : quarantined) {
        m_quarantined.emplace(fingerprint, instant{});
    }
}

} // namespace heatherroute
