#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "heatherroute/crash_gossip.h"
#include "heatherroute/log_line.h"
#include "heatherroute/registration.h"
#include "heatherroute/request_quarantine.h"
#include "net/http_client.h"
#include "relay/upstream_registry.h"

namespace heatherroute::node
{

/// Dependencies of a crash_monitor.
struct crash_monitor_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    /// Called when crashes under a request are to be recorded, with all reports on it; without reports when an upstream has answered the
    /// request, so that its record is to be deleted.
    std::function<void(std::uint64_t fingerprint, std::vector<crash_report>)> record;
};

/**
 * Finds out which upstreams crashed with which requests in flight, and quarantines requests with the other entries.
 *
 * An upstream whose connection ends early is checked by a connection to its port, at most one at a time for each instance; the
 * registry's changes show the other crashes. Belongs to the relay's thread and must outlive the coroutines on its executor.
 */
class crash_monitor
{
public:
    crash_monitor(boost::asio::any_io_executor executor, crash_monitor_hooks hooks);

    /// Records how an attempt that passed the request on to @p run ended, unless the caller or this entry ended it.
    void noteAttempt(const registration &run, std::uint64_t fingerprint, const net::http_result &result);
    /// Records that @p run refused a connection.
    void noteRefused(const registration &run);
    /// Records that an upstream answered the request completely.
    void noteCompleted(std::uint64_t fingerprint);
    /// Processes a change of the registry.
    void onUpstreamChange(const registration &run, upstream_change change);
    /// Processes the reports of another entry.
    void onReports(const crash_reports &message);
    /// Records all crashes again, since their records were lost.
    void recordAgain();
    /// Returns the messages to send to all other entries now.
    std::vector<crash_reports> dueMessages();
    /// Returns the messages that tell an entry about the suspects that it doesn't know.
    std::vector<crash_reports> introduction() const;

    /// Returns for how much longer the request must not be sent to an upstream; zero if it may be.
    duration quarantinedFor(std::uint64_t fingerprint);
    /// Finds out whether @p run has crashed, if the request is already a suspect. To be awaited before its next attempt.
    boost::asio::awaitable<void> checkBeforeRetry(registration run, std::uint64_t fingerprint);

private:
    boost::asio::awaitable<void> check(registration run);
    boost::asio::awaitable<void> checkDetached(registration run);
    void publish(const std::vector<crash_report> &reports);
    /// Logs the quarantines that have begun, and has crashes recorded.
    void announceChanges();

    boost::asio::any_io_executor m_executor;
    crash_monitor_hooks m_hooks;
    request_quarantine m_quarantine;
    crash_gossip m_gossip;
    std::set<upstream_instance> m_checking;
    std::set<upstream_instance> m_interruptedMeanwhile; ///< Interrupted a request since the check in progress began.
};

} // namespace heatherroute::node
