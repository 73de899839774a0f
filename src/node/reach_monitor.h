#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/entry_reach.h"
#include "heatherroute/log_line.h"
#include "heatherroute/registration.h"
#include "relay/service_reach.h"

namespace heatherroute::node
{

/// Dependencies of a reach_monitor.
struct reach_monitor_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    std::function<std::vector<registration>(const upstream_pool &)> upstreamsOf; ///< Returns the usable upstreams of a pool.
    /// Sends a statement to the entry with the peer address, or to all other entries if it is empty.
    std::function<void(const entry_reach &, std::optional<std::string> peerAddress)> send;
    std::function<void(const registration &)> onCheckFailed; ///< An upstream could not be connected to by a check.
    std::function<void(const upstream_pool &)> onReachedAgain; ///< A pool is reached that was not.
};

/**
 * Finds out which pools of upstreams this entry reaches, and tells the other entries.
 *
 * A statement is sent to all entries three times when the pools that this entry is cut off from have changed, and to each entry that has started
 * or was out of reach. Belongs to the relay's thread and must outlive the coroutines on its executor.
 */
class reach_monitor
{
public:
    reach_monitor(boost::asio::any_io_executor executor, reach_monitor_hooks hooks, std::uint64_t incarnation);

    /// Sets where this entry takes requests from other entries, which the statements name. Empty: nowhere.
    void setAddress(std::string address);
    /// Records that a connection to @p run was established.
    void noteConnected(const registration &run);
    /// Records that an attempt to connect to @p run, begun at @p startedAt, has failed.
    void noteFailed(const registration &run, instant startedAt, bool isRefused);
    /// Whether a connection to @p run was established after @p at.
    bool hasConnectedSince(const registration &run, instant at) const;
    /// Whether this entry reaches the pool, as far as it knows. A suspected pool counts as not reached.
    bool isReached(const upstream_pool &pool) const;
    /// Whether this entry is known not to reach the pool.
    bool isCutOff(const upstream_pool &pool) const;
    /// Starts the checks and sends the statements that are due. To be called regularly.
    void advance();
    /// Sends a statement to an entry that has started or was out of reach.
    void introduceTo(const std::string &peerAddress);

private:
    void startChecks(const upstream_pool &pool);
    boost::asio::awaitable<void> check(registration run);
    void updateStatement();
    /// Checks the engines in the other phase, which requests don't try while @p pool isn't reached.
    void checkOtherPhase(const upstream_pool &pool);

    boost::asio::any_io_executor m_executor;
    reach_monitor_hooks m_hooks;
    service_reach m_reach;
    std::map<std::string, upstream_pool> m_pools; ///< Those with failed attempts, by name.
    entry_reach m_statement;
    std::set<std::string> m_cutOff; ///< As last told.
    std::uint32_t m_sendsLeft = 0; ///< Of the current statement, to all entries.
    std::map<std::string, std::uint32_t> m_introductions; ///< Sends left, by peer address.
};

} // namespace heatherroute::node
