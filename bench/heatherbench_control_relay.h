#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace heatherroute::bench
{

/// Traffic counters of a relay since its start.
struct relay_counts
{
    std::uint64_t connections = 0;
    std::uint64_t bytesUp = 0; ///< Towards the target, without IP and TCP headers.
    std::uint64_t bytesDown = 0; ///< From the target, without IP and TCP headers.
};

/**
 * Forwards TCP connections to one target and counts their bytes.
 *
 * The kernel counts network bytes per machine and not per process, so a measurement places a relay between a process and
 * its peer. A closed relay accepts new connections and closes them at once, like a target that is down for some of its
 * clients; established connections stay. Not thread safe.
 */
class counting_relay
{
public:
    /// Listens on a loopback port that the kernel assigns.
    counting_relay(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &target);

    boost::asio::ip::tcp::endpoint endpoint() const;
    void setOpen(bool open);
    relay_counts counts() const;

private:
    struct shared;

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<shared> m_shared;
};

} // namespace heatherroute::bench
