#pragma once

#include "heatherroute/inventory.h"
#include "settings/map_reader.h"

#include <string>
#include <vector>

namespace heatherroute::detail
{

/**
 * A value with its location in the file, so that consistency checks can report it.
 */
template<typename Value>
struct located
{
    Value value;
    std::string path;
    int line = 0;
};

/// Reads all rules in the mapping @p node, ordered by kind and then as in the file; adds the problems found to @p problems.
std::vector<located<rule>> readRules(const YAML::Node &node, problem_list &problems);

/// Reads the kind of an upstream from the required key `kind`; empty when it is missing or invalid.
std::optional<upstream_kind> readKind(map_reader &reader);

/// Reads the name from `model` for an engine or from `service` for a plain service. When @p kind is empty, both keys are ignored.
std::string readModelOrService(map_reader &reader, std::optional<upstream_kind> kind);

} // namespace heatherroute::detail
