#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace heatherroute::bench
{

/// Counted since the start.
struct relay_counts
{
    std::uint64_t connections = 0;
    std::uint64_t bytesUp = 0; ///< Towards the target, without the headers of IP and TCP.
    std::uint64_t bytesDown = 0;
};

/**
 * Passes TCP connections on to one target and counts their bytes.
 *
 * The kernel counts the network bytes of a machine, not those of a process, so a measurement puts this between a process
 * and its peer. Closed, it takes connections and ends them at once, as a target that is down for some. Not thread safe.
 */
class counting_relay
{
public:
    /// Listens on a loopback port that the kernel chooses.
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
