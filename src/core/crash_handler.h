#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/core_context.h"
#include "heatherroute/crash_tracker.h"

namespace heatherroute
{

/**
 * Quarantines requests that crash upstreams, together with the other entries.
 *
 * An upstream that ends an attempt without an answer is checked, one check at a time. The configuration doesn't tell when an
 * upstream has started, so its crashes are told apart by their time. Not thread safe.
 */
class crash_handler
{
public:
    explicit crash_handler(core_context &context);

    /// Processes the failure of an attempt of the request at @p upstreamName, to which it was sent at @p sentAt.
    void onAttemptFailed(
        const std::string &upstreamName, const std::string &address, const request_fingerprints &request, instant sentAt, const attempt_failed &event);
    void onChecked(const upstream_checked &event);
    /// Whether it is being checked if @p upstreamName has ended. onChecked() gets the result.
    bool isChecking(const std::string &upstreamName) const;
    /// Records that an upstream answered the request with success.
    void onCompleted(const request_fingerprints &request);
    /// Records that an upstream has been writing an answer to the request for a while.
    void onWriting(const request_fingerprints &request);
    void onMessage(const peer_received &event);
    /// Tells a member that comes into reach about the known suspects.
    void onMember(const member_change &change);
    /// Sends due reports to all members in reach.
    void onTick();

    /// Decides on a new request.
    quarantine_admission admit(const request_fingerprints &request);
    /// Returns for how much longer a request that was admitted must not be sent to another upstream; zero if it may be.
    duration quarantinedFor(const request_fingerprints &request);

private:
    void log(const std::vector<crash_report> &reports);
    void logStarted();

    core_context &m_context;
    /// Returns the number of members in reach that precede this entry by name.
    std::size_t rank() const;

    crash_tracker m_crashes;
    std::map<member_id, std::string> m_addresses; ///< Peer addresses of the members in reach.
    std::set<std::string> m_checking; ///< Names of upstreams with a check in progress.
};

} // namespace heatherroute
