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
 * Carries the core's messages to peers and theirs to the core.
 *
 * What comes while the channel to the core is full is dropped and counted, as a network would drop it: peers ask again.
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class peer_duty
{
public:
    /// Binds the sockets; null with @p reason set when that fails.
    static std::unique_ptr<peer_duty>
    make(boost::asio::io_context &context, const net::peer_transport_settings &settings, channel<core_event> &toCore, last_reason *reason);
    ~peer_duty();
    peer_duty(const peer_duty &) = delete;
    peer_duty &operator=(const peer_duty &) = delete;

    /// Whether @p action is one that this duty carries out. Thread safe.
    static bool takes(const core_action &action) noexcept;
    /// Carries out @p action. Precondition: takes(action).
    void perform(const core_action &action);

    /// `IP:port` of both sockets. Thread safe.
    const std::string &address() const;
    /// Thread safe.
    const net::peer_transport_counters &counters() const;
    /// Messages dropped as the core had too much to do. Thread safe.
    std::uint64_t messagesDropped() const;

private:
    class impl;
    explicit peer_duty(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
