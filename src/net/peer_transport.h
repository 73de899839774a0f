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
    std::string bindAddress; ///< Numeric IP address without a port.
    std::uint16_t port = 0; ///< For both UDP and TCP; with 0 the kernel chooses a port.
    std::uint64_t clusterId = 0;
    member_id self;
    std::size_t maxQueuedFrames = 1024; ///< Per peer.
    std::size_t maxConnections = 1024; ///< In each direction.
    std::size_t maxSenders = 1024; ///< Maximum number of senders whose sequence numbers are tracked to detect replays.
    std::chrono::milliseconds connectTimeout{1000};
    /// The receiver closes a TCP connection when no frame is completed for this time; the sender closes it after half of it without a frame to send.
    std::chrono::milliseconds idleTimeout{30000};
    std::chrono::milliseconds writeTimeout{2000}; ///< The connection is closed when writing a frame takes longer or sent bytes stay unacknowledged for longer.

    auto operator<=>(const peer_transport_settings &) const = default;
};

/// Counters since the start; may be read from any thread.
struct peer_transport_counters
{
    std::atomic<std::uint64_t> datagramsSent{0};
    std::atomic<std::uint64_t> datagramsReceived{0};
    std::atomic<std::uint64_t> framesSent{0};
    std::atomic<std::uint64_t> framesReceived{0};
    std::atomic<std::uint64_t> bytesSent{0}; ///< Excludes the headers of IP, UDP and TCP.
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> sendsRefused{0}; ///< Message too large, queue or socket buffer full, invalid address, or too many connections.
    std::atomic<std::uint64_t> framesLost{0}; ///< Frames that were queued on a connection when it closed.
    std::array<std::atomic<std::uint64_t>, kPeerDropReasons> dropped{}; ///< By peer_drop.
};

/// Fault injection for outgoing datagrams in tests: an empty result drops the datagram, a time delays it.
using datagram_fault = std::function<std::optional<std::chrono::milliseconds>(const std::string &address)>;

/// Callbacks of the transport, called on the thread that runs the io_context.
struct peer_transport_hooks
{
    /// Called for each message received. @p fromAddress is the sender's peer address over UDP, and the remote address of the connection over TCP.
    std::function<void(const std::string &fromAddress, peer_message message)> received;
    datagram_fault fault; ///< May be empty; used by tests.
};

/**
 * Sends messages between entries: small ones in datagrams, and large ones or ones that must not be lost silently over TCP.
 *
 * A TCP frame consists of a four-byte length in network byte order and the encoded message. The transport never retransmits
 * a message: a caller that needs a reply has to retry its request. Queues are bounded and refuse further messages when full, so
 * a stalled peer uses a bounded amount of memory.
 *
 * Not thread safe except for counters(): use it on the thread that runs the io_context, which must outlive the transport.
 */
class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Binds both sockets and starts receiving. On failure returns null and sets @p reason. Precondition: hooks.received is set.
    static std::unique_ptr<peer_transport>
    make(boost::asio::io_context &io, const peer_transport_settings &settings, peer_transport_hooks hooks, last_reason *reason);

    /// The address `IP:port` of both sockets.
    virtual const std::string &address() const = 0;

    /// Sends @p body to @p address in a datagram; returns false when it was refused. Delivery is not guaranteed.
    virtual bool sendDatagram(const std::string &address, const peer_body &body) = 0;

    /// Queues @p body on the connection to @p address, which is opened when there is none; returns false when it was refused.
    virtual bool sendFrame(const std::string &address, const peer_body &body) = 0;

    /// The counters of this transport. Thread safe.
    virtual const peer_transport_counters &counters() const = 0;
};

} // namespace heatherroute::net
