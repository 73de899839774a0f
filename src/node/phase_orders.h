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
 * Sends the phase changes that the phase planner decides on to the engines, while this entry holds the lease.
 *
 * An order carries the number of orders that the engine had accepted before it, so the engine ignores an order that arrives
 * late. Belongs to the relay's thread.
 */
class phase_orders
{
public:
    /// @p takeoverDelay is the delay between acquiring the lease and the first order, during which late orders of the previous
    /// holder may still arrive.
    phase_orders(relay_state &state, std::chrono::milliseconds takeoverDelay);

    /// Sets this entry's current lease term, which decides whether orders may be sent.
    void setLease(const lease_term &lease);
    /// Starts the phase changes that are due. Without the right to send orders, or while an earlier order is in progress, only the
    /// planners' view of the pools is updated.
    void advance(instant now);

private:
    bool mayOrder() const;
    boost::asio::awaitable<void> sendOrder(registration run, engine_phase to);

    relay_state &m_state;
    std::chrono::milliseconds m_takeoverDelay;
    lease_term m_lease;
    std::set<std::string> m_pending; ///< Ids of the engines with an order in progress.
};

} // namespace heatherroute::node
