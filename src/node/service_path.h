#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "heatherroute/last_reason.h"

namespace heatherroute::node
{

/**
 * The path @p target, query included, in the one form that rules are compared with.
 *
 * Rules decide by path prefix which calls may be repeated, so two spellings of a path must not fall under different rules. Escapes of
 * unreserved characters are decoded and others written in upper case (RFC 3986, 6.2.2). Empty, `.` and `..` segments, escaped or
 * plain backslashes, escaped slashes and broken escapes are refused rather than resolved, since services differ in what they make of
 * them. Empty with @p reason when refused. Thread safe.
 */
std::optional<std::string> normalTarget(std::string_view target, last_reason *reason);

} // namespace heatherroute::node
