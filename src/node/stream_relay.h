#pragma once

#include <boost/asio/awaitable.hpp>

#include "node/relay_call.h"

namespace heatherroute::node
{

/**
 * Serves @p call, a generation, by prefill and decode engines and streams the answer to its caller.
 *
 * Memory of a decode engine is reserved first, then a prefill engine computes the prompt's KV cache, then the decode engine
 * fetches it and generates. What was reserved or computed is given back when the request ends early. Precondition:
 * call.begin() was called.
 */
boost::asio::awaitable<void> relayStream(relay_call &call);

} // namespace heatherroute::node
