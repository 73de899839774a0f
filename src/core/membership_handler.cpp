#include "core/membership_handler.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

namespace
{

/// Interval at which all members are read again, since a change of load alone is not reported as a member_change.
constexpr duration kRefreshInterval = std::chrono::seconds(1);

/// Whether @p address has a port: a colon that is not part of a bare IPv6 address.
bool hasPort(const std::string &address)
{
    const auto colons = std::count(address.begin(), address.end(), ':');
    return colons == 1 || address.find("]:") != std::string::npos;
}

} // namespace

member selfOf(const core_options &options)
{
    member self;
    self.id = {options.entryName, options.incarnation};
    self.callerAddress = options.callerAddress;
    self.peerAddress = options.peerAddress;
    self.zone = options.zone;
    self.region = options.region;
    self.half = options.half;
    return self;
}

membership_handler::membership_handler(core_context &context, std::unique_ptr<membership> group, change_hook onChange)
    : m_context(context)
    , m_group(std::move(group))
    , m_onChange(std::move(onChange))
{ }

void membership_handler::onTick()
{
    if (!m_group) {
        return;
    }
    if (!m_started) {
        m_started = true;
        deliver(membership_hints{joinAddresses({})});
        deliver(membership_timer{});
    } else if (m_context.now() >= m_wakeAt) {
        deliver(membership_timer{});
    }
    if (m_context.now() >= m_refreshAt) {
        m_refreshAt = m_context.now() + kRefreshInterval;
        refresh();
    }
}

void membership_handler::refresh()
{
    m_others.clear();
    for (member &known : m_group->members()) {
        member_id id = known.id;
        m_others.emplace(std::move(id), std::move(known));
    }
}

void membership_handler::onMessage(const peer_received &event)
{
    if (m_group) {
        deliver(membership_received{event.fromAddress, event.sender, event.body});
    }
}

void membership_handler::onVms(const vms_listed &event)
{
    if (m_group) {
        deliver(membership_hints{joinAddresses(event.addresses)});
    }
}

void membership_handler::setSummary(const node_summary &summary)
{
    if (m_group) {
        deliver(membership_summary{summary});
    }
}

void membership_handler::leave()
{
    if (m_group) {
        deliver(membership_leave{});
    }
}

void membership_handler::depart()
{
    if (m_group) {
        deliver(membership_departed{});
    }
}

member membership_handler::self() const
{
    return m_group ? m_group->self() : selfOf(m_context.options());
}

void membership_handler::deliver(const membership_event &event)
{
    membership_effects effects = m_group->handle(m_context.now(), event);
    m_wakeAt = effects.wakeAt;
    for (membership_send &send : effects.sends) {
        m_context.emit(send_to_peer{std::move(send.address), std::move(send.body), false});
    }
    for (const member_change &change : effects.changes) {
        if (change.now.state == member_state::Dead) {
            m_others.erase(change.now.id);
        } else {
            m_others[change.now.id] = change.now;
        }
        if (!change.before || *change.before != change.now.state) {
            m_context.log(log_level::Info,
                          "member",
                          {{"name", change.now.id.name}, {"start", std::to_string(change.now.id.incarnation)}, {"state", toString(change.now.state)}});
        }
        m_onChange(change);
    }
}

std::vector<std::string> membership_handler::joinAddresses(const std::vector<std::string> &vms) const
{
    // All entries of a fleet listen for peers on the same port, so this entry's port is added to an address without a port.
    const std::string &own = m_context.options().peerAddress;
    const std::string port = own.substr(std::min(own.rfind(':'), own.size()));
    std::vector<std::string> hints = m_context.options().seeds;
    for (const std::string &vm : vms) {
        hints.push_back(hasPort(vm) ? vm : vm + port);
    }
    std::sort(hints.begin(), hints.end());
    hints.erase(std::unique(hints.begin(), hints.end()), hints.end());
    if (hints.size() > m_context.options().membership.maxHints) {
        hints.resize(m_context.options().membership.maxHints);
    }
    return hints;
}

} // namespace heatherroute
