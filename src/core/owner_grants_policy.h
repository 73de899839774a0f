#pragma once

#include "heatherroute/placement.h"

namespace heatherroute::detail
{

/**
 * Creates the owner_grants policy. The owner of the decode engine is meant to confirm its choice; these grants are not
 * implemented yet.
 *
 * The policy samples a few replicas of each kind, adds the prefill replicas with the longest cached prefix, and compares the
 * predicted latency of each pair with both targets. When no pair meets them, it samples more decode replicas once and then
 * refuses the request before any prefill is spent on it. The cost of a decision depends on the sample size and the number of
 * zones, but not on the number of replicas.
 */
placement_policy makeOwnerGrants(const placement_settings &settings);

} // namespace heatherroute::detail
