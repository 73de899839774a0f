#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/registration.h"
#include "node/relay_call.h"
#include "relay/request_forwarding.h"

namespace heatherroute::node
{

/// The reason for refusing a request whose upstreams neither this entry nor another known one reaches.
inline constexpr const char *kCutOffReason = "upstreams_not_reached";

/**
 * Passes requests whose upstreams this entry doesn't reach to other entries, and their answers back to the callers.
 *
 * An entry that declines a request hasn't run it, and the next one is asked. The answer of another entry is passed on unchanged. Belongs to the
 * relay's thread.
 */
class entry_forwarder
{
public:
    /// @p call must outlive the forwarder.
    entry_forwarder(relay_call &call, std::string service);

    /// Whether a request that needs @p pools should be passed on: this entry doesn't reach one of them, or has no candidate in it
    /// (@p hasCandidates), and another entry is known that may serve it. A request that came from an entry must then be declined.
    bool isNeeded(const std::vector<upstream_pool> &pools, bool hasCandidates = true) const;
    /// Passes the request on, or declines one that came from an entry. Returns whether it has ended: it was answered, may have run or was
    /// declined. Otherwise it hasn't run, and no other entry is known that could serve it. Preconditions: isNeeded(); nothing was sent to the
    /// caller; the request may be sent to one more upstream. @p mayHaveRun: the number of upstreams that may have run it.
    boost::asio::awaitable<bool> run(const std::vector<upstream_pool> &pools, std::uint32_t mayHaveRun = 0);
    /// Whether this entry is known not to reach one of @p pools.
    bool isCutOff(const std::vector<upstream_pool> &pools) const;

private:
    forwarding_question question(const std::vector<upstream_pool> &pools, bool hasCandidates) const;
    boost::asio::awaitable<void> passTo(forwarding_decision decision, std::set<std::string> pools);
    boost::asio::awaitable<bool> onHead(net::http_answer head);
    boost::asio::awaitable<void> endStreamed(const net::http_result &result);
    boost::asio::awaitable<void> endAnswered(net::http_answer answer);
    boost::asio::awaitable<void> handleFailure(const forwarding_decision &decision, const net::http_result &result);
    std::optional<duration> attemptLimit() const;
    void log(const forwarding_decision &decision, instant startedAt, const std::string &outcome) const;

    relay_call &m_call;
    relay_state &m_state;
    std::string m_service;
    std::set<std::string> m_asked; ///< Peer addresses of the entries that were asked.
    std::uint32_t m_mayHaveRunCount = 0; ///< Upstreams that may have run the request before it was passed on.
    bool m_isStreaming = false;
    bool m_isEnded = false;
};

} // namespace heatherroute::node
