#pragma once

#include <boost/asio/awaitable.hpp>

#include "node/relay_call.h"

namespace heatherroute::node
{

/// Serves @p call with the upstreams of a plain service and answers the caller. Precondition: call.begin() was called.
boost::asio::awaitable<void> relayPlain(relay_call &call);

} // namespace heatherroute::node
