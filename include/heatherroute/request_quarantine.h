#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

#include "heatherroute/crash_report.h"
#include "heatherroute/known_crash.h"
#include "heatherroute/request_fingerprint.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Limits of a request_quarantine.
struct quarantine_settings
{
    std::uint32_t maxCrashes = 3; ///< Upstreams that may crash under a request before it is quarantined.
    /// A request with maxCrashes that was answered not long before gets trials, one at a time, since other causes are likelier. After this many
    /// without a result, it is refused.
    std::uint32_t maxTrials = 2;
    duration trialTime = std::chrono::seconds(10); ///< After which a trial without a result is followed by another one.
    /// How long after the last of these crashes other entries may still send the request.
    duration spreadTime = std::chrono::milliseconds(500);
    /// Requests whose attempts in a crash were sent less than this apart can't be told apart by their age.
    duration sameAge = std::chrono::milliseconds(100);
    std::uint32_t announcedCrashes = 2; ///< Crashes from which on attempts of a suspect are reported as they begin.
    duration pendingTime = std::chrono::seconds(10); ///< How long after an interruption the end of its upstream still explains it.
    duration retention = std::chrono::minutes(10); ///< How long a crash counts.
    /// Crashes of one upstream that are less than this apart are the same one, if its start isn't known.
    duration sameCrashWindow = std::chrono::seconds(5);
    std::size_t maxCrashesKept = 256; ///< The oldest crash is forgotten beyond this number.
    std::size_t maxSuspectsPerCrash = 128; ///< Of more, those that had run for longest are left out.
    std::size_t maxPending = 4096; ///< Interruptions that wait for an explanation.
    duration soundTime = std::chrono::minutes(5); ///< How long a complete answer speaks for a request; up to twice as long.
    std::size_t maxClearancesRecorded = 64; ///< Of more, the oldest are left out.
    std::size_t maxSoundRequests = 4096; ///< Answers of at least this number of requests are remembered, if they are within that time.

    auto operator<=>(const quarantine_settings &) const = default;
};

/// Whether a new request may be sent to an upstream.
struct quarantine_admission
{
    duration refusedFor{}; ///< For how much longer it must not be sent; zero if it may be.
    bool isTrial = false; ///< The request may be sent although others like it may not, since its end decides about them.

    auto operator<=>(const quarantine_admission &) const = default;
};

/// The beginning of a request's quarantine.
struct started_quarantine
{
    std::uint64_t fingerprint = 0;
    bool admitsTrials = false; ///< The request was answered not long before, so that trials decide.
    bool observedHere = false; ///< Whether this entry had the request in flight in one of the crashes, or knows of them from others only.

    auto operator<=>(const started_quarantine &) const = default;
};

/**
 * Finds requests that crash the upstreams that run them, and keeps them from further upstreams.
 *
 * Load pattern: a caller sends a request again and again, under a new id each time and to any entry; each upstream that begins
 * to run it crashes, and interrupts the requests that run beside it. Without a memory of the request beyond one attempt, it
 * takes down one upstream after another.
 *
 * An interruption alone proves nothing, since upstreams lose answers and connections too. It counts once the end of the upstream is known:
 * the request then is a suspect of that crash, as are those that ran beside it. A suspect of too many crashes is quarantined. An answer with
 * success clears a request of the crashes before it. A crash doesn't count against a request when a quarantined one explains it, unless that
 * one had run for much longer there or has no more crashes.
 *
 * A request that many callers send is in flight in most crashes. If it was answered with success lately, it is only held back after too many:
 * one entry after the other admits a trial, which clears the request or, if the upstream crashes under it, has it quarantined. Meanwhile its
 * crashes still count against others.
 *
 * All entries exchange what they observed, so they come to the same verdict; for one that hasn't answered the request itself, no trial is
 * needed. The verdict lapses with the evidence.
 *
 * Pure; not thread safe. Instants must not decrease.
 */
class request_quarantine
{
public:
    static request_quarantine make(const quarantine_settings &settings);

    /// Records that @p instance ended an attempt of the request without a complete answer, though it may have run it. Returns the
    /// report for the other entries if the instance is known to have crashed; otherwise the interruption stays pending.
    /// @p ran: the time since the attempt was sent.
    std::optional<crash_report> noteInterrupted(instant now, const upstream_instance &instance, const request_fingerprints &request, duration ran = {});
    /// Records that @p instance is silent, so that only the end of its registration will show a crash. Returns a report for each pending
    /// interruption there, from which the other entries can conclude if this one restarts.
    std::vector<open_attempt> noteSilent(instant now, const upstream_instance &instance);
    /// Records that an attempt of the request begins at @p instance. Returns the report for the other entries if earlier attempts of it met
    /// crashes or silent upstreams, so that this one should be known from the start.
    std::optional<open_attempt> noteStarted(instant now, const upstream_instance &instance, const request_fingerprints &request);
    /// Records that @p instance has answered an attempt of the request, so the attempt is no longer in flight.
    void noteAnswered(const upstream_instance &instance, std::uint64_t fingerprint);
    /// Records that @p instance has crashed. Returns a report for each pending interruption that this explains.
    std::vector<crash_report> noteCrashed(instant now, const upstream_instance &instance);
    /// Records that a new instance of an upstream has started, so an earlier one of the same id has crashed. Returns as above.
    std::vector<crash_report> noteRestarted(instant now, const upstream_instance &started);
    /// Records that @p instance was alive at @p aliveAt, so it hasn't caused its interruptions before that by crashing.
    void noteAlive(instant aliveAt, const upstream_instance &instance);
    /// Records that an upstream answered the request with success. Returns a report for the other entries if it was a suspect.
    std::optional<crash_report> noteCompleted(instant now, std::uint64_t fingerprint);
    /// Processes a report of another entry.
    void onReport(instant now, const crash_report &report);
    /// Processes a report of another entry on an attempt that it may forget.
    void onOpenAttempt(instant now, const open_attempt &report);
    /// Returns the upstreams with an open attempt.
    std::vector<upstream_instance> silentInstances() const;

    /// Returns the requests whose quarantine has begun since the last call.
    std::vector<started_quarantine> takeStarted();
    /// Returns what this entry has observed itself, the newest first and at most @p limit reports, to be recorded where a restart doesn't lose
    /// it; and the requests that were cleared of several crashes, since the records of other entries may still hold these.
    crash_evidence observations(instant now, std::size_t limit) const;
    /// Takes over what this entry had recorded before it restarted.
    void restore(instant now, const crash_evidence &recorded);
    /// Decides on a new request. An admitted trial counts as begun.
    quarantine_admission admit(instant now, std::uint64_t fingerprint);
    /// Returns for how much longer the request must not be sent to an upstream; zero if it may be. @p isTrial: it was admitted as a trial.
    duration quarantinedFor(instant now, std::uint64_t fingerprint, bool isTrial = false);
    /// Sets how long after the last of too many crashes this entry admits trials. It differs between entries, so that the first ones'
    /// results are known to the others.
    void setTrialDelay(duration delay) noexcept
    {
        m_trialDelay = delay;
    }
    /// Returns the number of known crashes with the request in flight.
    std::uint32_t crashesOf(std::uint64_t fingerprint) const;
    /// Returns the reports on all suspects of the newest crashes, at most @p limit, for an entry that has missed them.
    std::vector<crash_report> suspectReports(instant now, std::size_t limit) const;
    /// Returns reports on the requests that were cleared last, at most @p limit, for an entry that has missed them.
    /// @p onlyRecorded: only those that observations() has.
    std::vector<crash_report> clearedReports(instant now, std::size_t limit, bool onlyRecorded = false) const;
    /// Returns the open attempts, for an entry that has missed them.
    std::vector<open_attempt> openAttempts(instant now) const;
    /// Returns the known crashes.
    const std::deque<known_crash> &crashes() const noexcept
    {
        return m_crashes;
    }
    /// Returns a crash for each upstream that is silent with attempts in flight. Some of these upstreams may be out of reach only.
    std::deque<known_crash> presumedCrashes() const;
    /// Sets the crashes that don't count against requests, since they are explained by parts of prompts.
    void setExplainedByParts(const std::set<crash_identity> &explained);
    /// Returns the number of quarantined requests.
    std::size_t size() const noexcept
    {
        return m_quarantined.size();
    }

private:
    struct pending_interruption
    {
        instant at{};
        upstream_instance instance;
        std::uint64_t fingerprint = 0;
        crash_suspect suspect;
        bool isOpen = false; ///< The upstream was silent, and the other entries know of the attempt.
    };

    /// A request that is sent as a trial only.
    struct held_request
    {
        instant since{}; ///< The last of the crashes that led to it.
        instant until{};
    };
    struct clearance
    {
        instant at{}; ///< Crashes up to this time don't count against the request.
        /// The request was cleared of several crashes by an answer here, or one of them was recorded by this entry.
        bool isRecorded = false;
    };
    struct trial_history
    {
        instant lastAt{};
        std::uint32_t count = 0;
    };

    explicit request_quarantine(const quarantine_settings &settings);
    void expire(instant now);
    static open_attempt openReport(instant now, const pending_interruption &interruption);
    static crash_report reportOf(instant now, const known_crash &crash, std::uint64_t fingerprint, const crash_suspect &suspect);
    void addPending(const pending_interruption &interruption);
    bool isAnnounced(std::uint64_t fingerprint) const;
    bool isPending(const upstream_instance &instance, std::uint64_t fingerprint) const;
    std::size_t openCount(std::uint64_t fingerprint) const;
    known_crash *findCrash(instant at, const upstream_instance &instance);
    crash_report addSuspect(instant now, const pending_interruption &interruption);
    template<typename Matches>
    std::vector<crash_report> explainPending(instant now, Matches matches);
    bool hasRoomFor(const crash_suspect &suspect, known_crash &crash);
    void forgetCrash(std::size_t index);
    void removeSuspect(known_crash &crash, std::uint64_t fingerprint);
    void clear(instant at, std::uint64_t fingerprint, bool isOwn);
    using crash_lists = std::map<std::uint64_t, std::vector<const known_crash *>>;
    std::vector<const known_crash *> crashesByTime() const;
    void updateQuarantine();
    void noteSound(instant now, std::uint64_t fingerprint);
    void forgetSound(instant now);
    bool isSound(std::uint64_t fingerprint) const;
    bool isCandidate(std::uint64_t fingerprint) const;
    bool hasCrashedLater(std::uint64_t fingerprint, const std::vector<const known_crash *> &unexplained) const;
    void noteTrial(instant at, std::uint64_t fingerprint);
    void judge(const std::vector<std::uint64_t> &fingerprints, const crash_lists &crashesOfRequest);
    std::vector<const known_crash *> unexplainedOf(std::uint64_t fingerprint, const std::vector<const known_crash *> &crashes) const;
    bool isExplained(std::uint64_t fingerprint, const known_crash &crash) const;

    quarantine_settings m_settings;
    std::deque<pending_interruption> m_pending; ///< In order of time.
    std::deque<known_crash> m_crashes;
    std::set<crash_identity> m_explainedByParts;
    std::map<std::uint64_t, std::uint32_t> m_crashCounts; ///< Number of crashes by suspect.
    std::map<upstream_instance, instant> m_crashedInstances; ///< Crashes of the last moments, also those without a suspect.
    std::map<std::uint64_t, clearance> m_clearedAt;
    std::unordered_set<std::uint64_t> m_sound; ///< Requests that were answered completely since m_soundSince.
    std::unordered_set<std::uint64_t> m_soundBefore; ///< Those of the period before.
    instant m_soundSince{};
    std::map<std::uint64_t, instant> m_quarantined; ///< The time at which the quarantine lapses, by request.
    std::map<std::uint64_t, held_request> m_held; ///< Requests that are sent as trials only.
    std::map<std::uint64_t, trial_history> m_trials; ///< The trials of requests that are held back.
    duration m_trialDelay{};
    std::set<std::pair<std::uint64_t, bool>> m_taken; ///< What takeStarted() has returned: a request, and whether it admits trials.
};

} // namespace heatherroute
