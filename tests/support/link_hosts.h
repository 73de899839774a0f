#pragma once

namespace heatherroute::support
{

inline constexpr const char *kSharedLinkHost = "127.0.0.9"; ///< Host of all upstreams for entries with links of their own. Nothing listens there.
inline constexpr const char *kLinkHostVariable = "HEATHERROUTE_LINK_HOST"; ///< Environment variable with the host that stands for it at one entry.

} // namespace heatherroute::support
