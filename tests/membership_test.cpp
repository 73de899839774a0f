#include "heatherroute/membership.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>

using namespace heatherroute;
using namespace std::chrono_literals;

namespace
{

struct process
{
    std::unique_ptr<membership> node;
    instant wakeAt;
    bool frozen = false;
};

/// Carries messages between members in virtual time. A frozen process reads its buffered packets when it resumes.
class simulated_network
{
public:
    explicit simulated_network(std::uint64_t seed)
        : m_random(seed)
    { }

    static std::string addressOf(int index)
    {
        return "10.0.0." + std::to_string(index) + ":7000";
    }

    void start(int index, std::uint64_t startNumber)
    {
        const std::string address = addressOf(index);
        member self;
        self.id = {"entry-" + std::to_string(index), startNumber};
        self.callerAddress = address;
        self.peerAddress = address;
        self.zone = "zone-" + std::to_string(index % 4);
        last_reason reason;
        auto node = membership::make({}, self, m_random(), &reason);
        ASSERT_TRUE(node) << reason.text();
        m_processes[index] = {std::move(node), m_now + std::chrono::milliseconds(m_random() % 500)};
        deliver(index, membership_hints{{addressOf(0), addressOf(1), addressOf(2)}});
        m_processes[index].wakeAt = m_now + std::chrono::milliseconds(m_random() % 500);
    }

    void kill(int index)
    {
        m_processes.erase(index);
    }

    void run(duration time)
    {
        const instant end = m_now + time;
        while (true) {
            instant next = end;
            int due = -1;
            for (auto &[index, one] : m_processes) {
                if (!one.frozen && one.wakeAt < next) {
                    next = one.wakeAt;
                    due = index;
                }
            }
            const bool isPacket = !m_packets.empty() && m_packets.begin()->first <= next;
            if (!isPacket && due < 0) {
                m_now = end;
                return;
            }
            if (isPacket) {
                m_now = std::max(m_now, m_packets.begin()->first);
                const packet one = m_packets.begin()->second;
                m_packets.erase(m_packets.begin());
                arrive(one);
            } else {
                m_now = std::max(m_now, next);
                deliver(due, membership_timer{});
            }
        }
    }

    void freeze(int index)
    {
        m_processes.at(index).frozen = true;
    }

    void resume(int index)
    {
        m_processes.at(index).frozen = false;
        for (const packet &one : std::exchange(m_waiting[index], {})) {
            arrive(one);
        }
    }

    void deliver(int index, const membership_event &event)
    {
        process &one = m_processes.at(index);
        membership_effects effects = one.node->handle(m_now, event);
        one.wakeAt = effects.wakeAt;
        for (const member_change &change : effects.changes) {
            if (change.now.state == member_state::Dead) {
                ++deaths;
            }
        }
        for (membership_send &send : effects.sends) {
            transmit(index, std::move(send));
        }
    }

    /// Number of processes that see @p id in @p state; an unknown member counts as Dead.
    int countSeeing(const member_id &id, member_state state) const
    {
        int count = 0;
        for (const auto &[index, one] : m_processes) {
            if (one.node->self().id == id) {
                continue;
            }
            member_state seen = member_state::Dead;
            for (const member &other : one.node->members()) {
                seen = other.id == id ? other.state : seen;
            }
            count += seen == state ? 1 : 0;
        }
        return count;
    }

    bool everyoneIsAliveForAll() const
    {
        for (const auto &[index, one] : m_processes) {
            if (countSeeing(one.node->self().id, member_state::Alive) != static_cast<int>(m_processes.size()) - 1) {
                return false;
            }
        }
        return true;
    }

    membership_counters total() const
    {
        membership_counters sum;
        for (const auto &[index, one] : m_processes) {
            const membership_counters counters = one.node->dump().counters;
            sum.suspicionsRaised += counters.suspicionsRaised;
            sum.refutationsOfSelf += counters.refutationsOfSelf;
            sum.probeFailuresSuppressed += counters.probeFailuresSuppressed;
        }
        return sum;
    }

    int lossPercent = 0;
    std::function<bool(int, int)> isPartitioned = [](int, int) { return false; };
    int deaths = 0; ///< Reports of a death, summed over all processes.
    std::size_t largestMessage = 0;

private:
    struct packet
    {
        int from = 0;
        int to = 0;
        member_id sender;
        peer_body body;
    };

    void transmit(int from, membership_send send)
    {
        const member_id sender = m_processes.at(from).node->self().id;
        const auto bytes = encodePeerMessage({{1, sender, 1}, send.body}, kMaxDatagramBytes, nullptr);
        ASSERT_TRUE(bytes) << "a message doesn't fit into a datagram";
        largestMessage = std::max(largestMessage, bytes->size());
        const std::size_t lastDot = send.address.rfind('.');
        const int to = std::stoi(send.address.substr(lastDot + 1));
        if (isPartitioned(from, to) || static_cast<int>(m_random() % 100) < lossPercent) {
            return;
        }
        m_packets.emplace(m_now + std::chrono::microseconds(200 + m_random() % 1500), packet{from, to, sender, std::move(send.body)});
    }

    void arrive(const packet &one)
    {
        const auto to = m_processes.find(one.to);
        if (to == m_processes.end()) {
            return;
        }
        if (to->second.frozen) {
            m_waiting[one.to].push_back(one);
            return;
        }
        deliver(one.to, membership_received{addressOf(one.from), one.sender, one.body});
    }

    std::mt19937_64 m_random;
    instant m_now = instant(1h);
    std::map<int, process> m_processes;
    std::multimap<instant, packet> m_packets;
    std::map<int, std::vector<packet>> m_waiting;
};

member_id idOf(int index, std::uint64_t startNumber = 1)
{
    return {"entry-" + std::to_string(index), startNumber};
}

simulated_network startFleet(std::uint64_t seed, int count)
{
    simulated_network network(seed);
    for (int i = 0; i < count; ++i) {
        network.start(i, 1);
    }
    network.run(10s);
    EXPECT_TRUE(network.everyoneIsAliveForAll()) << "seed " << seed;
    return network;
}

TEST(Membership, PacketLossLeadsToRefutedSuspicionsAndNoDeath)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulated_network network = startFleet(seed, 16);
        network.lossPercent = 10;
        network.run(10min);
        EXPECT_EQ(network.deaths, 0) << "seed " << seed;
        const membership_counters counters = network.total();
        EXPECT_GT(counters.suspicionsRaised, 0U);
        EXPECT_GT(counters.refutationsOfSelf, 0U);
        RecordProperty("suspicions_seed_" + std::to_string(seed), static_cast<int>(counters.suspicionsRaised));
        network.lossPercent = 0;
        network.run(5s);
        EXPECT_TRUE(network.everyoneIsAliveForAll()) << "seed " << seed;
    }
}

TEST(Membership, AKilledMemberIsDeadEverywhereWithinFiveSeconds)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        simulated_network network = startFleet(seed, 16);
        network.kill(5);
        network.run(5s);
        EXPECT_EQ(network.countSeeing(idOf(5), member_state::Dead), 15) << "seed " << seed;
        EXPECT_EQ(network.deaths, 15) << "seed " << seed;
    }
}

TEST(Membership, AFrozenMemberResumesWithTheSameIncarnationAndSuspectsNoOne)
{
    for (const duration pause : {duration(2s), duration(20s)}) {
        simulated_network network = startFleet(3, 16);
        network.freeze(5);
        network.run(pause);
        const int deathsBefore = network.deaths;
        const std::uint64_t suspicionsBefore = network.total().suspicionsRaised;
        network.resume(5);
        network.run(5s);
        EXPECT_TRUE(network.everyoneIsAliveForAll());
        EXPECT_EQ(network.deaths, deathsBefore);
        EXPECT_EQ(network.total().suspicionsRaised, suspicionsBefore);
    }
}

TEST(Membership, AReplacedVmOnTheSameAddressIsANewMember)
{
    // The successor's incarnation may be lower, since the clocks of VMs differ.
    for (const std::uint64_t successor : {2U, 0U}) {
        simulated_network network = startFleet(4, 16);
        network.kill(5);
        network.start(5, successor);
        network.run(3s);
        EXPECT_EQ(network.countSeeing(idOf(5), member_state::Dead), 16) << "incarnation " << successor;
        EXPECT_EQ(network.countSeeing(idOf(5, successor), member_state::Alive), 15) << "incarnation " << successor;
    }
}

TEST(Membership, PartitionedRegionsRejoin)
{
    simulated_network network = startFleet(6, 16);
    network.isPartitioned = [](int from, int to) { return (from % 2) != (to % 2); };
    network.run(3min);
    EXPECT_EQ(network.countSeeing(idOf(4), member_state::Dead), 8);
    EXPECT_EQ(network.countSeeing(idOf(4), member_state::Alive), 7);
    network.isPartitioned = [](int, int) { return false; };
    network.run(20s);
    EXPECT_TRUE(network.everyoneIsAliveForAll());
}

TEST(Membership, ALeavingMemberIsAnnouncedAndIsDeadAfterItsDeparture)
{
    simulated_network network = startFleet(7, 16);
    network.deliver(5, membership_leave{});
    network.run(3s);
    EXPECT_EQ(network.countSeeing(idOf(5), member_state::Leaving), 15);
    network.deliver(5, membership_departed{});
    network.kill(5);
    network.run(3s);
    EXPECT_EQ(network.countSeeing(idOf(5), member_state::Dead), 15);
    EXPECT_EQ(network.total().suspicionsRaised, 0U);
}

TEST(Membership, SummariesAndFullListsFitADatagram)
{
    simulated_network network = startFleet(8, 40);
    node_summary summary;
    summary.configRevision = 9;
    for (int i = 0; i < 100; ++i) {
        summary.freeSlotsByPool.push_back({std::string(kMaxMemberNameBytes, 'p'), 1});
    }
    network.deliver(1, membership_summary{summary});
    network.run(30s);
    EXPECT_GT(network.largestMessage, 500U);
}

TEST(Membership, InvalidSettingsAreRejectedWithAReason)
{
    last_reason reason;
    EXPECT_FALSE(membership::make({}, member{}, 1, &reason));
    EXPECT_FALSE(reason.text().empty());
}

} // namespace
