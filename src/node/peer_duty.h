#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "heatherroute/last_reason.h"
#include "net/peer_transport.h"
#include "node/channel.h"

namespace heatherroute::node
{

/**
 * Sends the core's messages to peers and passes messages from peers to the core.
 *
 * A message that arrives while the channel to the core is full is dropped and counted. Peers retry, as they do after loss in the network.
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class peer_duty
{
public:
    /// Binds the sockets. On failure returns null and sets @p reason.
    static std::unique_ptr<peer_duty>
    make(boost::asio::io_context &context, const net::peer_transport_settings &settings, channel<core_event> &toCore, last_reason *reason);
    ~peer_duty();
    peer_duty(const peer_duty &) = delete;
    peer_duty &operator=(const peer_duty &) = delete;

    /// Whether this duty executes @p action. Thread safe.
    static bool handles(const core_action &action) noexcept;
    /// Executes @p action. Precondition: handles(action).
    void perform(const core_action &action);

    /// The `IP:port` of both sockets, UDP and TCP. Thread safe.
    const std::string &address() const;
    /// The transport's counters. Thread safe.
    const net::peer_transport_counters &counters() const;
    /// Number of messages dropped because the channel to the core was full. Thread safe.
    std::uint64_t messagesDropped() const;

private:
    class impl;
    explicit peer_duty(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
