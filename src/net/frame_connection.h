#pragma once

#include "net/peer_transport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace heatherroute::net
{

/**
 * The sending end of a one-way TCP connection to a peer.
 *
 * A peer replies over a separate connection, so each side can replace an unresponsive connection without coordination.
 * The connection is closed when it cannot be opened, when a write takes too long, when sent bytes stay unacknowledged, when
 * the peer closes it or when it is idle. Not thread safe.
 */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    /// @p closed is called once, when the connection is closed. Frames sent and lost are added to @p counters.
    frame_connection(boost::asio::io_context &io,
                     const peer_transport_settings &settings,
                     std::shared_ptr<peer_transport_counters> counters,
                     std::function<void()> closed);

    /// Opens the connection to @p peer and sends queued frames until the connection is closed.
    void start(const boost::asio::ip::tcp::endpoint &peer);

    /// Queues a complete frame; returns false when the queue is full or the connection is closed.
    bool queue(std::vector<std::byte> frame);

    /// Closes the connection and counts its queued frames as lost.
    void close();

private:
    boost::asio::awaitable<void> run(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<bool> writeNext();
    boost::asio::awaitable<void> watchForClose();
    void armWatchdog(std::chrono::milliseconds time);

    const peer_transport_settings m_settings;
    std::shared_ptr<peer_transport_counters> m_counters;
    std::function<void()> m_onClosed;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_watchdog; // Closes the connection when the current operation times out.
    boost::asio::steady_timer m_wake; // Cancelled to wake the sender when a frame is queued.
    std::deque<std::vector<std::byte>> m_queue;
    bool m_isClosed = false;
};

} // namespace heatherroute::net
