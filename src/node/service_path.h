#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "heatherroute/last_reason.h"

namespace heatherroute::node
{

/**
 * Returns the path @p target, including its query, in the normal form that rules are compared with.
 *
 * Rules decide by path prefix which calls may be retried, so two spellings of a path must not match different rules. Escapes of
 * unreserved characters are decoded and other escapes are written in upper case (RFC 3986, 6.2.2). Empty segments except the last
 * one, `.` and `..` segments, escaped or plain backslashes, escaped slashes and malformed escapes are rejected rather than resolved,
 * because services interpret them differently. The query is not changed. Returns empty and sets @p reason when the path is rejected.
 * Thread safe.
 */
std::optional<std::string> normalizeTarget(std::string_view target, last_reason *reason);

} // namespace heatherroute::node
