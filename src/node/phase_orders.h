#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "node/relay_event.h"
#include "node/relay_state.h"

namespace heatherroute::node
{

/**
 * Gives engines the orders that the phase planner asks for, while this entry holds the lease.
 *
 * An order names the number of orders that the engine has accepted so far, so one that arrives late does nothing. Belongs to
 * the relay's thread.
 */
class phase_orders
{
public:
    /// @p takeOverWait is waited from the start of a lease to the first order.
    phase_orders(relay_state &state, std::chrono::milliseconds takeOverWait);

    void setLease(const lease_term &lease);
    /// Starts the orders that are due.
    void advance(instant now);

private:
    bool mayOrder() const;
    boost::asio::awaitable<void> order(registration run, engine_phase to);

    relay_state &m_state;
    std::chrono::milliseconds m_takeOverWait;
    lease_term m_lease;
    std::set<std::string> m_pending; ///< Engines that an order is being given to.
};

} // namespace heatherroute::node
