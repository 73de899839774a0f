#include "heatherroute/config_replica.h"
#include "update_queue.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace heatherroute;

namespace
{

constexpr std::size_t kUpstreams = 6400;
constexpr double kChangesPerDay = 23'000;
constexpr double kSecondsPerDay = 86'400;
constexpr std::uint64_t kSeed = 20261204;

/// How changes spread over upstreams.
enum class key_skew {
    Even, ///< Every upstream alike.
    Hot, ///< Nine in ten changes touch the same 64 upstreams, as when a site is being moved.
    Flapping, ///< All changes touch four upstreams, as when something turns them on and off.
};

/// Changes of one upstream each, as they stand on the log.
class change_stream
{
public:
    explicit change_stream(key_skew skew)
        : m_random(kSeed)
        , m_skew(skew)
    {
        config_change all;
        all.publishId = "first";
        for (std::size_t i = 0; i < kUpstreams; ++i) {
            all.upserts.push_back(makeUpstream(i, 20));
        }
        m_state.apply(0, all);
    }

    const config_state &start() const noexcept
    {
        return m_state;
    }

    config_change next()
    {
        ++m_number;
        config_change change;
        change.publishId = "publish-000000000000-" + std::to_string(m_number);
        change.operatorName = "operator";
        change.baseRevision = m_state.next() + m_number - 2;
        change.upserts = {makeUpstream(pickKey(), 20 + m_number % 9)};
        change.half = change.upserts.front().half;
        return change;
    }

private:
    static upstream makeUpstream(std::size_t number, std::size_t slots)
    {
        upstream value;
        value.name = "decode-" + std::to_string(number);
        value.address = "10.0." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":8000";
        value.zone = "hai-chau";
        value.half = number % 2 == 0 ? "north" : "south";
        value.kind = upstream_kind::DecodeEngine;
        value.modelOrService = "audit-large";
        value.slots = static_cast<std::uint32_t>(slots);
        value.pieces = 900;
        value.pieceTokens = 2048;
        return value;
    }

    std::size_t pickKey()
    {
        constexpr std::size_t kHotKeys = 64;
        constexpr std::size_t kFlappingKeys = 4;
        if (m_skew == key_skew::Flapping) {
            return m_random() % kFlappingKeys;
        }
        const bool isHot = m_skew == key_skew::Hot && m_random() % 10 != 0;
        return m_random() % (isHot ? kHotKeys : kUpstreams);
    }

    std::mt19937_64 m_random;
    key_skew m_skew;
    config_state m_state;
    std::size_t m_number = 0;
};

struct queued_change
{
    log_offset offset = 0;
    std::string text;
};

/// What waits for a peer that stood still, and what it costs the peer to take it in.
struct backlog
{
    std::size_t records = 0;
    std::size_t bytes = 0;
    duration catchUp{};
};

duration timeOf(const std::function<void()> &work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begin);
}

/// A sender's queue for the frozen peer, plain or dropping what a newer update makes obsolete.
backlog throughQueue(key_skew skew, std::size_t changes, bool drops)
{
    change_stream stream(skew);
    config_state state = stream.start();
    const auto always = [](const queued_change &, const queued_change &) { return true; };
    update_queue<std::string, queued_change> queue(changes, drops ? update_queue<std::string, queued_change>::obsoletes(always) : nullptr);
    for (std::size_t i = 0; i < changes; ++i) {
        const config_change change = stream.next();
        queue.push(change.upserts.front().name, {state.next() + i, encodeRecord(change)});
    }
    backlog result;
    result.records = queue.size();
    std::vector<queued_change> received;
    while (auto update = queue.pop()) {
        result.bytes += update->text.size();
        received.push_back(std::move(*update));
    }
    result.catchUp = timeOf([&] {
        for (const queued_change &one : received) {
            while (state.next() < one.offset) {
                state.skip(state.next());
            }
            const auto record = decodeRecord(one.text);
            benchmark::DoNotOptimize(state.apply(one.offset, std::get<config_change>(*record)));
        }
    });
    return result;
}

/// No queue: the peer asks for what follows its offset, and gets it from the window or else as the whole state.
backlog throughOffsets(key_skew skew, std::size_t changes)
{
    const instant now{std::chrono::hours(1)};
    change_stream stream(skew);
    const auto ahead = config_replica::make({}, 1);
    const auto frozen = config_replica::make({}, 2);
    const peer_transfer first{{}, encodeRecord(stream.start().snapshot())};
    ahead->onPeerTransfer(now, first);
    frozen->onPeerTransfer(now, first);
    for (std::size_t i = 0; i < changes; ++i) {
        const log_offset offset = ahead->state().next();
        ahead->onLogRead(now, now, {0, offset + 1, {{offset, encodeRecord(stream.next())}}});
    }
    const peer_transfer transfer = ahead->answer({frozen->state().next(), false});
    backlog result;
    result.records = transfer.records.size() + (transfer.snapshot ? 1 : 0);
    result.bytes = transfer.snapshot ? transfer.snapshot->size() : 0;
    for (const passed_record &record : transfer.records) {
        result.bytes += record.text ? record.text->size() : 0;
    }
    result.catchUp = timeOf([&] { frozen->onPeerTransfer(now, transfer); });
    HR_ASSERT(frozen->state().digest() == ahead->state().digest());
    return result;
}

enum class way : std::int64_t {
    PlainQueue,
    DroppingQueue,
    Offsets,
};

/// Arguments: way, skew, changes that happen while the peer stands still.
void frozenPeer(benchmark::State &bench)
{
    const auto kind = static_cast<way>(bench.range(0));
    const auto skew = static_cast<key_skew>(bench.range(1));
    const auto changes = static_cast<std::size_t>(bench.range(2));
    backlog result;
    for (auto unused : bench) {
        result = kind == way::Offsets ? throughOffsets(skew, changes) : throughQueue(skew, changes, kind == way::DroppingQueue);
    }
    constexpr const char *kWays[] = {"plain queue", "dropping queue", "offsets"};
    constexpr const char *kSkews[] = {"even", "hot", "flapping"};
    bench.SetLabel(std::string(kWays[bench.range(0)]) + ", " + kSkews[bench.range(1)]);
    bench.counters["records"] = static_cast<double>(result.records);
    bench.counters["bytes"] = static_cast<double>(result.bytes);
    bench.counters["catch_up_ms"] = std::chrono::duration<double, std::milli>(result.catchUp).count();
    bench.counters["frozen_s_at_daily_rate"] = static_cast<double>(changes) / (kChangesPerDay / kSecondsPerDay);
}

} // namespace

// 3 changes come in 10 s at 23,000 a day, 16 in a minute, 959 in an hour; 4,000 in 10 s at the log's append limit.
BENCHMARK(frozenPeer)->ArgsProduct({{0, 1, 2}, {0, 1, 2}, {3, 16, 959, 4000, 23000}})->Iterations(1)->Unit(benchmark::kMillisecond);
