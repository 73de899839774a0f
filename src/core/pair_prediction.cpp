#include "core/pair_prediction.h"

#include <algorithm>

namespace heatherroute
{

namespace detail
{

namespace
{

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

prefill_cost prefillCost(instant now, const placement_request &request, const placement_view &view, replica_index replica, std::uint32_t hitTokens)
{
    const replica_traits &traits = view.replicas.traits(replica);
    const replica_load load = view.replicas.estimate(now, replica).value_or(replica_load{});
    const double perToken = view.rates.prefillSecondsPerToken(traits.pool, replica);
    const std::uint32_t hit = std::min(hitTokens, request.promptTokens);
    prefill_cost cost;
    cost.replica = replica;
    cost.zone = traits.zone;
    cost.hitTokens = hit;
    cost.queueAndComputeSeconds = static_cast<double>(load.queuedTokens + request.promptTokens - hit) * perToken;
    cost.unloadedSeconds = static_cast<double>(request.promptTokens) * perToken;
    cost.roundTripSeconds = view.rates.roundTripSeconds(traits.zone);
    return cost;
}

decode_cost decodeCost(const placement_view &view, replica_index replica, const replica_load &load)
{
    const replica_traits &traits = view.replicas.traits(replica);
    decode_cost cost;
    cost.replica = replica;
    cost.zone = traits.zone;
    cost.tokenIntervalSeconds = view.rates.tokenIntervalSeconds(traits.pool, replica, load.busySlots + 1);
    cost.roundTripSeconds = view.rates.roundTripSeconds(traits.zone);
    return cost;
}

placement_prediction predictPair(const prefill_cost &prefill, const decode_cost &decode, double transferSeconds)
{
    const double firstTokenSeconds =
        prefill.queueAndComputeSeconds + transferSeconds + prefill.roundTripSeconds + decode.roundTripSeconds + decode.tokenIntervalSeconds;
    return {fromSeconds(firstTokenSeconds), fromSeconds(decode.tokenIntervalSeconds)};
}

} // namespace detail

placement_prediction
predict(instant now, const placement_request &request, const placement_view &view, replica_index prefill, replica_index decode, std::uint32_t hitTokens)
{
    const replica_load load = view.replicas.estimate(now, decode).value_or(replica_load{});
    const detail::prefill_cost from = detail::prefillCost(now, request, view, prefill, hitTokens);
    const detail::decode_cost to = detail::decodeCost(view, decode, load);
    return detail::predictPair(from, to, view.rates.transferSeconds(from.zone, to.zone, request.promptTokens));
}

} // namespace heatherroute
