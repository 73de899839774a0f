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

/// Who this entry is to its peers.
struct member_duty_settings
{
    net::peer_transport_settings transport;
    membership_settings membership;
    member self; ///< Its peer address is replaced by the bound one.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0; ///< Of random choices.
};

/**
 * Runs the membership of this entry over its sockets and tells the relay which other entries there are.
 *
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class member_duty
{
public:
    /// Binds the sockets; null with @p reason set when that fails.
    static std::unique_ptr<member_duty> make(
        boost::asio::io_context &context, member_duty_settings settings, channel<relay_event> &toRelay, std::function<void(log_line)> log, last_reason *reason);
    ~member_duty();
    member_duty(const member_duty &) = delete;
    member_duty &operator=(const member_duty &) = delete;

    /// `IP:port` of the sockets. Thread safe.
    const std::string &address() const;
    /// Starts to look for peers. Precondition: called once, before the thread starts.
    void start();
    /// Takes in what another duty says. On the duty's thread.
    void take(member_event event);

private:
    class impl;
    explicit member_duty(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::node
