#include "heatherroute/membership.h"
#include "heatherroute/ownership.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <map>
#include <random>

using namespace heatherroute;

namespace
{

constexpr std::size_t kPacketOverheadBytes = 28; // IPv4 and UDP headers.
constexpr duration kStartTime = std::chrono::seconds(60);
constexpr duration kMeasuredTime = std::chrono::seconds(30);

/// Simulated entries that exchange encoded packets; counts the bytes and packets sent and the CPU time used.
class fleet
{
public:
    explicit fleet(int count)
        : m_random(20261204)
    {
        for (int i = 0; i < count; ++i) {
            start(i, 1);
        }
    }

    void start(int index, std::uint64_t startNumber)
    {
        const std::string address = "10.0.0." + std::to_string(index) + ":7000";
        member self;
        self.id = {"entry-" + std::to_string(index), startNumber};
        self.callerAddress = address;
        self.peerAddress = address;
        self.zone = "hai-chau";
        self.region = "region-1";
        self.half = "half-1";
        node_summary summary;
        for (int i = 0; i < 6; ++i) {
            summary.freeSlotsByPool.push_back({"model-" + std::to_string(i), 20});
        }
        entry &one = m_entries[address];
        one.node = membership::make({}, self, m_random(), nullptr);
        one.wakeAt = m_now + std::chrono::milliseconds(m_random() % 400);
        deliver(one, membership_hints{{"10.0.0.0:7000", "10.0.0.1:7000"}});
        deliver(one, membership_summary{summary});
    }

    void kill(int index)
    {
        m_entries.erase("10.0.0." + std::to_string(index) + ":7000");
    }

    void run(duration time)
    {
        const instant end = m_now + time;
        while (m_now < end) {
            step();
        }
    }

    /// Number of entries that don't see exactly all other entries as alive.
    std::size_t incomplete() const
    {
        return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [this](const auto &one) {
            const auto members = one.second.node->members();
            const bool isAllAlive = std::all_of(members.begin(), members.end(), [](const member &m) { return m.state == member_state::Alive; });
            return members.size() != m_entries.size() - 1 || !isAllAlive;
        }));
    }

    bool isDeadEverywhere(const std::string &name) const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [&name](const auto &one) {
            const auto members = one.second.node->members();
            return std::none_of(members.begin(), members.end(), [&name](const member &m) { return m.id.name == name; });
        });
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

    std::uint64_t bytes = 0;
    std::uint64_t packets = 0;
    std::chrono::nanoseconds cpu{0};

private:
    struct entry
    {
        std::unique_ptr<membership> node;
        instant wakeAt;
    };

    void step()
    {
        m_now += std::chrono::milliseconds(1);
        std::vector<std::pair<std::string, std::vector<std::byte>>> arriving;
        arriving.swap(m_packets);
        for (const auto &[address, packet] : arriving) {
            const auto to = m_entries.find(address);
            if (to != m_entries.end()) {
                receive(to->second, packet);
            }
        }
        for (auto &[address, one] : m_entries) {
            if (one.wakeAt <= m_now) {
                deliver(one, membership_timer{});
            }
        }
    }

    void receive(entry &to, const std::vector<std::byte> &packet)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto message = std::get<peer_message>(decodePeerMessage(packet, kMaxDatagramBytes, 1));
        const std::string from = "10.0.0." + message.header.sender.name.substr(6) + ":7000";
        cpu += std::chrono::steady_clock::now() - begin;
        deliver(to, membership_received{from, message.header.sender, std::move(message.body)});
    }

    void deliver(entry &one, const membership_event &event)
    {
        const auto begin = std::chrono::steady_clock::now();
        membership_effects effects = one.node->handle(m_now, event);
        one.wakeAt = effects.wakeAt;
        for (membership_send &send : effects.sends) {
            auto packet = encodePeerMessage({{1, one.node->self().id, 1}, std::move(send.body)}, kMaxDatagramBytes, nullptr);
            bytes += packet->size() + kPacketOverheadBytes;
            ++packets;
            m_packets.emplace_back(send.address, std::move(*packet));
        }
        cpu += std::chrono::steady_clock::now() - begin;
    }

    std::mt19937_64 m_random;
    instant m_now = instant(std::chrono::hours(1));
    std::map<std::string, entry> m_entries;
    std::vector<std::pair<std::string, std::vector<std::byte>>> m_packets;
};

void report(benchmark::State &state, const fleet &entries, duration time)
{
    const double nodeSeconds = std::chrono::duration<double>(time).count() * static_cast<double>(entries.size());
    state.counters["bytes_per_node_s"] = static_cast<double>(entries.bytes) / nodeSeconds;
    state.counters["packets_per_node_s"] = static_cast<double>(entries.packets) / nodeSeconds;
    state.counters["core_percent"] = 100 * std::chrono::duration<double>(entries.cpu).count() / nodeSeconds;
    state.counters["cpu_us_per_period"] = std::chrono::duration<double, std::micro>(entries.cpu).count() / (nodeSeconds / 0.4); // The probe period is 0.4 s.
    state.counters["incomplete_entries"] = static_cast<double>(entries.incomplete());
}

void resetCounts(fleet &entries)
{
    entries.bytes = 0;
    entries.packets = 0;
    entries.cpu = {};
}

/// Cost of an entry while nothing changes.
void membershipSteady(benchmark::State &state)
{
    fleet entries(static_cast<int>(state.range(0)));
    entries.run(kStartTime);
    for (auto unused : state) {
        resetCounts(entries);
        entries.run(kMeasuredTime);
    }
    report(state, entries, kMeasuredTime);
}

/// Cost of an entry while one VM is replaced every 30 s, and the time until no other entry lists a killed entry as a member.
void membershipReplacements(benchmark::State &state)
{
    const int count = static_cast<int>(state.range(0));
    fleet entries(count);
    entries.run(kStartTime);
    duration worst{0};
    for (auto unused : state) {
        resetCounts(entries);
        const int replaced = count / 2;
        entries.kill(replaced);
        duration taken{0};
        while (!entries.isDeadEverywhere("entry-" + std::to_string(replaced)) && taken < kMeasuredTime / 2) {
            entries.run(std::chrono::milliseconds(50));
            taken += std::chrono::milliseconds(50);
        }
        worst = std::max(worst, taken);
        entries.start(replaced, 2);
        entries.run(kMeasuredTime - taken);
    }
    report(state, entries, kMeasuredTime);
    state.counters["dead_everywhere_s"] = std::chrono::duration<double>(worst).count();
}

/// Cost of the ownership changes when a member of a half dies and returns.
void ownershipChange(benchmark::State &state)
{
    ownership owners;
    for (int i = 0; i < 6400; ++i) {
        owners.addUpstream("upstream-" + std::to_string(i));
    }
    for (int i = 0; i < state.range(0); ++i) {
        owners.setMember({"entry-" + std::to_string(i), 1}, member_state::Alive);
    }
    for (auto unused : state) {
        benchmark::DoNotOptimize(owners.setMember({"entry-1", 1}, member_state::Dead));
        benchmark::DoNotOptimize(owners.setMember({"entry-1", 1}, member_state::Alive));
    }
}

} // namespace

BENCHMARK(membershipSteady)->Arg(16)->Arg(64)->Arg(340)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(membershipReplacements)->Arg(16)->Arg(64)->Arg(340)->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(ownershipChange)->Arg(16)->Arg(170)->Unit(benchmark::kMicrosecond);
