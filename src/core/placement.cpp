#include "heatherroute/placement.h"

#include "core/owner_grants_policy.h"

namespace heatherroute
{

namespace
{

constexpr duration kBaselineRetryAfter = std::chrono::milliseconds(500);

placement_decision
makePair(instant now, const placement_request &request, const placement_view &view, std::optional<replica_index> prefill, std::optional<replica_index> decode)
{
    if (!prefill || !decode) {
        return placement_refusal{placement_failure::NoReplica, kBaselineRetryAfter};
    }
    placement_pair pair;
    pair.prefill = *prefill;
    pair.decode = *decode;
    pair.prediction = predict(now, request, view, *prefill, *decode, 0);
    return pair;
}

placement_policy makeRandom()
{
    return [](instant now, const placement_request &request, const placement_view &view, placement_random &random) {
        const auto prefill = view.replicas.sampleUniform(request.prefillPool, random);
        const auto decode = view.replicas.sampleUniform(request.decodePool, random);
        return makePair(now, request, view, prefill, decode);
    };
}

std::optional<replica_index> memberAtTurn(const std::vector<replica_index> &members, std::uint64_t turn)
{
    if (members.empty()) {
        return std::nullopt;
    }
    return members[turn % members.size()];
}

placement_policy makeRoundRobin()
{
    return [turn = std::uint64_t{0}](instant now, const placement_request &request, const placement_view &view, placement_random &) mutable {
        ++turn;
        return makePair(
            now, request, view, memberAtTurn(view.replicas.members(request.prefillPool), turn), memberAtTurn(view.replicas.members(request.decodePool), turn));
    };
}

/// Returns the less loaded of two random replicas (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
template<typename Load>
std::optional<replica_index> lessLoadedOfTwo(pool_index pool, const placement_view &view, placement_random &random, const Load &load)
{
    const auto first = view.replicas.sampleUniform(pool, random);
    const auto second = view.replicas.sampleUniform(pool, random);
    if (!first || !second) {
        return first ? first : second;
    }
    return load(*second) < load(*first) ? second : first;
}

placement_policy makeTwoChoices()
{
    return [](instant now, const placement_request &request, const placement_view &view, placement_random &random) {
        const auto queued = [&](replica_index replica) { return view.replicas.estimate(now, replica).value_or(replica_load{}).queuedTokens; };
        const auto busy = [&](replica_index replica) { return view.replicas.estimate(now, replica).value_or(replica_load{}).busySlots; };
        const auto prefill = lessLoadedOfTwo(request.prefillPool, view, random, queued);
        const auto decode = lessLoadedOfTwo(request.decodePool, view, random, busy);
        return makePair(now, request, view, prefill, decode);
    };
}

} // namespace

std::string_view toString(placement_failure value) noexcept
{
    switch (value) {
    case placement_failure::NoReplica:
        return "no_replica";
    case placement_failure::NoRoom:
        return "no_room";
    case placement_failure::TooSlow:
        return "too_slow";
    }
    return "no_replica";
}

placement_policy makePlacementPolicy(placement_kind kind, const placement_settings &settings)
{
    switch (kind) {
    case placement_kind::Random:
        return makeRandom();
    case placement_kind::RoundRobin:
        return makeRoundRobin();
    case placement_kind::TwoChoices:
        return makeTwoChoices();
    case placement_kind::OwnerGrants:
        break;
    }
    return detail::makeOwnerGrants(settings);
}

} // namespace heatherroute
