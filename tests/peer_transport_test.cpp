#include "net/peer_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <functional>

using namespace heatherroute;
using namespace heatherroute::net;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t kCluster = 5;

class peer_transport_fixture : public testing::Test
{
public:
    std::unique_ptr<peer_transport> make(const std::string &name, datagram_fault fault = {})
    {
        peer_transport_settings settings;
        settings.bindAddress = "127.0.0.1";
        settings.clusterId = kCluster;
        settings.self = {name, 1};
        settings.maxQueuedFrames = 4;
        auto received = [this](const std::string &from, peer_message message) {
            addresses.push_back(from);
            messages.push_back(std::move(message));
        };
        last_reason reason;
        auto made = peer_transport::make(io, settings, {received, std::move(fault)}, &reason);
        EXPECT_TRUE(made) << reason.text();
        return made;
    }

    /// Runs the io_context until @p done; the limit on iterations only keeps a failing test from hanging.
    void runUntil(const std::function<bool()> &done)
    {
        for (int i = 0; i < 10000 && !done(); ++i) {
            io.run_one_for(1ms);
        }
        EXPECT_TRUE(done());
    }

    void sendRaw(const std::string &address, const std::vector<std::byte> &bytes)
    {
        asio::ip::udp::socket socket(io, asio::ip::udp::v4());
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        socket.send_to(asio::buffer(bytes), {asio::ip::make_address("127.0.0.1"), port});
    }

    static std::uint64_t dropped(const peer_transport &transport, peer_drop reason)
    {
        return transport.counters().dropped[static_cast<std::size_t>(reason)];
    }

    asio::io_context io;
    std::vector<std::string> addresses;
    std::vector<peer_message> messages;
};

TEST_F(peer_transport_fixture, DatagramsAndFramesAreDeliveredWithTheirSender)
{
    const auto a = make("a");
    const auto b = make("b");
    EXPECT_TRUE(a->sendDatagram(b->address(), sync_request{{"x", 1}}));
    runUntil([this] { return messages.size() == 1; });
    EXPECT_EQ(addresses.front(), a->address());
    const member_update update{{std::string(kMaxMemberNameBytes, 'n'), 1}, 0, member_state::Alive, std::nullopt};
    const sync_page large{true, {}, std::vector<member_update>(kMaxUpdatesPerMessage, update)};
    EXPECT_FALSE(a->sendDatagram(b->address(), large)) << "too large for a datagram";
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(a->sendFrame(b->address(), large));
    }
    runUntil([this] { return messages.size() == 4; });
    EXPECT_EQ(messages.back().body, peer_body(large));
    EXPECT_EQ(messages.back().header.sender, (member_id{"a", 1}));
    EXPECT_EQ(a->counters().sendsRefused, 1U);
}

TEST_F(peer_transport_fixture, InvalidForeignAndReplayedPacketsAreCountedAndDropped)
{
    const auto a = make("a");
    const peer_message good{{kCluster, {"b", 1}, 9}, sync_request{}};
    const auto bytes = *encodePeerMessage(good, kMaxDatagramBytes, nullptr);
    peer_message foreign = good;
    foreign.header.clusterId = kCluster + 1;
    sendRaw(a->address(), std::vector<std::byte>(40, std::byte{0x55}));
    sendRaw(a->address(), std::vector<std::byte>(4000));
    sendRaw(a->address(), *encodePeerMessage(foreign, kMaxDatagramBytes, nullptr));
    sendRaw(a->address(), bytes);
    sendRaw(a->address(), bytes);
    runUntil([&a] { return a->counters().datagramsReceived == 5; });
    EXPECT_EQ(messages, std::vector<peer_message>{good});
    EXPECT_EQ(dropped(*a, peer_drop::NotOurs), 1U);
    EXPECT_EQ(dropped(*a, peer_drop::Oversized), 1U);
    EXPECT_EQ(dropped(*a, peer_drop::ForeignCluster), 1U);
    EXPECT_EQ(dropped(*a, peer_drop::Replayed), 1U);
}

TEST_F(peer_transport_fixture, FrameOverTheLimitClosesItsConnection)
{
    const auto a = make("a");
    asio::ip::tcp::socket socket(io);
    const auto port = static_cast<std::uint16_t>(std::stoi(a->address().substr(a->address().rfind(':') + 1)));
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    const std::array<unsigned char, 4> prefix{0xff, 0xff, 0xff, 0xff};
    asio::write(socket, asio::buffer(prefix));
    runUntil([&a] { return dropped(*a, peer_drop::Oversized) == 1; });
    bool isEnded = false;
    std::byte unused{};
    socket.async_read_some(asio::buffer(&unused, 1), [&isEnded](const boost::system::error_code &error, std::size_t) { isEnded = error.failed(); });
    runUntil([&isEnded] { return isEnded; });
}

TEST_F(peer_transport_fixture, FullQueueRefusesFramesAndFailedConnectionCountsLostFrames)
{
    const auto a = make("a");
    auto gone = make("gone");
    const std::string address = gone->address();
    gone.reset();
    int accepted = 0;
    for (int i = 0; i < 6; ++i) {
        accepted += a->sendFrame(address, sync_request{}) ? 1 : 0;
    }
    EXPECT_EQ(accepted, 4);
    runUntil([&a] { return a->counters().framesLost == 4; });
    const auto back = make("back");
    EXPECT_TRUE(a->sendFrame(back->address(), sync_request{}));
    runUntil([this] { return messages.size() == 1; });
}

TEST_F(peer_transport_fixture, FaultHookDropsAndDelaysDatagrams)
{
    int sent = 0;
    const auto a = make("a", [&sent](const std::string &) { return ++sent % 2 == 1 ? std::nullopt : std::optional(2ms); });
    const auto b = make("b");
    for (std::uint64_t i = 0; i < 4; ++i) {
        EXPECT_TRUE(a->sendDatagram(b->address(), sync_request{{"x", i}}));
    }
    runUntil([this] { return messages.size() == 2; });
    EXPECT_EQ(a->counters().datagramsSent, 2U);
}

TEST_F(peer_transport_fixture, NonNumericAddressIsRejectedWithAReason)
{
    peer_transport_settings settings;
    settings.bindAddress = "example";
    last_reason reason;
    EXPECT_FALSE(peer_transport::make(io, settings, {[](const std::string &, const peer_message &) {}, {}}, &reason));
    EXPECT_FALSE(reason.text().empty());
}

} // namespace
