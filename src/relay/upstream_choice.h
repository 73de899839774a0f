#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/registration.h"

namespace heatherroute
{

/// An upstream that could serve a request, with its weight and load.
struct upstream_candidate
{
    const registration *run = nullptr;
    double weight = 1.0; ///< Relative share of work that it should get.
    double load = 0.0; ///< Work of this entry in progress there, in any unit that is the same for all candidates.
};

/// Candidates with less weight come last, so they get work only when no other candidate takes it.
inline constexpr double kMinUsableWeight = 0.05;

/**
 * Returns the candidates in the order in which to try them.
 *
 * Load pattern: many entries choose among the same few upstreams without knowing each other's choices. The order is by own
 * load plus one, divided by weight, so that the weight also counts without load. Ties are broken at random, so that the
 * entries don't all choose the first one. Candidates with a weight near zero come last. Thread safe, except for @p random.
 */
std::vector<const registration *> orderCandidates(const std::vector<upstream_candidate> &candidates, std::mt19937_64 &random);

} // namespace heatherroute
