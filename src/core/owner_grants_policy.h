#pragma once

#include "heatherroute/placement.h"

namespace heatherroute::detail
{

/**
 * Creates the policy whose choice is meant to be confirmed by a grant of the decode engine's owner.
 *
 * The policy samples a few replicas of each kind, adds the prefill replicas with the longest cached prefix, and compares the
 * predicted latency of each pair with both targets. When no pair meets them it refuses the request before any prefill is
 * spent on it. The cost of a decision depends on the sample size and the number of zones, but not on the number of replicas.
 */
placement_policy makeOwnerGrants(const placement_settings &settings);

} // namespace heatherroute::detail
