#pragma once

#include "core/replay_guard.h"
#include "heatherroute/last_reason.h"
#include "heatherroute/peer_message.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace heatherroute::net
{

/// Addresses and limits of a peer_transport.
struct peer_transport_settings
{
    std::string bindAddress; ///< IP number without port.
    std::uint16_t port = 0; ///< For both UDP and TCP; 0 lets the kernel choose.
    std::uint64_t clusterId = 0;
    member_id self;
    std::size_t maxQueuedFrames = 1024; ///< Per peer.
    std::size_t maxConnections = 1024; ///< In each direction.
    std::size_t maxSenders = 1024; ///< Whose sequences are remembered.
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds idleTimeout{30000}; ///< A TCP connection without traffic is closed.
    std::chrono::milliseconds writeTimeout{2000}; ///< A frame not written by then closes the connection.

    auto operator<=>(const peer_transport_settings &) const = default;
};

/// Counted since the start; may be read from any thread.
struct peer_transport_counters
{
    std::atomic<std::uint64_t> datagramsSent{0};
    std::atomic<std::uint64_t> datagramsReceived{0};
    std::atomic<std::uint64_t> framesSent{0};
    std::atomic<std::uint64_t> framesReceived{0};
    std::atomic<std::uint64_t> bytesSent{0}; ///< Without the headers of IP, UDP and TCP.
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> sendsRefused{0}; ///< Too large, a queue or the socket full, a bad address, or too many connections.
    std::atomic<std::uint64_t> framesLost{0}; ///< Queued on a connection that failed.
    std::array<std::atomic<std::uint64_t>, kPeerDropReasons> dropped{}; ///< By peer_drop.
};

/// What a test does to an outgoing datagram: empty loses it, a time delays it.
using datagram_fault = std::function<std::optional<std::chrono::milliseconds>(const std::string &address)>;

/// What the transport calls; all on the thread that runs the io_context.
struct peer_transport_hooks
{
    /// A message came; @p fromAddress is the sender's peer address over UDP, and the address of the connection over TCP.
    std::function<void(const std::string &fromAddress, peer_message message)> received;
    datagram_fault fault; ///< May be empty; used by tests.
};

/**
 * Carries messages between entries: small ones by datagram, large ones or ones that must not be lost silently by TCP.
 *
 * TCP frames are a four-byte length in network order and the encoded message. Nothing is sent again: whoever needs an
 * answer repeats its request. Queues are bounded and refuse what doesn't fit, so a stalled peer costs bounded memory.
 *
 * Not thread safe except for counters(): call it on the thread that runs the io_context, which must outlive it.
 */
class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Binds both sockets and starts to receive; null with @p reason set when that fails. Precondition: hooks.received is set.
    static std::unique_ptr<peer_transport>
    make(boost::asio::io_context &io, const peer_transport_settings &settings, peer_transport_hooks hooks, last_reason *reason);

    /// `IP:port` of both sockets.
    virtual const std::string &address() const = 0;

    /// Hands @p body for @p address to the socket; false when refused. A success doesn't mean that it arrives.
    virtual bool sendDatagram(const std::string &address, const peer_body &body) = 0;

    /// Queues @p body on the connection to @p address, which is opened as needed; false when refused.
    virtual bool sendFrame(const std::string &address, const peer_body &body) = 0;

    virtual const peer_transport_counters &counters() const = 0;
};

} // namespace heatherroute::net
