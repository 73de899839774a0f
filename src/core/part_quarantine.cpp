#include "heatherroute/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace heatherroute
{

namespace
{

/// How long another entry's word about a complete answer isn't repeated.
constexpr duration kToldTime = std::chrono::seconds(30);
constexpr duration kExpiryInterval = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 6; ///< Of the time of a quarantine.

std::uint32_t millisecondsBetween(instant from, instant to)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count(), 0));
}

instant sentAt(const known_crash &crash, const crash_suspect &request)
{
    return crash.identity.at - std::chrono::milliseconds(request.ranMs);
}

} // namespace

part_quarantine part_quarantine::make(const part_quarantine_settings &settings)
{
    return part_quarantine(settings);
}

part_quarantine::part_quarantine(const part_quarantine_settings &settings)
    : m_settings(settings)
{ }

std::vector<completed_part> part_quarantine::takeUntold(instant now, const std::vector<std::uint64_t> &parts)
{
    expire(now);
    std::vector<completed_part> untold;
    for (const std::uint64_t part : parts) {
        const auto completed = m_completed.find(part);
        if (completed != m_completed.end() && m_told.emplace(part, now).second) {
            untold.push_back({part, millisecondsBetween(completed->second, now)});
        }
    }
    return untold;
}

std::vector<completed_part> part_quarantine::noteCompleted(instant now, const std::vector<std::uint64_t> &parts)
{
    expire(now);
    std::vector<completed_part> untold;
    for (const std::uint64_t part : parts) {
        const bool wasHeld = m_probation.contains(part) || m_quarantined.contains({part, false}) || m_quarantined.contains({part, true});
        const auto crash = m_lastCrashes.find(part);
        const auto told = m_told.find(part);
        const bool isUntold = crash != m_lastCrashes.end() && (told == m_told.end() || told->second <= crash->second);
        noteSound(now, part);
        if (wasHeld || isUntold) {
            m_told[part] = now;
            untold.push_back({part, 0});
        }
    }
    return untold;
}

void part_quarantine::onCompleted(instant now, const completed_part &report)
{
    expire(now);
    const instant at = now - std::chrono::milliseconds(report.ageMs);
    m_told[report.part] = now;
    if (now - at <= m_settings.soundTime) {
        noteSound(at, report.part);
    }
}

void part_quarantine::noteSound(instant at, std::uint64_t part)
{
    instant &completedAt = m_completed.try_emplace(part, at).first->second;
    completedAt = std::max(completedAt, at);
    if (m_completed.size() > m_settings.maxSoundParts) {
        m_completed.erase(std::min_element(m_completed.begin(), m_completed.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    const auto lapsed = m_probation.find(part);
    if (lapsed != m_probation.end() && lapsed->second.since <= at) {
        m_probation.erase(lapsed);
    }
    std::erase_if(m_quarantined, [&](const auto &known) { return known.first.part == part && known.second.lastAt <= at; });
}

bool part_quarantine::isSound(std::uint64_t part) const
{
    return m_completed.contains(part);
}

duration part_quarantine::admit(instant now, const std::vector<std::uint64_t> &parts)
{
    const duration left = quarantinedFor(now, parts);
    if (left > duration::zero()) {
        return left;
    }
    for (const std::uint64_t part : parts) {
        const auto found = m_probation.find(part);
        if (found == m_probation.end()) {
            continue;
        }
        const std::optional<instant> trialAt = found->second.trialAt;
        if (now - found->second.since < m_trialDelay || (trialAt && now - *trialAt < m_settings.trialTime)) {
            return m_settings.trialTime;
        }
        found->second.trialAt = now;
    }
    return duration::zero();
}

duration part_quarantine::quarantinedFor(instant now, const std::vector<std::uint64_t> &parts)
{
    if (m_quarantined.empty() && m_probation.empty()) {
        return duration::zero();
    }
    expire(now);
    duration left = duration::zero();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        for (const bool inside : {false, true}) {
            const auto found = m_quarantined.find({parts[i], inside});
            if (found != m_quarantined.end() && (!inside || i + 1 < parts.size())) {
                left = std::max(left, found->second.until - now);
            }
        }
    }
    return left;
}

std::vector<started_part_quarantine> part_quarantine::takeStarted()
{
    std::erase_if(m_taken, [this](const suspect &known) { return !m_quarantined.contains(known); });
    std::vector<started_part_quarantine> started;
    for (const auto &[known, verdict] : m_quarantined) {
        if (m_taken.insert(known).second) {
            started.push_back({known.part, verdict.crashes, known.inside, verdict.until});
        }
    }
    return started;
}

std::vector<completed_part> part_quarantine::completedReports(instant now, std::size_t limit) const
{
    std::vector<completed_part> reports;
    for (const auto &[part, at] : m_completed) {
        reports.push_back({part, millisecondsBetween(at, now)});
    }
    std::sort(reports.begin(), reports.end(), [](const completed_part &a, const completed_part &b) { return a.ageMs < b.ageMs; });
    reports.resize(std::min(reports.size(), limit));
    return reports;
}

void part_quarantine::expire(instant now)
{
    for (auto known = m_quarantined.begin(); known != m_quarantined.end();) {
        if (known->second.until <= now) {
            m_probation[known->first.part] = {now, known->second.lapses + 1, std::nullopt};
            known = m_quarantined.erase(known);
        } else {
            ++known;
        }
    }
    std::erase_if(m_probation, [&](const auto &known) { return now - known.second.since > m_settings.probationTime; });
    if (now - m_expiredAt >= kExpiryInterval) {
        m_expiredAt = now;
        std::erase_if(m_completed, [&](const auto &known) { return now - known.second > m_settings.soundTime; });
        std::erase_if(m_told, [&](const auto &known) { return now - known.second > kToldTime; });
    }
}

void part_quarantine::judge(instant now, const std::deque<known_crash> &crashes, const std::deque<known_crash> &presumed)
{
    expire(now);
    crash_list inOrder;
    m_lastCrashes.clear();
    for (const std::deque<known_crash> *list : {&crashes, &presumed}) {
        for (const known_crash &crash : *list) {
            inOrder.push_back(&crash);
            for (const auto &[fingerprint, request] : crash.suspects) {
                for (const std::uint64_t part : request.parts) {
                    instant &last = m_lastCrashes.try_emplace(part, crash.identity.at).first->second;
                    last = std::max(last, crash.identity.at);
                }
            }
        }
    }
    std::stable_sort(inOrder.begin(), inOrder.end(), [](const known_crash *a, const known_crash *b) { return a->identity.at < b->identity.at; });
    m_explained.clear();
    std::erase_if(inOrder, [this](const known_crash *crash) {
        const bool isExplained = isExplainedByLapsed(*crash);
        if (isExplained) {
            m_explained.insert(crash->identity);
        }
        return isExplained;
    });
    cause_list causes = findCauses(inOrder);
    addKnownCauses(causes, inOrder);
    removeRedundant(causes);
    std::set<suspect> blamed;
    for (const auto &[cause, charged] : causes) {
        blamed.insert(cause);
        for (const known_crash *crash : charged.explains) {
            m_explained.insert(crash->identity);
        }
        if (charged.crashes == 0) {
            continue;
        }
        quarantine &verdict = m_quarantined[cause];
        if (const auto lapsed = m_probation.find(cause.part); lapsed != m_probation.end()) {
            verdict.lapses = lapsed->second.lapses;
            m_probation.erase(lapsed);
        }
        verdict.crashes = charged.crashes;
        verdict.lastAt = std::max(verdict.lastAt, charged.lastAt);
        verdict.until = verdict.lastAt + m_settings.quarantineTime * (1U << std::min(verdict.lapses, kMaxDoublings));
    }
    // A part that the evidence no longer blames is free; without evidence, its quarantine runs its time.
    std::erase_if(m_quarantined, [&](const auto &known) { return !blamed.contains(known.first) && m_lastCrashes.contains(known.first.part); });
}

bool part_quarantine::isCleared(const known_crash &crash, std::uint64_t part) const
{
    const auto completed = m_completed.find(part);
    return completed != m_completed.end() && completed->second >= crash.identity.at;
}

bool part_quarantine::isToBlame(const suspect &one, const charge &charged, std::size_t otherCrashes) const
{
    const auto lapsed = m_probation.find(one.part);
    if (lapsed != m_probation.end()) {
        return charged.lastAt >= lapsed->second.since;
    }
    if (!charged.commonRequests.empty()) {
        return false;
    }
    if (charged.isSound) {
        return charged.crashes >= m_settings.maxCrashesOnceSound;
    }
    const std::size_t all = charged.explains.size();
    const bool followSending = charged.crashes > 1 || charged.longestRun < m_settings.soonAfter;
    const bool areManyInParallel = followSending && all >= m_settings.maxParallelCrashes;
    if (!one.inside) {
        const std::size_t needed = std::min<std::size_t>(m_settings.maxCrashes + otherCrashes, m_settings.maxCrashesBesideOthers);
        return charged.crashes >= needed || areManyInParallel;
    }
    const bool hasLikelierFollower =
        std::any_of(charged.followers.begin(), charged.followers.end(), [all](const auto &follower) { return 2 * follower.second >= all; });
    return (charged.crashes >= m_settings.maxCrashesInside || areManyInParallel) && !hasLikelierFollower;
}

bool part_quarantine::explains(const suspect &cause, const known_crash &crash) const
{
    return !isCleared(crash, cause.part) && std::any_of(crash.suspects.begin(), crash.suspects.end(), [&cause](const auto &entry) {
        const std::vector<std::uint64_t> &parts = entry.second.parts;
        const auto found = std::find(parts.begin(), parts.end(), cause.part);
        // A part that crashes engines at the end of the shared parts does so wherever it stands.
        return found != parts.end() && (!cause.inside || found + 1 != parts.end());
    });
}

/// Whether a part that isn't known to be sound was in flight in the crash.
bool part_quarantine::hasSuspects(const known_crash &crash) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto &entry) {
        const std::vector<std::uint64_t> &parts = entry.second.parts;
        return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) { return !isSound(part) && !isCleared(crash, part); });
    });
}

/// Whether the crash is explained by a part whose quarantine has lapsed since.
bool part_quarantine::isExplainedByLapsed(const known_crash &crash) const
{
    return std::any_of(m_probation.begin(), m_probation.end(), [&](const auto &lapsed) {
        return crash.identity.at < lapsed.second.since && (explains({lapsed.first, false}, crash) || explains({lapsed.first, true}, crash));
    });
}

/// Goes through the suspects from the likeliest cause on. The crashes that a cause explains don't count against the others.
part_quarantine::cause_list part_quarantine::findCauses(crash_list crashes) const
{
    const auto rankOf = [](const suspect &one, const charge &charged) {
        return std::make_tuple(charged.isSound,
                               -static_cast<std::int64_t>(charged.explains.size()),
                               one.inside,
                               charged.runTime / charged.crashes,
                               -static_cast<std::int64_t>(charged.depth),
                               one.part);
    };
    const crash_list all = crashes;
    const auto otherCrashes =
        static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [this](const known_crash *crash) { return !hasSuspects(*crash); }));
    cause_list causes;
    while (true) {
        std::optional<std::pair<suspect, charge>> likeliest;
        for (const auto &[one, charged] : chargesOf(crashes)) {
            if (isToBlame(one, charged, otherCrashes) && (!likeliest || rankOf(one, charged) < rankOf(likeliest->first, likeliest->second))) {
                likeliest = {one, charged};
            }
        }
        if (!likeliest) {
            return causes;
        }
        likeliest->second.explains = explainedBy(likeliest->first, all);
        std::erase_if(crashes, [&](const known_crash *crash) { return likeliest->second.explains.contains(crash); });
        causes.push_back(std::move(*likeliest));
    }
}

std::set<const known_crash *> part_quarantine::explainedBy(const suspect &cause, const crash_list &crashes) const
{
    std::set<const known_crash *> explained;
    std::copy_if(crashes.begin(), crashes.end(), std::inserter(explained, explained.end()), [&](const known_crash *crash) { return explains(cause, *crash); });
    return explained;
}

/// Adds the quarantined parts that aren't among @p causes. When several parts crash engines, some crashes have more than one of them in
/// flight, and the others may be too few to blame each anew.
void part_quarantine::addKnownCauses(cause_list &causes, const crash_list &crashes) const
{
    for (const auto &[known, verdict] : m_quarantined) {
        const bool isFound = std::any_of(causes.begin(), causes.end(), [&known = known](const auto &cause) { return cause.first == known; });
        charge charged;
        charged.explains = explainedBy(known, crashes);
        if (!isFound && !charged.explains.empty()) {
            causes.emplace_back(known, std::move(charged));
        }
    }
}

/// Removes causes all of whose crashes the others explain too, those with the fewest crashes first.
void part_quarantine::removeRedundant(cause_list &causes)
{
    std::stable_sort(causes.begin(), causes.end(), [](const auto &a, const auto &b) { return a.second.explains.size() < b.second.explains.size(); });
    for (auto cause = causes.begin(); cause != causes.end();) {
        const std::set<const known_crash *> &explained = cause->second.explains;
        const bool isRedundant = std::all_of(explained.begin(), explained.end(), [&](const known_crash *crash) {
            return std::any_of(causes.begin(), causes.end(), [&](const auto &other) { return &other != &*cause && other.second.explains.contains(crash); });
        });
        cause = isRedundant ? causes.erase(cause) : cause + 1;
    }
}

std::map<part_quarantine::suspect, part_quarantine::charge> part_quarantine::chargesOf(const crash_list &crashes) const
{
    std::map<suspect, charge> charges;
    for (const known_crash *crash : crashes) {
        addCharges(charges, *crash);
    }
    return charges;
}

/// Precondition: @p crash isn't before those that were added earlier.
void part_quarantine::addCharges(std::map<suspect, charge> &charges, const known_crash &crash) const
{
    struct presence
    {
        instant lastSentAt{};
        std::uint32_t longestRunMs = 0;
        std::set<std::uint64_t> followers;
        std::size_t depth = 0;
        std::set<std::uint64_t> requests;
        bool inside = false; ///< In one of the requests, so that a part which follows there may be the cause.
    };
    std::map<std::uint64_t, presence> inCrash;
    for (const auto &[fingerprint, request] : crash.suspects) {
        for (std::size_t depth = 0; depth < request.parts.size(); ++depth) {
            if (!isCleared(crash, request.parts[depth])) {
                presence &found = inCrash[request.parts[depth]];
                found.inside = found.inside || depth + 1 < request.parts.size();
                found.lastSentAt = std::max(found.lastSentAt, sentAt(crash, request));
                found.longestRunMs = std::max(found.longestRunMs, request.ranMs);
                std::copy_if(request.parts.begin() + static_cast<std::ptrdiff_t>(depth) + 1,
                             request.parts.end(),
                             std::inserter(found.followers, found.followers.end()),
                             [&](std::uint64_t follower) { return !isSound(follower); });
                found.depth = std::max(found.depth, depth);
                found.requests.insert(fingerprint);
            }
        }
    }
    for (const auto &[part, found] : inCrash) {
        charge &charged = charges[{part, found.inside}];
        charged.isSound = isSound(part);
        charged.depth = std::max(charged.depth, found.depth);
        if (charged.explains.empty()) {
            charged.commonRequests = found.requests;
        } else {
            std::erase_if(charged.commonRequests, [&requests = found.requests](std::uint64_t request) { return !requests.contains(request); });
        }
        charged.explains.insert(&crash);
        charged.longestRun = std::max<duration>(charged.longestRun, std::chrono::milliseconds(found.longestRunMs));
        for (const std::uint64_t follower : found.followers) {
            charged.followers[follower] += 1;
        }
        if (charged.crashes > 0 && found.lastSentAt <= charged.lastAt) {
            continue; // It was sent before the crash before, so both may have the same cause.
        }
        charged.crashes += 1;
        charged.lastAt = crash.identity.at;
        charged.runTime += std::chrono::milliseconds(found.longestRunMs);
    }
}

} // namespace heatherroute
