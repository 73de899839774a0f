#pragma once

#include "heatherroute/inventory.h"
#include "settings/rule_reader.h"

#include <vector>

namespace heatherroute::detail
{

/**
 * Checks between the values of one inventory file.
 *
 * Names, addresses and rule keys are unique; no name is both a model and a service; a rule in a file with upstreams speaks of
 * models and services that one of them has; no capacity floor is above what the file itself leaves active. Values that were
 * refused already are passed over.
 */
void checkInventory(const std::vector<placed<upstream>> &upstreams, const std::vector<placed<rule>> &rules, problem_list &problems);

} // namespace heatherroute::detail
