#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "heatherroute/crash_report.h"
#include "heatherroute/known_crash.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Limits of a part_quarantine.
struct part_quarantine_settings
{
    /// Upstreams that may crash one after the other under requests whose last shared part is the same.
    std::uint32_t maxCrashes = 3;
    std::uint32_t maxCrashesBesideOthers = 5; ///< The same if there were other crashes: one more for each that no part can explain, up to this number.
    /// The same if the crashes overlap: only some of them follow one another, or all came soon after the requests were sent.
    std::uint32_t maxParallelCrashes = 5;
    duration soonAfter = std::chrono::seconds(1);
    /// Crashes that may follow one another for a part that only preceded other shared parts, any of which may be the cause.
    std::uint32_t maxCrashesInside = 5;
    /// The same for a part that was in a complete answer not long before, since more sudden causes are likelier.
    std::uint32_t maxCrashesOnceSound = 10;
    duration quarantineTime = std::chrono::minutes(2); ///< From the last crash. Doubles each time that a trial request crashes an upstream.
    duration probationTime = std::chrono::minutes(60); ///< After a quarantine; one trial request at a time is admitted.
    duration trialTime = std::chrono::seconds(20); ///< After which a trial without a result is followed by another one.
    duration soundTime = std::chrono::minutes(10); ///< How long a complete answer speaks for the parts of its prompt.
    std::size_t maxSoundParts = 16'384; ///< The part with the oldest complete answer is forgotten beyond this number.

    auto operator<=>(const part_quarantine_settings &) const = default;
};

/// The beginning of a part's quarantine.
struct started_part_quarantine
{
    std::uint64_t part = 0;
    std::uint32_t crashes = 0;
    bool onlyInside = false; ///< Only prompts in which other shared parts follow are refused.
    instant until{};

    auto operator<=>(const started_part_quarantine &) const = default;
};

/**
 * Finds parts of prompts that crash the engines that begin to answer them, and keeps requests with them from further engines.
 *
 * Load pattern: requests that are all different, but have one part of their prompts in common, come at any entry. Each engine that
 * begins to answer one crashes, and interrupts the requests that run beside it. These share the other parts of the prompt, and
 * while engines crash, hardly any request is answered completely.
 *
 * A part is blamed for crashes that follow one another, each under a request sent after the crash before, with no complete answer
 * in between; engines that crash at the same moment for another reason count once. Where engines also crash without a suspect, more
 * crashes are needed. An answer that has been written for a while counts as a complete one: a part that crashes engines does so as the
 * answer begins. If one request was in flight in all of them, that
 * request is blamed instead (see request_quarantine). Of several suspects, those without a complete answer in the last minutes come
 * first, then those with more crashes, then those that end a prompt's shared parts, then those whose requests had all been sent
 * shortly before the crash; requests that only ran beside have often run for a while. A part isn't blamed while one that follows it
 * in the same prompts may explain half of its crashes. The crashes of a part that is blamed don't count against others.
 *
 * All entries exchange what they observe and judge all of it anew each time, so that a wrong verdict is revised by the next crash or
 * complete answer. When a quarantine lapses, one entry after the other admits one request at a time until an answer is complete or
 * another engine crashes.
 *
 * Pure; not thread safe. Instants must not decrease.
 */
class part_quarantine
{
public:
    static part_quarantine make(const part_quarantine_settings &settings);

    /// Judges all parts anew by the known @p crashes and by @p presumed ones, both in any order.
    void judge(instant now, const std::deque<known_crash> &crashes, const std::deque<known_crash> &presumed);
    /// Returns those of the crashes of the last judge() that quarantined parts explain.
    const std::set<crash_identity> &explainedCrashes() const noexcept
    {
        return m_explained;
    }
    /// Returns the complete answers that speak for these parts and that the other entries may not know of.
    std::vector<completed_part> takeUntold(instant now, const std::vector<std::uint64_t> &parts);
    /// Records a complete answer to a request with these parts. Returns what the other entries have to know: the parts that were quarantined,
    /// or in a crash since they were last told.
    std::vector<completed_part> noteCompleted(instant now, const std::vector<std::uint64_t> &parts);
    /// Processes a report of another entry about a complete answer.
    void onCompleted(instant now, const completed_part &report);
    /// Sets how long after the end of a quarantine this entry admits trial requests. It differs between entries, so that the first ones'
    /// results are known to the others.
    void setTrialDelay(duration delay) noexcept
    {
        m_trialDelay = delay;
    }

    /// Decides on a new request. Returns for how much longer it must not be sent to an engine; zero if it may be, perhaps as a trial.
    duration admit(instant now, const std::vector<std::uint64_t> &parts);
    /// Returns for how much longer a request that was admitted must not be sent to an engine; zero if it may be.
    duration quarantinedFor(instant now, const std::vector<std::uint64_t> &parts);

    /// Returns the quarantines that have begun since the last call.
    std::vector<started_part_quarantine> takeStarted();
    /// Returns the newest complete answers, at most @p limit, for an entry that has missed them.
    std::vector<completed_part> completedReports(instant now, std::size_t limit) const;
    /// Whether a complete answer speaks for the part.
    bool isSound(std::uint64_t part) const;
    /// Returns the number of parts that are quarantined.
    std::size_t size() const noexcept
    {
        return m_quarantined.size();
    }

private:
    /// A part, at a place in the prompt.
    struct suspect
    {
        std::uint64_t part = 0;
        bool inside = false; ///< Other shared parts follow.
        auto operator<=>(const suspect &) const = default;
    };
    struct quarantine
    {
        instant lastAt{}; ///< The last of the crashes.
        instant until{};
        std::uint32_t crashes = 0;
        std::uint32_t lapses = 0; ///< Earlier quarantines of the part that have lapsed.
    };
    struct probation
    {
        instant since{};
        std::uint32_t lapses = 0;
        std::optional<instant> trialAt;
    };
    /// The crashes that count against a suspect.
    struct charge
    {
        std::uint32_t crashes = 0; ///< That followed one another.
        instant lastAt{}; ///< The last of them.
        duration runTime{}; ///< How long the oldest of its requests had run in each crash, added up.
        std::map<std::uint64_t, std::size_t> followers; ///< Parts without a complete answer after it in the same requests, with their crashes.
        duration longestRun{}; ///< Of all its requests in all crashes.
        std::size_t depth = 0; ///< Number of shared parts before it.
        bool isSound = false; ///< A complete answer speaks for the part.
        std::set<std::uint64_t> commonRequests; ///< Requests that were in flight in all of them.
        std::set<const known_crash *> explains; ///< Also those that overlapped.
    };
    using crash_list = std::vector<const known_crash *>;
    using cause_list = std::vector<std::pair<suspect, charge>>;

    explicit part_quarantine(const part_quarantine_settings &settings);
    void expire(instant now);
    void noteSound(instant at, std::uint64_t part);
    /// @p otherCrashes: the number of crashes that no part can explain.
    bool isToBlame(const suspect &one, const charge &charged, std::size_t otherCrashes) const;
    bool hasSuspects(const known_crash &crash) const;
    bool isCleared(const known_crash &crash, std::uint64_t part) const;
    std::map<suspect, charge> chargesOf(const crash_list &crashes) const;
    void addCharges(std::map<suspect, charge> &charges, const known_crash &crash) const;
    cause_list findCauses(crash_list crashes) const;
    std::set<const known_crash *> explainedBy(const suspect &cause, const crash_list &crashes) const;
    void addKnownCauses(cause_list &causes, const crash_list &crashes) const;
    static void removeRedundant(cause_list &causes);
    bool explains(const suspect &cause, const known_crash &crash) const;
    bool isExplainedByLapsed(const known_crash &crash) const;

    part_quarantine_settings m_settings;
    std::map<std::uint64_t, instant> m_completed; ///< The last complete answer to a request with the part.
    std::map<std::uint64_t, instant> m_told; ///< When the other entries were last told of one, or told this one.
    std::map<suspect, quarantine> m_quarantined;
    std::map<std::uint64_t, probation> m_probation;
    std::map<std::uint64_t, instant> m_lastCrashes; ///< The last known crash by part.
    std::set<crash_identity> m_explained;
    std::set<suspect> m_taken; ///< Whose quarantine takeStarted() has returned.
    duration m_trialDelay{};
    instant m_expiredAt{}; ///< When old complete answers were last forgotten.
};

} // namespace heatherroute
