#pragma once

#include "net/http_client.h"

namespace heatherroute::control
{

/// Performs @p call and waits for its end. Thread safe. For tools that do one thing at a time.
net::http_result callAndWait(net::http_call call);

} // namespace heatherroute::control
