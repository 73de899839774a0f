#pragma once

#include <cxxopts.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace heatherroute::bench
{

/// Parses the @p arguments of a command, the first of which is its name. Throws an exception of cxxopts for invalid ones.
inline cxxopts::ParseResult parseArguments(cxxopts::Options &options, const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv;
    argv.reserve(arguments.size());
    std::transform(arguments.begin(), arguments.end(), std::back_inserter(argv), [](const std::string &argument) { return argument.c_str(); });
    return options.parse(static_cast<int>(argv.size()), argv.data());
}

} // namespace heatherroute::bench
