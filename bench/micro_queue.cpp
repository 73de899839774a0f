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

/// Distribution of changes over upstreams.
enum class key_skew {
    Even, ///< All upstreams are equally likely.
    Hot, ///< Nine in ten changes touch the same 64 upstreams, as when a site is being moved.
    Flapping, ///< All changes touch four upstreams, as when they are switched on and off repeatedly.
};

/// Generates changes of one upstream each, as they are appended to the log.
class change_stream
{
public:
    explicit change_stream(key_skew skew)
        : m_random(kSeed)
        , m_skew(skew)
    {
        config_change initial;
        initial.publishId = "first";
        for (std::size_t i = 0; i < kUpstreams; ++i) {
            initial.upserts.push_back(makeUpstream(i, 20));
        }
        m_state.apply(0, initial);
    }

    const config_state &initialState() const noexcept
    {
        return m_state;
    }

    config_change next()
    {
        ++m_number;
        config_change change;
        change.publishId = "publish-000000000000-" + std::to_string(m_number);
        change.operatorName = "operator";
        // The base is the offset of the previous change, so no change is rejected as a conflict.
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

/// The updates that a peer missed while it was frozen, and the time that the peer needs to apply them.
struct backlog
{
    std::size_t records = 0;
    std::size_t bytes = 0;
    duration catchUpTime{};
};

duration timeOf(const std::function<void()> &work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begin);
}

/// The sender queues updates for the frozen peer: either all of them, or without those that a newer update makes obsolete.
backlog catchUpFromQueue(key_skew skew, std::size_t changes, bool dropsObsolete)
{
    change_stream stream(skew);
    config_state state = stream.initialState();
    const auto alwaysObsolete = [](const queued_change &, const queued_change &) { return true; };
    update_queue<std::string, queued_change> queue(changes,
                                                   dropsObsolete ? update_queue<std::string, queued_change>::obsolescence_policy(alwaysObsolete) : nullptr);
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
    result.catchUpTime = timeOf([&] {
        for (const queued_change &change : received) {
            while (state.next() < change.offset) {
                state.skip(state.next());
            }
            const auto record = decodeRecord(change.text);
            benchmark::DoNotOptimize(state.apply(change.offset, std::get<config_change>(*record)));
        }
    });
    return result;
}

/// The sender has no queue. The peer requests the records from its offset on, and gets them from the sender's window of recent records, or
/// the whole state when that window doesn't reach back far enough.
backlog catchUpFromOffsets(key_skew skew, std::size_t changes)
{
    const instant now{std::chrono::hours(1)};
    change_stream stream(skew);
    const auto current = config_replica::make({}, 1);
    const auto frozen = config_replica::make({}, 2);
    const peer_transfer first{{}, encodeRecord(stream.initialState().snapshot())};
    current->onPeerTransfer(now, first);
    frozen->onPeerTransfer(now, first);
    for (std::size_t i = 0; i < changes; ++i) {
        const log_offset offset = current->state().next();
        current->onLogRead(now, now, {0, offset + 1, {{offset, encodeRecord(stream.next())}}});
    }
    const peer_transfer transfer = current->transferFor({frozen->state().next(), false});
    backlog result;
    result.records = transfer.records.size() + (transfer.snapshot ? 1 : 0);
    result.bytes = transfer.snapshot ? transfer.snapshot->size() : 0;
    for (const transferred_record &record : transfer.records) {
        result.bytes += record.text ? record.text->size() : 0;
    }
    result.catchUpTime = timeOf([&] { frozen->onPeerTransfer(now, transfer); });
    HR_ASSERT(frozen->state().digest() == current->state().digest());
    return result;
}

enum class catch_up_method : std::int64_t {
    PlainQueue,
    DroppingQueue,
    Offsets,
};

/// Arguments: catch_up_method, key_skew, number of changes while the peer is frozen.
void frozenPeer(benchmark::State &bench)
{
    const auto method = static_cast<catch_up_method>(bench.range(0));
    const auto skew = static_cast<key_skew>(bench.range(1));
    const auto changes = static_cast<std::size_t>(bench.range(2));
    backlog result;
    for (auto unused : bench) {
        result =
            method == catch_up_method::Offsets ? catchUpFromOffsets(skew, changes) : catchUpFromQueue(skew, changes, method == catch_up_method::DroppingQueue);
    }
    constexpr const char *kMethodNames[] = {"plain queue", "dropping queue", "offsets"};
    constexpr const char *kSkewNames[] = {"even", "hot", "flapping"};
    bench.SetLabel(std::string(kMethodNames[bench.range(0)]) + ", " + kSkewNames[bench.range(1)]);
    bench.counters["records"] = static_cast<double>(result.records);
    bench.counters["bytes"] = static_cast<double>(result.bytes);
    bench.counters["catch_up_ms"] = std::chrono::duration<double, std::milli>(result.catchUpTime).count();
    bench.counters["frozen_s_at_daily_rate"] = static_cast<double>(changes) / (kChangesPerDay / kSecondsPerDay);
}

} // namespace

// At 23,000 changes a day there are 3 in 10 s, 16 in a minute and 959 in an hour; at the log's append limit there are 4,000 in 10 s.
BENCHMARK(frozenPeer)->ArgsProduct({{0, 1, 2}, {0, 1, 2}, {3, 16, 959, 4000, 23000}})->Iterations(1)->Unit(benchmark::kMillisecond);
