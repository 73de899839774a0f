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
            if (auto *news = std::get_if<store_news>(&message.body)) {
                hear(std::move(*news));
                return;
            }
            deliver(membership_received{from, std::move(message.header.sender), std::move(message.body)});
        };
        m_transport = net::peer_transport::make(m_context, m_settings.transport, std::move(hooks), reason);
        if (!m_transport) {
            return false;
        }
        m_settings.self.peerAddress = m_transport->address();
        m_group = membership::make(m_settings.membership, m_settings.self, m_settings.seed, reason);
        return m_group != nullptr;
    }

    void start()
    {
        asio::post(m_context, [this] {
            deliver(membership_hints{m_settings.seeds});
            deliver(membership_timer{});
        });
    }

    void take(member_event event)
    {
        if (auto *entries = std::get_if<entry_addresses>(&event)) {
            std::vector<std::string> hints = m_settings.seeds;
            hints.insert(hints.end(), entries->addresses.begin(), entries->addresses.end());
            std::sort(hints.begin(), hints.end());
            hints.erase(std::unique(hints.begin(), hints.end()), hints.end());
            deliver(membership_hints{std::move(hints)});
        } else if (auto *summary = std::get_if<own_summary>(&event)) {
            deliver(membership_summary{summary->summary});
        } else if (auto *told = std::get_if<news_told>(&event)) {
            tell(told->news);
        } else {
            deliver(membership_leave{});
        }
    }

    const std::string &address() const
    {
        return m_transport->address();
    }

private:
    /// News that find the ring full are as good as lost; they are repeated.
    void hear(store_news news)
    {
        relay_event event = news_heard{std::move(news)};
        static_cast<void>(m_toRelay.tryPush(event));
    }

    void tell(const store_news &news)
    {
        const peer_body body = news;
        for (const member &other : m_group->members()) {
            m_transport->sendDatagram(other.peerAddress, body);
        }
    }

    void deliver(const membership_event &event)
    {
        membership_effects effects = m_group->handle(coreNow(), event);
        for (membership_send &send : effects.sends) {
            // A datagram that can't be sent is as good as lost; the protocol repeats what matters.
            m_transport->sendDatagram(send.address, send.body);
        }
        for (const member_change &change : effects.changes) {
            if (!change.before || *change.before != change.now.state) {
                m_log({log_level::Info,
                       "member",
                       {{"name", change.now.id.name},
                        {"start", std::to_string(change.now.id.start)},
                        {"state", toString(change.now.state)},
                        {"callers", change.now.callerAddress}}});
            }
        }
        wakeAt(effects.wakeAt);
        if (!effects.changes.empty()) {
            m_untold = true;
        }
        tellRelay();
    }

    void wakeAt(instant at)
    {
        m_timer.expires_after(std::max(at - coreNow(), duration::zero()));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                deliver(membership_timer{});
            }
        });
    }

    /// Hands the members on; when the ring is full the next event does it.
    void tellRelay()
    {
        if (!m_untold) {
            return;
        }
        relay_event event = members_changed{m_group->members()};
        m_untold = !m_toRelay.tryPush(event);
    }

    asio::io_context &m_context;
    member_duty_settings m_settings;
    channel<relay_event> &m_toRelay;
    std::function<void(log_line)> m_log;
    asio::steady_timer m_timer;
    std::unique_ptr<net::peer_transport> m_transport;
    std::unique_ptr<membership> m_group;
    bool m_untold = false;
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

void member_duty::take(member_event event)
{
    m_impl->take(std::move(event));
}

} // namespace heatherroute::node
