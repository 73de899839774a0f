#pragma once

#include "net/http_client.h"

namespace heatherroute::control
{

/// Performs @p call and blocks until it has finished. For command-line tools that make one call at a time. Thread safe.
net::http_result callAndWait(net::http_call call);

} // namespace heatherroute::control
