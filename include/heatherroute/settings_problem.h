#pragma once

#include <compare>
#include <string>

namespace heatherroute
{

/**
 * A problem in a settings or inventory file.
 *
 * Readers collect all problems of a file before they fail, so that one check shows everything that has to be corrected.
 * Safe to copy and to read from several threads.
 */
struct settings_problem
{
    std::string file;
    int line = 0; ///< The line number, starting at 1.
    std::string key; ///< The path of the key, such as `limits.max_body_bytes` or `upstreams[2].slots`; empty when the problem concerns the whole file.
    std::string message; ///< What is wrong and what is accepted.

    auto operator<=>(const settings_problem &) const = default;
};

/// Formats @p problem as `file:line: key: message`. Thread safe.
std::string toString(const settings_problem &problem);

} // namespace heatherroute
