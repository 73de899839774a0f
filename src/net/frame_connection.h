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
 * The sending end of a TCP connection to one peer.
 *
 * It only writes: a peer answers over a connection of its own, so each side can replace a connection that went silent
 * without asking the other. A connection is given up when it can't be opened, when written bytes stay unacknowledged, or
 * when it is idle. Not thread safe.
 */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    /// @p counters must outlive the connection's coroutines; @p closed is called once, when the connection is given up.
    frame_connection(boost::asio::io_context &io,
                     const peer_transport_settings &settings,
                     std::shared_ptr<peer_transport_counters> counters,
                     std::function<void()> closed);

    /// Opens the connection and writes what is queued until it is given up.
    void start(const boost::asio::ip::tcp::endpoint &peer);

    /// Queues a whole frame; false when the queue is full.
    bool queue(std::vector<std::byte> frame);

    /// Gives the connection up.
    void close();

private:
    boost::asio::awaitable<void> run(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<bool> writeNext();
    boost::asio::awaitable<void> watchForEnd();
    void limit(std::chrono::milliseconds time);

    const peer_transport_settings m_settings;
    std::shared_ptr<peer_transport_counters> m_counters;
    std::function<void()> m_closedHook;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_watchdog; // Closes the connection when the step at hand takes too long.
    boost::asio::steady_timer m_wake; // Cancelled when a frame is queued.
    std::deque<std::vector<std::byte>> m_queue;
    bool m_isClosed = false;
};

} // namespace heatherroute::net
