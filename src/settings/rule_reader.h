#pragma once

#include "heatherroute/inventory.h"
#include "settings/map_reader.h"

#include <string>
#include <vector>

namespace heatherroute::detail
{

/**
 * A value with the place in the file that it came from, for the checks between values.
 */
template<typename Value>
struct placed
{
    Value value;
    std::string path;
    int line = 0;
};

/// All rules in the mapping @p node, in the order of the file; faults are added to @p problems.
std::vector<placed<rule>> readRules(const YAML::Node &node, problem_list &problems);

/// The kind of an upstream from the required key `kind`.
std::optional<upstream_kind> readKind(map_reader &reader);

/// The name in `model` for an engine and in `service` for a plain service; for an unknown kind both keys are ignored.
std::string readModelOrService(map_reader &reader, std::optional<upstream_kind> kind);

} // namespace heatherroute::detail
