#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace heatherroute::bench
{

/// Runs `heatherbench control` with @p arguments; returns the exit code.
int runControlCommand(const std::vector<std::string> &arguments, std::ostream &out);

/// Runs `heatherbench demo` with @p arguments; returns the exit code.
int runDemo(const std::vector<std::string> &arguments, std::ostream &out);

/// Runs `heatherbench load` with @p arguments; returns the exit code.
int runLoad(const std::vector<std::string> &arguments, std::ostream &out);

/// Runs `heatherbench relay` with @p arguments; returns the exit code.
int runRelay(const std::vector<std::string> &arguments, std::ostream &out);

/// Runs `heatherbench soak` with @p arguments; returns the exit code.
int runSoak(const std::vector<std::string> &arguments, std::ostream &out);

} // namespace heatherroute::bench
