#include "node/member_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

class member_duty::impl : public std::enable_shared_from_this<member_duty::impl>
{
public:
    impl(asio::io_context &context, member_duty_settings settings, channel<relay_event> &toRelay, std::function<void(log_line)> log)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_toRelay(toRelay)
        , m_log(std::move(log))
        , m_timer(context)
    { }

    bool open(last_reason *reason)
    {
        net::peer_transport_hooks hooks;
        hooks.received = [this](const std::string &from, peer_message message) {
            if (auto *update = std::get_if<store_update>(&message.body)) {
                forwardToRelay(store_update_received{std::move(*update), 0, from});
                return;
            }
            if (auto *updateOfEra = std::get_if<store_update_of_era>(&message.body)) {
                forwardToRelay(store_update_received{std::move(updateOfEra->update), updateOfEra->era, from});
                return;
            }
            if (auto *versioned = std::get_if<versioned_store_update>(&message.body)) {
                forwardToRelay(store_update_received{std::move(versioned->update), versioned->era, from});
                return;
            }
            if (auto *reach = std::get_if<entry_reach>(&message.body)) {
                forwardToRelay(entry_reach_received{from, std::move(*reach)});
                return;
            }
            if (auto origins = messageIn<stream_origin_message>(message.body)) {
                forwardToRelay(stream_origin_received{from, std::move(*origins)});
                return;
            }
            if (auto crashes = messageIn<crash_message>(message.body)) {
                forwardToRelay(crash_reports_received{std::move(*crashes)});
                return;
            }
            if (auto quota = messageIn<team_quota_message>(message.body)) {
                forwardToRelay(team_quota_received{from, std::move(*quota)});
                return;
            }
            if (auto currency = messageIn<config_currency_message>(message.body)) {
                forwardToRelay(config_currency_received{from, *currency});
                return;
            }
            if (auto placement = messageIn<engine_placement_message>(message.body)) {
                forwardToRelay(engine_placement_received{from, std::move(*placement)});
                return;
            }
            if (auto limits = messageIn<rate_limit_message>(message.body)) {
                forwardToRelay(rate_limit_received{from, std::move(*limits)});
                return;
            }
            processEvent(membership_received{from, std::move(message.header.sender), std::move(message.body)});
        };
        m_transport = net::peer_transport::make(m_context, m_settings.transport, std::move(hooks), reason);
        if (!m_transport) {
            return false;
        }
        m_settings.self.peerAddress = m_transport->address();
        m_membership = membership::make(m_settings.membership, m_settings.self, m_settings.seed, reason);
        return m_membership != nullptr;
    }

    void start()
    {
        asio::post(m_context, [this] {
            processEvent(membership_hints{m_settings.seeds});
            processEvent(membership_timer{});
        });
    }

    void handle(member_event event)
    {
        if (auto *seedsFromStore = std::get_if<entry_addresses>(&event)) {
            std::vector<std::string> hints = m_settings.seeds;
            hints.insert(hints.end(), seedsFromStore->addresses.begin(), seedsFromStore->addresses.end());
            std::sort(hints.begin(), hints.end());
            hints.erase(std::unique(hints.begin(), hints.end()), hints.end());
            processEvent(membership_hints{std::move(hints)});
        } else if (auto *summary = std::get_if<own_summary>(&event)) {
            processEvent(membership_summary{summary->summary});
        } else if (auto *broadcastEvent = std::get_if<store_update_broadcast>(&event)) {
            broadcast(versioned_store_update{broadcastEvent->era, std::move(broadcastEvent->update)});
        } else if (auto *message = std::get_if<message_to_send>(&event)) {
            if (message->peerAddress) {
                m_transport->sendDatagram(*message->peerAddress, message->body);
            } else {
                broadcast(message->body);
            }
        } else {
            processEvent(membership_leave{});
        }
    }

    const std::string &address() const
    {
        return m_transport->address();
    }

private:
    /// Forwards another entry's message to the relay. It is dropped when the ring is full, because its sender repeats it.
    void forwardToRelay(relay_event event)
    {
        static_cast<void>(m_toRelay.tryPush(event));
    }

    void broadcast(const peer_body &body)
    {
        for (const member &other : m_membership->members()) {
            m_transport->sendDatagram(other.peerAddress, body);
        }
    }

    /// Passes @p event to the membership protocol and carries out the resulting effects.
    void processEvent(const membership_event &event)
    {
        membership_effects effects = m_membership->handle(coreNow(), event);
        for (membership_send &send : effects.sends) {
            // A datagram that can't be sent counts as lost; the protocol retransmits where necessary.
            m_transport->sendDatagram(send.address, send.body);
        }
        for (const member_change &change : effects.changes) {
            if (!change.before || *change.before != change.now.state) {
                m_log({log_level::Info,
                       "member",
                       {{"name", change.now.id.name},
                        {"start", std::to_string(change.now.id.incarnation)},
                        {"state", toString(change.now.state)},
                        {"callers", change.now.callerAddress}}});
            }
        }
        scheduleTimer(effects.wakeAt);
        if (!effects.changes.empty()) {
            m_membersUnsent = true;
        }
        sendMembersToRelay();
    }

    void scheduleTimer(instant at)
    {
        m_timer.expires_after(std::max(at - coreNow(), duration::zero()));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                processEvent(membership_timer{});
            }
        });
    }

    /// Sends the current members to the relay if they have changed. When the ring is full, the next event tries again.
    void sendMembersToRelay()
    {
        if (!m_membersUnsent) {
            return;
        }
        relay_event event = members_changed{m_membership->members()};
        m_membersUnsent = !m_toRelay.tryPush(event);
    }

    asio::io_context &m_context;
    member_duty_settings m_settings;
    channel<relay_event> &m_toRelay;
    std::function<void(log_line)> m_log;
    asio::steady_timer m_timer;
    std::unique_ptr<net::peer_transport> m_transport;
    std::unique_ptr<membership> m_membership;
    bool m_membersUnsent = false;
};

std::unique_ptr<member_duty> member_duty::make(
    asio::io_context &context, member_duty_settings settings, channel<relay_event> &toRelay, std::function<void(log_line)> log, last_reason *reason)
{
    auto implementation = std::make_shared<impl>(context, std::move(settings), toRelay, std::move(log));
    if (!implementation->open(reason)) {
        return nullptr;
    }
    return std::unique_ptr<member_duty>(new member_duty(std::move(implementation)));
}

member_duty::member_duty(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

member_duty::~member_duty() = default;

const std::string &member_duty::address() const
{
    return m_impl->address();
}

void member_duty::start()
{
    m_impl->start();
}

void member_duty::handle(member_event event)
{
    m_impl->handle(std::move(event));
}

} // namespace heatherroute::node
