#pragma once

#include <cxxopts.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace heatherroute::bench
{

/// Parses a command's @p arguments, the first of which is its name. Throws what cxxopts throws for wrong ones.
inline cxxopts::ParseResult parseArguments(cxxopts::Options &options, const std::vector<std::string> &arguments)
{
    std::vector<const char *> words;
    words.reserve(arguments.size());
    std::transform(arguments.begin(), arguments.end(), std::back_inserter(words), [](const std::string &argument) { return argument.c_str(); });
    return options.parse(static_cast<int>(words.size()), words.data());
}

} // namespace heatherroute::bench
