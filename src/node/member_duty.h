#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heatherroute/last_reason.h"
#include "heatherroute/log_line.h"
#include "heatherroute/membership.h"
#include "net/peer_transport.h"
#include "node/channel.h"
#include "node/relay_event.h"

namespace heatherroute::node
{

/// Identity, transport and protocol settings of this entry's membership.
struct member_duty_settings
{
    net::peer_transport_settings transport;
    membership_settings membership;
    member self; ///< The peer address is replaced by the address of the bound sockets.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0; ///< Seed of the random number generator.
};

/**
 * Runs the membership protocol over this entry's sockets, and reports the other entries and their store updates to the relay.
 *
 * Belongs to the thread that runs its io_context. Must be made before that thread starts and destroyed after it has ended.
 */
class member_duty
{
public:
    /// Binds the sockets. On failure returns null and sets @p reason.
    static std::unique_ptr<member_duty> make(
        boost::asio::io_context &context, member_duty_settings settings, channel<relay_event> &toRelay, std::function<void(log_line)> log, last_reason *reason);
    ~member_duty();
    member_duty(const member_duty &) = delete;
    member_duty &operator=(const member_duty &) = delete;

    /// `IP:port` of the sockets. Thread safe.
    const std::string &address() const;
    /// Starts peer discovery. Precondition: called once, before the thread starts.
    void start();
    /// Handles an event from another duty. Must be called on this duty's thread.
    void handle(member_event event);

private:
    class impl;
    explicit member_duty(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::node
