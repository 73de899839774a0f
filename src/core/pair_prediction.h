#pragma once

#include "heatherroute/placement.h"

namespace heatherroute::detail
{

/**
 * What one replica adds to the prediction of a pair.
 *
 * A search weighs each prefill with each decode replica; what depends on one of them alone is looked up once.
 */
struct prefill_cost
{
    replica_index replica = 0;
    zone_index zone = 0;
    std::uint32_t hitTokens = 0;
    double queueAndComputeSeconds = 0.0;
    double unloadedSeconds = 0.0; ///< The whole prompt without queue or cache.
    double roundTripSeconds = 0.0;
};

struct decode_cost
{
    replica_index replica = 0;
    zone_index zone = 0;
    double paceSeconds = 0.0; ///< With one request more.
    double roundTripSeconds = 0.0;
};

prefill_cost prefillCost(instant now, const placement_request &request, const placement_view &view, replica_index replica, std::uint32_t hitTokens);
decode_cost decodeCost(const placement_view &view, replica_index replica, const replica_load &load);
placement_prediction predictPair(const prefill_cost &prefill, const decode_cost &decode, double transferSeconds);

} // namespace heatherroute::detail
