#pragma once

#include <boost/asio/awaitable.hpp>

#include "node/relay_call.h"

namespace heatherroute::node
{

/// Finds the team of @p call and charges it, if its route needs an API key. Returns whether the request may be placed; otherwise it has ended:
/// it was refused, declined, or passed to another entry. Preconditions: call.begin() was called; nothing was sent.
boost::asio::awaitable<bool> admitTeam(relay_call &call);

} // namespace heatherroute::node
