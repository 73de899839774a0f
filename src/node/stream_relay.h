#pragma once

#include <boost/asio/awaitable.hpp>

#include "node/relay_call.h"

namespace heatherroute::node
{

/**
 * Serves @p call, a generation, with prefill and decode engines and streams the answer to the caller.
 *
 * First, memory is reserved on a decode engine. Then a prefill engine computes the KV cache of the prompt. Then the decode engine
 * fetches the cache and generates. Without a usable prefill engine the decode engine also computes the cache. The reservation and the
 * KV cache are released when the request ends early. Precondition: call.begin() was called.
 */
boost::asio::awaitable<void> relayStream(relay_call &call);

} // namespace heatherroute::node
