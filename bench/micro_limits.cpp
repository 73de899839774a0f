#include "micro_fleet.h"

#include "relay/fleet_rate_limiter.h"

#include <benchmark/benchmark.h>

using namespace heatherroute;
using namespace heatherroute::bench;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kLimited = 64; ///< One upstream in a hundred of 6,400.

upstream_instance instanceOf(std::size_t index)
{
    return {"i-" + std::to_string(4'000'000'000 + index), 1'789'794'654'351};
}

} // namespace

/// A permit request, its decision at the coordinator and the reply.
static void permitRoundTrip(benchmark::State &state)
{
    instant now = instant(seconds(1'000));
    auto user = fleet_rate_limiter::make(now, {}, "front-zone-0", 1);
    auto coordinator = fleet_rate_limiter::make(now, {}, "front-zone-1", 2);
    user.setMembers(now, otherEntries());
    for (std::size_t i = 0; i < kLimited; ++i) {
        user.noteAnswer(now, instanceOf(i), now, 1'000.0);
    }
    now += seconds(2);
    std::size_t index = 0;
    std::size_t asked = 0;
    for (auto _ : state) {
        now += microseconds(100);
        const permit_decision decision = user.acquire(now, instanceOf(++index % kLimited), 1);
        if (decision.outcome == permit_outcome::Ask) {
            ++asked;
            benchmark::DoNotOptimize(user.onReply(now, coordinator.onRequest(now, decision.request)));
        }
    }
    const limit_report report{instanceOf(1), true, 3.8, 250};
    state.counters["asked"] = static_cast<double>(asked) / static_cast<double>(state.iterations());
    state.counters["request_bytes"] = bytesOf(permit_request{1, 1, report});
    state.counters["reply_bytes"] = bytesOf(permit_reply{1, 1, 30, report});
    state.counters["report_bytes"] = bytesOf(limit_reports{{report}});
}
BENCHMARK(permitRoundTrip);

/// A member is lost and comes back, with 64 limited upstreams and 339 other members.
static void limiterMembersChange(benchmark::State &state)
{
    instant now = instant(seconds(1'000));
    auto limiter = fleet_rate_limiter::make(now, {}, "front-zone-0", 1);
    const std::vector<member> all = otherEntries();
    std::vector<member> fewer(all.begin(), all.end() - 1);
    for (std::size_t i = 0; i < kLimited; ++i) {
        limiter.noteAnswer(now, instanceOf(i), now, 4.0);
    }
    for (auto _ : state) {
        limiter.setMembers(now += seconds(1), all);
        limiter.setMembers(now += seconds(1), fewer);
    }
}
BENCHMARK(limiterMembersChange);
