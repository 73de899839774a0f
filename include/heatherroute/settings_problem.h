#pragma once

#include <compare>
#include <string>

namespace heatherroute
{

/**
 * One fault in a file that an operator wrote.
 *
 * Readers collect all of them before they give up, so that one check shows everything that has to be changed. Safe to
 * copy and to read from several threads.
 */
struct settings_problem
{
    std::string file;
    int line = 0; ///< Counted from 1.
    std::string key; ///< The path of the key, as `limits.max_body_bytes` or `upstreams[2].slots`; empty for the whole file.
    std::string message; ///< What is wrong and what is accepted.

    auto operator<=>(const settings_problem &) const = default;
};

/// The problem as `file:line: key: message`. Thread safe.
std::string toString(const settings_problem &problem);

} // namespace heatherroute
