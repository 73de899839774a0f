#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/answer_progress.h"
#include "heatherroute/crash_tracker.h"
#include "heatherroute/log_line.h"
#include "heatherroute/registration.h"
#include "net/http_client.h"
#include "relay/upstream_registry.h"

namespace heatherroute::node
{

/// Dependencies of a crash_monitor.
struct crash_monitor_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    /// Called with all that this entry has observed when that is to be recorded; without evidence when its record is to be deleted.
    std::function<void(crash_evidence)> record;
    /// Whether the registration of an upstream has ended.
    std::function<bool(const upstream_instance &)> isGone;
};

/**
 * Finds out which upstreams crashed with which requests in flight, and has requests quarantined together with the other entries.
 *
 * An upstream whose connection ends early, or that sends nothing for a while, is checked by a connection to its port, at most one at a time
 * for each instance; the registry's changes show the other crashes. Attempts at upstreams that don't answer this check are reported to the
 * other entries and recorded, since this entry may restart before their crash shows. Belongs to the relay's thread and must outlive the
 * coroutines on its executor.
 */
class crash_monitor
{
public:
    crash_monitor(boost::asio::any_io_executor executor, crash_monitor_hooks hooks);

    /// Records that an attempt passes the request on to @p run, and returns the attempt's number.
    std::uint64_t beginAttempt(const registration &run, const request_fingerprints &request);
    /// Records that the upstream has sent something for an attempt.
    void noteProgress(std::uint64_t attempt);
    /// Records how an attempt ended. @p endedHere: the caller or this entry ended it, which says nothing about the upstream.
    void endAttempt(std::uint64_t attempt, const net::http_result &result, bool endedHere);
    /// Checks upstreams that have sent nothing for a while, and looks for the end of those that were silent. To be called regularly.
    void advance();
    /// Records that @p run refused a connection.
    void noteRefused(const registration &run);
    /// Records that an upstream answered the request with success.
    void noteCompleted(const request_fingerprints &request);
    /// Processes a change of the registry.
    void onUpstreamChange(const registration &run, upstream_change change);
    /// Processes the reports of another entry.
    void onMessage(const crash_message &message);
    /// Processes a record in the store, @p isOwn if it is of this entry before it restarted.
    void onRecord(const crash_evidence &evidence, bool isOwn);
    /// Records all observations again, since their record was lost.
    void recordAgain();
    /// Returns the messages to send to all other entries now.
    std::vector<crash_message> dueMessages();
    /// Returns the messages that tell an entry about the suspects that it doesn't know.
    std::vector<crash_message> introduction() const;

    /// Sets the number of live entries that precede this one by name.
    void setRank(std::size_t rank) noexcept;
    /// Decides on a new request.
    quarantine_admission admit(const request_fingerprints &request);
    /// Returns for how much longer a request that was admitted must not be sent to an upstream; zero if it may be. @p isTrial: as admit()
    /// returned it, until the first attempt has ended.
    duration quarantinedFor(const request_fingerprints &request, bool isTrial = false);
    /// Finds out whether @p run has crashed, if the request is already a suspect. To be awaited before its next attempt.
    boost::asio::awaitable<void> checkBeforeRetry(registration run, std::uint64_t fingerprint);

private:
    /// An attempt in progress.
    struct running_attempt
    {
        registration run;
        request_fingerprints request;
        instant sentAt{};
        instant lastProgress{};
        answer_progress answer;
    };

    void checkIfDue(const registration &run);
    /// Adds the attempts in progress at @p instance to the interruptions that its crash would explain.
    void interruptStalled(const upstream_instance &instance);
    boost::asio::awaitable<void> check(registration run);
    boost::asio::awaitable<void> checkDetached(registration run);
    void log(const std::vector<crash_report> &reports);
    /// Logs the quarantines that have begun.
    void announceChanges();
    void recordObservations();

    boost::asio::any_io_executor m_executor;
    crash_monitor_hooks m_hooks;
    crash_tracker m_crashes;
    std::map<std::uint64_t, running_attempt> m_attempts; ///< By number.
    std::uint64_t m_lastAttempt = 0;
    std::map<upstream_instance, instant> m_silenceChecks; ///< When an upstream was last checked because it sent nothing.
    std::set<observation_key> m_recorded; ///< What the record of this entry holds.
    instant m_recordedAt{};
    std::set<upstream_instance> m_checking;
    std::set<upstream_instance> m_interruptedMeanwhile; ///< Interrupted a request since the check in progress began.
};

} // namespace heatherroute::node
