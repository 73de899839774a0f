#include "net/peer_transport.h"

#include "heatherroute/assert.h"
#include "net/frame_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace heatherroute::net
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace
{

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kFrameLengthBytes = 4;
constexpr int kMaxBindAttempts = 16;
constexpr std::chrono::milliseconds kAcceptBackoff{50};

template<typename Endpoint>
std::string textOf(const Endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

template<typename Endpoint>
std::optional<Endpoint> endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [stop, portError] = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || portError != std::errc() || stop != end) {
        return std::nullopt;
    }
    return Endpoint(ip, port);
}

void prependFrameLength(std::vector<std::byte> &frame)
{
    const auto length = static_cast<std::uint32_t>(frame.size());
    std::array<std::byte, kFrameLengthBytes> prefix{};
    for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
        prefix[i] = static_cast<std::byte>(length >> (8 * (kFrameLengthBytes - 1 - i)));
    }
    frame.insert(frame.begin(), prefix.begin(), prefix.end());
}

std::size_t frameLength(const std::array<std::byte, kFrameLengthBytes> &prefix)
{
    std::uint32_t length = 0;
    for (const std::byte byte : prefix) {
        length = (length << 8) | std::to_integer<std::uint32_t>(byte);
    }
    return length;
}

/// Owns the sockets and runs their coroutines, which keep it alive until they have finished.
class transport_core : public std::enable_shared_from_this<transport_core>
{
public:
    transport_core(asio::io_context &io, const peer_transport_settings &settings, peer_transport_hooks hooks)
        : m_io(io)
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_udp(io)
        , m_acceptor(io)
        , m_replayGuard(settings.maxSenders)
        , m_counters(std::make_shared<peer_transport_counters>())
    { }

    bool bind(last_reason *reason);
    void start();
    void close();
    bool sendDatagram(const std::string &address, const peer_body &body);
    bool sendFrame(const std::string &address, const peer_body &body);

    const std::string &address() const
    {
        return m_address;
    }

    const peer_transport_counters &counters() const
    {
        return *m_counters;
    }

private:
    boost::system::error_code tryBind(const asio::ip::address &ip);
    asio::awaitable<void> receiveDatagrams();
    asio::awaitable<void> acceptConnections();
    asio::awaitable<void> receiveFrames(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<bool> receiveFrame(tcp::socket &socket, const std::string &from);
    void processMessage(const std::string &from, std::span<const std::byte> bytes, std::size_t limitBytes, bool isDatagram);
    std::optional<std::vector<std::byte>> encode(const peer_body &body, std::size_t limitBytes);
    bool transmit(const udp::endpoint &peer, const std::vector<std::byte> &bytes);
    void transmitLater(const udp::endpoint &peer, std::vector<std::byte> bytes, std::chrono::milliseconds delay);
    std::shared_ptr<frame_connection> connectionTo(const std::string &address);
    bool refuse();
    void drop(peer_drop reason);

    asio::io_context &m_io;
    const peer_transport_settings m_settings;
    peer_transport_hooks m_hooks;
    udp::socket m_udp;
    tcp::acceptor m_acceptor;
    replay_guard m_replayGuard;
    std::shared_ptr<peer_transport_counters> m_counters;
    std::map<std::string, std::shared_ptr<frame_connection>> m_outgoing;
    std::set<std::shared_ptr<tcp::socket>> m_incoming;
    std::string m_address;
    std::uint64_t m_sequence = 0;
    bool m_isClosed = false;
};

boost::system::error_code transport_core::tryBind(const asio::ip::address &ip)
{
    boost::system::error_code error;
    const tcp::endpoint wanted(ip, m_settings.port);
    m_acceptor.open(wanted.protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(wanted, error);
    }
    if (!error) {
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return error;
    }
    const udp::endpoint same(ip, m_acceptor.local_endpoint().port());
    m_udp.open(same.protocol(), error);
    if (!error) {
        m_udp.bind(same, error);
    }
    if (!error) {
        m_udp.non_blocking(true, error);
    }
    return error;
}

bool transport_core::bind(last_reason *reason)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(m_settings.bindAddress, error);
    if (error) {
        setReason(reason, "the peer address is not a numeric IP address: " + m_settings.bindAddress);
        return false;
    }
    // A port that the kernel chose for TCP may already be in use for UDP, so several ports are tried.
    const int attempts = m_settings.port == 0 ? kMaxBindAttempts : 1;
    for (int i = 0; i < attempts; ++i) {
        error = tryBind(ip);
        if (!error) {
            m_address = textOf(m_udp.local_endpoint());
            return true;
        }
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_udp.close(ignored);
    }
    setReason(reason, "cannot bind the peer sockets: " + error.message());
    return false;
}

void transport_core::start()
{
    const auto keepAlive = [self = shared_from_this()](const std::exception_ptr &error) { HR_ASSERT(error == nullptr); };
    asio::co_spawn(m_io, receiveDatagrams(), keepAlive);
    asio::co_spawn(m_io, acceptConnections(), keepAlive);
}

void transport_core::close()
{
    m_isClosed = true;
    boost::system::error_code ignored;
    m_udp.close(ignored);
    m_acceptor.close(ignored);
    for (const auto &[address, connection] : std::exchange(m_outgoing, {})) {
        connection->close();
    }
    for (const auto &socket : m_incoming) {
        socket->close(ignored);
    }
}

bool transport_core::refuse()
{
    ++m_counters->sendsRefused;
    return false;
}

void transport_core::drop(peer_drop reason)
{
    ++m_counters->dropped[static_cast<std::size_t>(reason)];
}

std::optional<std::vector<std::byte>> transport_core::encode(const peer_body &body, std::size_t limitBytes)
{
    const peer_message message{{m_settings.clusterId, m_settings.self, ++m_sequence}, body};
    return encodePeerMessage(message, limitBytes, nullptr);
}

bool transport_core::sendDatagram(const std::string &address, const peer_body &body)
{
    const auto peer = endpointOf<udp::endpoint>(address);
    auto bytes = encode(body, kMaxDatagramBytes);
    if (!peer || !bytes) {
        return refuse();
    }
    if (!m_hooks.fault) {
        return transmit(*peer, *bytes);
    }
    const auto delay = m_hooks.fault(address);
    if (delay) {
        transmitLater(*peer, std::move(*bytes), *delay);
    }
    return true;
}

bool transport_core::transmit(const udp::endpoint &peer, const std::vector<std::byte> &bytes)
{
    boost::system::error_code error;
    // The socket does not block. When its buffer is full, the datagram is lost, as can also happen in the network.
    m_udp.send_to(asio::buffer(bytes), peer, 0, error);
    if (error) {
        return refuse();
    }
    ++m_counters->datagramsSent;
    m_counters->bytesSent += bytes.size();
    return true;
}

void transport_core::transmitLater(const udp::endpoint &peer, std::vector<std::byte> bytes, std::chrono::milliseconds delay)
{
    auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
    timer->async_wait([self = shared_from_this(), timer, peer, bytes = std::move(bytes)](const boost::system::error_code &error) {
        if (!error && !self->m_isClosed) {
            self->transmit(peer, bytes);
        }
    });
}

bool transport_core::sendFrame(const std::string &address, const peer_body &body)
{
    auto frame = encode(body, kMaxFrameBytes);
    if (!frame) {
        return refuse();
    }
    prependFrameLength(*frame);
    const auto connection = connectionTo(address);
    if (connection == nullptr || !connection->queue(std::move(*frame))) {
        return refuse();
    }
    return true;
}

std::shared_ptr<frame_connection> transport_core::connectionTo(const std::string &address)
{
    const auto existing = m_outgoing.find(address);
    if (existing != m_outgoing.end()) {
        return existing->second;
    }
    const auto peer = endpointOf<tcp::endpoint>(address);
    if (!peer || m_isClosed || m_outgoing.size() >= m_settings.maxConnections) {
        return nullptr;
    }
    const auto onClosed = [weak = weak_from_this(), address] {
        if (const auto self = weak.lock()) {
            self->m_outgoing.erase(address);
        }
    };
    auto connection = std::make_shared<frame_connection>(m_io, m_settings, m_counters, onClosed);
    m_outgoing.emplace(address, connection);
    connection->start(*peer);
    return connection;
}

void transport_core::processMessage(const std::string &from, std::span<const std::byte> bytes, std::size_t limitBytes, bool isDatagram)
{
    m_counters->bytesReceived += bytes.size();
    auto result = decodePeerMessage(bytes, limitBytes, m_settings.clusterId);
    if (const auto *reason = std::get_if<peer_drop>(&result)) {
        drop(*reason);
        return;
    }
    auto &message = std::get<peer_message>(result);
    // Frames are not checked for replays: TCP never duplicates bytes, and may deliver a frame long after datagrams that were sent later.
    if (isDatagram && !m_replayGuard.accept(message.header.sender, message.header.sequence)) {
        drop(peer_drop::Replayed);
        return;
    }
    m_hooks.received(from, std::move(message));
}

asio::awaitable<void> transport_core::receiveDatagrams()
{
    // One byte larger than the limit, to detect datagrams that exceed it.
    std::array<std::byte, kMaxDatagramBytes + 1> buffer{};
    udp::endpoint from;
    while (!m_isClosed) {
        const auto [error, length] = co_await m_udp.async_receive_from(asio::buffer(buffer), from, kAwait);
        if (m_isClosed) {
            co_return;
        }
        // The error refers to an earlier datagram that was sent to a closed port.
        if (error) {
            continue;
        }
        ++m_counters->datagramsReceived;
        processMessage(textOf(from), std::span(buffer).first(length), kMaxDatagramBytes, true);
    }
}

asio::awaitable<void> transport_core::acceptConnections()
{
    while (!m_isClosed) {
        auto socket = std::make_shared<tcp::socket>(m_io);
        const auto [error] = co_await m_acceptor.async_accept(*socket, kAwait);
        if (m_isClosed) {
            co_return;
        }
        if (error) {
            // The process has probably run out of file descriptors, so an immediate retry would fail again and waste CPU time.
            asio::steady_timer backoff(m_io, kAcceptBackoff);
            co_await backoff.async_wait(kAwait);
            continue;
        }
        if (m_incoming.size() >= m_settings.maxConnections) {
            continue; // The destructor of the socket closes the connection.
        }
        m_incoming.insert(socket);
        asio::co_spawn(m_io, receiveFrames(socket), [self = shared_from_this(), socket](const std::exception_ptr &error) {
            HR_ASSERT(error == nullptr);
            self->m_incoming.erase(socket);
        });
    }
}

asio::awaitable<void> transport_core::receiveFrames(std::shared_ptr<tcp::socket> socket)
{
    boost::system::error_code error;
    const tcp::endpoint from = socket->remote_endpoint(error);
    if (error) {
        co_return;
    }
    const std::string address = textOf(from);
    asio::steady_timer idle(m_io);
    bool isOpen = true;
    while (isOpen && !m_isClosed) {
        idle.expires_after(m_settings.idleTimeout);
        idle.async_wait([socket](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
        isOpen = co_await receiveFrame(*socket, address);
    }
}

asio::awaitable<bool> transport_core::receiveFrame(tcp::socket &socket, const std::string &from)
{
    std::array<std::byte, kFrameLengthBytes> prefix{};
    const auto [prefixError, prefixLength] = co_await asio::async_read(socket, asio::buffer(prefix), kAwait);
    if (prefixError) {
        co_return false;
    }
    const std::size_t length = frameLength(prefix);
    if (length > kMaxFrameBytes) {
        drop(peer_drop::Oversized);
        co_return false;
    }
    // The buffer grows with the bytes received, so that a large length prefix alone allocates no memory.
    std::vector<std::byte> frame;
    const auto [frameError, frameBytes] = co_await asio::async_read(socket, asio::dynamic_buffer(frame, length), asio::transfer_exactly(length), kAwait);
    if (frameError || m_isClosed) {
        co_return false;
    }
    ++m_counters->framesReceived;
    processMessage(from, frame, kMaxFrameBytes, false);
    co_return true;
}

/// Closes the transport_core in its destructor, while coroutines may still refer to it.
class socket_transport final : public peer_transport
{
public:
    explicit socket_transport(std::shared_ptr<transport_core> core)
        : m_core(std::move(core))
    { }

    socket_transport(const socket_transport &) = delete;
    socket_transport &operator=(const socket_transport &) = delete;

    ~socket_transport() override
    {
        m_core->close();
    }

    const std::string &address() const override
    {
        return m_core->address();
    }

    bool sendDatagram(const std::string &address, const peer_body &body) override
    {
        return m_core->sendDatagram(address, body);
    }

    bool sendFrame(const std::string &address, const peer_body &body) override
    {
        return m_core->sendFrame(address, body);
    }

    const peer_transport_counters &counters() const override
    {
        return m_core->counters();
    }

private:
    std::shared_ptr<transport_core> m_core;
};

} // namespace

std::unique_ptr<peer_transport>
peer_transport::make(asio::io_context &io, const peer_transport_settings &settings, peer_transport_hooks hooks, last_reason *reason)
{
    HR_ASSERT(hooks.received != nullptr);
    auto core = std::make_shared<transport_core>(io, settings, std::move(hooks));
    if (!core->bind(reason)) {
        return nullptr;
    }
    core->start();
    return std::make_unique<socket_transport>(std::move(core));
}

} // namespace heatherroute::net
