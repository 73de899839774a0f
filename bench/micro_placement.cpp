#include <benchmark/benchmark.h>

#include "heatherroute/placement.h"

namespace
{

using namespace heatherroute;

constexpr zone_index kZones = 6;
constexpr pool_index kPools = 6;
constexpr std::uint32_t kReplicasPerOwner = 19;

/// The tables of a fleet with pools of prefill and decode engines in six zones.
struct fleet
{
    replica_table replicas;
    rate_estimator rates = rate_estimator::make({});
    prefix_index prefixes = prefix_index::make(32768);
    placement_random random{7};
};

/// Adds @p total replicas, two thirds of them with a random load.
void fill(fleet &target, std::uint32_t total)
{
    const std::uint32_t pools = total < 100 ? 1 : kPools;
    for (std::uint32_t index = 0; index < total; ++index) {
        const auto pool = static_cast<pool_index>((index / 2 % pools) * 2 + index % 2);
        const auto zone = static_cast<zone_index>(index / (2 * pools) % kZones);
        const replica_index replica = target.replicas.add({pool, zone, index / kReplicasPerOwner, 20, 100});
        if (index % 3 != 0) {
            const auto busy = static_cast<std::uint32_t>(randomBelow(target.random, 20));
            target.replicas.setLoad({}, replica, {busy, busy * 4, std::uint64_t{busy} * 100});
        }
        target.replicas.setSummary({index / kReplicasPerOwner, pool, zone, kReplicasPerOwner, 60, 400, 2000});
        // The blocks belong to a system prompt that all replicas share, a document that a quarter of them shares, and a prompt that only this
        // replica has.
        target.prefixes.notePlaced(replica, {1, 1000 + index % 4, 5000 + index});
    }
}

void decide(benchmark::State &state, placement_kind kind, std::uint32_t promptTokens)
{
    fleet made;
    fill(made, static_cast<std::uint32_t>(state.range(0)));
    const placement_view view{made.replicas, made.rates, made.prefixes};
    const placement_policy policy = makePlacementPolicy(kind, {});
    placement_request request;
    request.prefillPool = 0;
    request.decodePool = 1;
    request.promptTokens = promptTokens;
    request.pieces = 4;
    request.blockTokens = 512;
    request.prefixHashes = {1, 1000, 5000, 9999};
    std::uint64_t placed = 0;
    for (auto _ : state) {
        const placement_decision decision = policy({}, request, view, made.random);
        placed += std::holds_alternative<placement_pair>(decision) ? 1 : 0;
        benchmark::DoNotOptimize(placed);
    }
    state.counters["placed_share"] = static_cast<double>(placed) / static_cast<double>(state.iterations());
}

void sizes(benchmark::internal::Benchmark *bench)
{
    bench->Arg(13)->Arg(100)->Arg(800)->Arg(6400);
}

BENCHMARK_CAPTURE(decide, random, placement_kind::Random, 2000)->Apply(sizes);
BENCHMARK_CAPTURE(decide, round_robin, placement_kind::RoundRobin, 2000)->Apply(sizes);
BENCHMARK_CAPTURE(decide, two_choices, placement_kind::TwoChoices, 2000)->Apply(sizes);
BENCHMARK_CAPTURE(decide, owner_grants, placement_kind::OwnerGrants, 2000)->Apply(sizes);

/// The most expensive case: no pair meets the targets, so a second round of replicas is sampled before the refusal.
void refuse(benchmark::State &state)
{
    fleet made;
    fill(made, static_cast<std::uint32_t>(state.range(0)));
    const placement_view view{made.replicas, made.rates, made.prefixes};
    placement_settings settings;
    settings.tokenIntervalTarget = std::chrono::milliseconds(1);
    const placement_policy policy = makePlacementPolicy(placement_kind::OwnerGrants, settings);
    placement_request request;
    request.decodePool = 1;
    request.promptTokens = 2000;
    request.pieces = 4;
    for (auto _ : state) {
        placement_decision decision = policy({}, request, view, made.random);
        benchmark::DoNotOptimize(decision);
    }
}

BENCHMARK(refuse)->Apply(sizes);

} // namespace
