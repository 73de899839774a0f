#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "heatherroute/registration.h"
#include "relay/fleet_rate_limiter.h"
#include "relay/platform_dialect.h"

namespace heatherroute::node
{

/// Dependencies of an upstream_permits.
struct upstream_permits_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    /// Sends a message to the entry with the peer address, or to all other entries if it is empty.
    std::function<void(rate_limit_message message, std::optional<std::string> peerAddress)> send;
    std::function<void(const std::string &outcome)> count; ///< Counts a request for permits by its outcome.
};

/**
 * Obtains the permits that calls to upstreams with a limit need, from this entry or the coordinator of the upstream.
 *
 * Calls to other upstreams need none, and cost nothing here. Belongs to the relay's thread and must outlive the coroutines on its
 * executor.
 */
class upstream_permits
{
public:
    upstream_permits(boost::asio::any_io_executor executor, upstream_permits_hooks hooks, const std::string &entryName, std::uint64_t seed);

    /// Obtains @p permits for calls to @p run, if it has a limit. Waits for the coordinator's reply for a short time. Returns false when there
    /// are none; waitFor() then isn't zero for a while.
    boost::asio::awaitable<bool> acquire(registration run, std::uint32_t permits);
    /// Returns permits that were obtained and not used.
    void giveBack(const registration &run, std::uint32_t permits);
    /// Whether calls to @p run need permits.
    bool isLimited(const registration &run) const;
    /// Returns the time until a permit for @p run may be available; zero if there may be one now.
    duration waitFor(const registration &run) const;
    /// Returns when a caller that is refused because all of @p runs are at their limits should come back, so that the returns of all callers
    /// are spread at the rate of the limits. Zero without any run.
    duration nextReturn(const std::string &service, const std::vector<registration> &runs);

    /// Records what the answer of @p run to a call that was sent at @p sentAt says about its limit. @p mayEnd: an answer that names none ends
    /// the limit; false for answers to the router's own calls.
    void noteAnswer(const registration &run, instant sentAt, const answer_facts &facts, bool mayEnd);
    /// Processes a change of the registry: a limit belongs to one instance.
    void noteInstance(const registration &run);
    /// Records that the registration of an upstream has ended.
    void noteRemoved(const std::string &id);
    void setMembers(const std::vector<member> &others);
    /// Processes a message of the entry with the peer address @p from.
    void onMessage(const std::string &from, const rate_limit_message &message);
    /// Sends the reports that are due. To be called regularly.
    void advance();
    /// Sends what is known to an entry that has started or was out of reach.
    void introduceTo(const std::string &peerAddress);
    /// Hands the upstreams that this entry coordinates to others, since it stops.
    void stop();

private:
    /// A request for permits that waits for the coordinator's reply.
    struct waiting_request
    {
        boost::asio::steady_timer *timer = nullptr;
        std::optional<bool> granted;
    };

    void logLimit(const std::string &id, limit_change change, const std::string &source);

    boost::asio::any_io_executor m_executor;
    upstream_permits_hooks m_hooks;
    fleet_rate_limiter m_limiter;
    std::map<std::uint32_t, waiting_request> m_waiting; ///< By number.
    std::map<std::string, std::string> m_malformed; ///< The last malformed limit of an upstream, by id, so that each is logged once.
};

} // namespace heatherroute::node
