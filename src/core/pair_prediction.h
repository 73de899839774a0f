#pragma once

#include "heatherroute/placement.h"

namespace heatherroute::detail
{

/**
 * The contribution of one prefill replica to the prediction of a pair.
 *
 * A search combines every prefill replica with every decode replica. Values that depend on only one of them are computed
 * once per replica and kept here and in decode_cost.
 */
struct prefill_cost
{
    replica_index replica = 0;
    zone_index zone = 0;
    std::uint32_t hitTokens = 0;
    double queueAndComputeSeconds = 0.0;
    double unloadedSeconds = 0.0; ///< Prefill of the whole prompt with an empty queue and no cached prefix.
    double roundTripSeconds = 0.0;
};

/// The contribution of one decode replica to the prediction of a pair.
struct decode_cost
{
    replica_index replica = 0;
    zone_index zone = 0;
    double tokenIntervalSeconds = 0.0; ///< Token interval with one additional request.
    double roundTripSeconds = 0.0;
};

prefill_cost prefillCost(instant now, const placement_request &request, const placement_view &view, replica_index replica, std::uint32_t hitTokens);
decode_cost decodeCost(const placement_view &view, replica_index replica, const replica_load &load);
placement_prediction predictPair(const prefill_cost &prefill, const decode_cost &decode, double transferSeconds);

} // namespace heatherroute::detail
