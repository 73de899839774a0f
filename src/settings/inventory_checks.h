#pragma once

#include "heatherroute/inventory.h"
#include "settings/rule_reader.h"

#include <vector>

namespace heatherroute::detail
{

/**
 * Checks the values of one inventory file for consistency and adds the problems found to @p problems.
 *
 * Names, addresses and rule keys must be unique, and no name may be both a model and a service. When the file has upstreams,
 * each rule must name a model or service that one of them serves, and each capacity floor must not exceed the number of active
 * upstreams in the file. Values that have already been rejected are skipped.
 */
void checkInventory(const std::vector<located<upstream>> &upstreams, const std::vector<located<rule>> &rules, problem_list &problems);

} // namespace heatherroute::detail
