#include "heatherroute/config_replica.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

using namespace heatherroute;

namespace
{

std::string addressOf(std::uint64_t number)
{
    return "10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "." + std::to_string(number % 256) + ":8000";
}

upstream makeUpstream(std::uint64_t number)
{
    upstream value;
    value.name = "decode-" + std::to_string(number);
    value.address = addressOf(number);
    value.zone = "hai-chau";
    value.half = number % 2 == 0 ? "north" : "south";
    value.kind = upstream_kind::DecodeEngine;
    value.modelOrService = "audit-large";
    value.slots = 20;
    value.pieces = 900;
    value.pieceTokens = 2048;
    return value;
}

config_change makeChange(std::uint64_t number, upstream value)
{
    config_change change;
    change.publishId = "publish-000000000000-" + std::to_string(number);
    change.operatorName = "operator";
    change.half = value.half;
    change.upserts = {std::move(value)};
    return change;
}

/// Returns a state whose @p count upstreams come from one record, and which remembers as many publications as it can.
config_state makeState(std::uint64_t count)
{
    config_change all;
    all.publishId = "first";
    for (std::uint64_t i = 0; i < count; ++i) {
        all.upserts.push_back(makeUpstream(i));
    }
    config_state state;
    state.apply(0, all);
    for (std::uint64_t i = 0; i < kRememberedPublishOffsets; ++i) {
        config_change change = makeChange(i, makeUpstream(i % count));
        change.baseRevision = state.revision();
        state.apply(state.next(), change);
    }
    return state;
}

void applyChange(benchmark::State &bench)
{
    const auto count = static_cast<std::uint64_t>(bench.range(0));
    config_state state = makeState(count);
    std::uint64_t number = kRememberedPublishOffsets;
    for (auto _ : bench) {
        ++number;
        config_change change = makeChange(number, makeUpstream(number * 7919 % count));
        change.baseRevision = state.revision();
        benchmark::DoNotOptimize(state.apply(state.next(), change));
    }
}
BENCHMARK(applyChange)->Arg(100)->Arg(1600)->Arg(6400);

void decodeAndApplyChange(benchmark::State &bench)
{
    const auto count = static_cast<std::uint64_t>(bench.range(0));
    config_state state = makeState(count);
    std::uint64_t number = kRememberedPublishOffsets;
    std::size_t bytes = 0;
    for (auto _ : bench) {
        ++number;
        config_change change = makeChange(number, makeUpstream(number * 7919 % count));
        change.baseRevision = state.revision();
        const std::string text = encodeRecord(change);
        bytes = text.size();
        const std::optional<config_record> record = decodeRecord(text);
        benchmark::DoNotOptimize(state.apply(state.next(), std::get<config_change>(*record)));
    }
    bench.counters["record_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(decodeAndApplyChange)->Arg(6400);

void encodeSnapshot(benchmark::State &bench)
{
    const config_state state = makeState(static_cast<std::uint64_t>(bench.range(0)));
    std::size_t bytes = 0;
    for (auto _ : bench) {
        bytes = encodeRecord(state.snapshot()).size();
    }
    bench.counters["snapshot_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeSnapshot)->Arg(100)->Arg(6400)->Unit(benchmark::kMillisecond);

void adoptSnapshot(benchmark::State &bench)
{
    const std::string text = encodeRecord(makeState(static_cast<std::uint64_t>(bench.range(0))).snapshot());
    for (auto _ : bench) {
        const std::optional<config_record> record = decodeRecord(text);
        benchmark::DoNotOptimize(config_state::make(std::get<config_snapshot>(*record)));
    }
}
BENCHMARK(adoptSnapshot)->Arg(6400)->Unit(benchmark::kMillisecond);

std::size_t heapInUse()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/// Heap bytes of a state, reported as a counter; the time is that of building the state.
void stateMemory(benchmark::State &bench)
{
    const auto count = static_cast<std::uint64_t>(bench.range(0));
    std::size_t bytes = 0;
    for (auto _ : bench) {
        const std::size_t before = heapInUse();
        const config_state state = makeState(count);
        bytes = heapInUse() - before;
        benchmark::DoNotOptimize(state.digest());
    }
    bench.counters["heap_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(stateMemory)->Arg(100)->Arg(1600)->Arg(6400)->Unit(benchmark::kMillisecond);

} // namespace
