#pragma once

#include "heatherroute/placement.h"

namespace heatherroute::detail
{

/**
 * The policy whose choice an owner then confirms by a grant.
 *
 * It draws a few replicas of each kind and the ones with the longest cached prefix, predicts each pair against both targets,
 * and refuses when none meets them, before any prefill is spent. The work per decision depends on the number drawn and on
 * the number of zones, never on the number of replicas.
 */
placement_policy makeOwnerGrants(const placement_settings &settings);

} // namespace heatherroute::detail
