#include "node/peer_duty.h"

#include <atomic>
#include <utility>

namespace heatherroute::node
{

class peer_duty::impl
{
public:
    explicit impl(channel<core_event> &toCore)
        : m_toCore(toCore)
    { }

    bool open(boost::asio::io_context &context, const net::peer_transport_settings &settings, last_reason *reason)
    {
        net::peer_transport_hooks hooks;
        hooks.received = [this](const std::string &from, peer_message message) {
            core_event event = peer_received{from, std::move(message.header.sender), std::move(message.body)};
            if (!m_toCore.tryPush(event)) {
                ++m_dropped;
            }
        };
        m_transport = net::peer_transport::make(context, settings, std::move(hooks), reason);
        return m_transport != nullptr;
    }

    void send(const send_to_peer &message)
    {
        // The transport counts a message that it cannot send, and the component that needs the reply retries.
        if (message.overTcp) {
            m_transport->sendFrame(message.address, message.body);
        } else {
            m_transport->sendDatagram(message.address, message.body);
        }
    }

    const net::peer_transport &transport() const
    {
        return *m_transport;
    }

    std::uint64_t dropped() const
    {
        return m_dropped.load();
    }

private:
    channel<core_event> &m_toCore;
    std::atomic<std::uint64_t> m_dropped{0};
    std::unique_ptr<net::peer_transport> m_transport;
};

std::unique_ptr<peer_duty>
peer_duty::make(boost::asio::io_context &context, const net::peer_transport_settings &settings, channel<core_event> &toCore, last_reason *reason)
{
    auto implementation = std::make_unique<impl>(toCore);
    if (!implementation->open(context, settings, reason)) {
        return nullptr;
    }
    return std::unique_ptr<peer_duty>(new peer_duty(std::move(implementation)));
}

peer_duty::peer_duty(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

peer_duty::~peer_duty() = default;

bool peer_duty::handles(const core_action &action) noexcept
{
    return std::holds_alternative<send_to_peer>(action);
}

void peer_duty::perform(const core_action &action)
{
    m_impl->send(std::get<send_to_peer>(action));
}

const std::string &peer_duty::address() const
{
    return m_impl->transport().address();
}

const net::peer_transport_counters &peer_duty::counters() const
{
    return m_impl->transport().counters();
}

std::uint64_t peer_duty::messagesDropped() const
{
    return m_impl->dropped();
}

} // namespace heatherroute::node
