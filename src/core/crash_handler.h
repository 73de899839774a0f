#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/core_context.h"
#include "heatherroute/crash_gossip.h"
#include "heatherroute/request_quarantine.h"

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

    /// Processes the failure of an attempt of the request at @p upstreamName.
    void onAttemptFailed(const std::string &upstreamName, const std::string &address, std::uint64_t fingerprint, const attempt_failed &event);
    void onChecked(const upstream_checked &event);
    /// Records that an upstream answered the request completely.
    void onCompleted(std::uint64_t fingerprint);
    void onMessage(const peer_received &event);
    /// Tells a member that comes into reach about the known suspects.
    void onMember(const member_change &change);
    /// Sends due reports to all members in reach.
    void onTick();

    /// Returns for how much longer the request must not be sent to an upstream; zero if it may be.
    duration quarantinedFor(std::uint64_t fingerprint);

private:
    void publish(const std::vector<crash_report> &reports);
    void logStarted();

    core_context &m_context;
    request_quarantine m_quarantine;
    crash_gossip m_gossip;
    std::map<member_id, std::string> m_addresses; ///< Peer addresses of the members in reach.
    std::set<std::string> m_checking; ///< Names of upstreams with a check in progress.
};

} // namespace heatherroute
