#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/registration.h"

namespace heatherroute
{

/// An upstream that could serve a request, with what is known of it.
struct upstream_candidate
{
    const registration *run = nullptr;
    double weight = 1.0; ///< The share of work it should get.
    double load = 0.0; ///< Work of this entry that it has in hand, in any unit that is the same for all.
};

/// The least weight that still gets work while any candidate has more.
inline constexpr double kUsableWeight = 0.05;

/**
 * The candidates in the order in which to try them.
 *
 * Load pattern: many entries choose among the same few upstreams without knowing of each other's choices. The order is by own
 * load over weight, equal ones at random, so that entries don't all fall on the first; candidates of next to no weight come
 * last. Thread safe apart from @p random.
 */
std::vector<const registration *> orderCandidates(const std::vector<upstream_candidate> &candidates, std::mt19937_64 &random);

} // namespace heatherroute
