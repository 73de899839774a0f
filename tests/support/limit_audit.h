#pragma once

#include <functional>
#include <string>
#include <vector>

#include "standins/site_upstream.h"

namespace heatherroute::support
{

/// Returns the calls beyond the limits that upstreams named, a line for each upstream with too many of them in some four seconds. Windows
/// begin three seconds after an upstream first named a limit; for a limit that changes, the highest in a window counts.
std::vector<std::string> limitViolations(const standins::upstream_log &log);
/// As above, for the calls for which @p isCounted returns true.
std::vector<std::string> limitViolations(const standins::upstream_log &log, const std::function<bool(const standins::limited_call &)> &isCounted);

} // namespace heatherroute::support
