#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "heatherroute/membership.h"

namespace heatherroute
{

/**
 * Runs the membership protocol of this entry inside the core and keeps the other members by id for the other modules.
 *
 * Does nothing for an entry without a peer address. Not thread safe.
 */
class membership_handler
{
public:
    /// Callback for each change of a member.
    using change_hook = std::function<void(const member_change &)>;
    using member_map = std::map<member_id, member>;

    /// @p group may be null; then the entry has no peers.
    membership_handler(core_context &context, std::unique_ptr<membership> group, change_hook onChange);

    void onTick();
    void onMessage(const peer_received &event);
    void onVms(const vms_listed &event);
    /// Sets the summary (load and configuration) that the next probes carry to the peers.
    void setSummary(const node_summary &summary);
    /// Announces the planned stop.
    void leave();
    /// Announces the end of this process.
    void depart();

    /// The other members that are not dead.
    const member_map &others() const noexcept
    {
        return m_others;
    }

    /// This entry as announced to its peers.
    member self() const;
    /// The membership protocol, for dumps; null for an entry without peers.
    const membership *group() const noexcept
    {
        return m_group.get();
    }

private:
    void deliver(const membership_event &event);
    void refresh();
    std::vector<std::string> joinAddresses(const std::vector<std::string> &vms) const;

    core_context &m_context;
    std::unique_ptr<membership> m_group;
    change_hook m_onChange;
    member_map m_others;
    instant m_wakeAt{};
    instant m_refreshAt{};
    bool m_started = false;
};

/// The member that describes an entry with @p options at its start. Thread safe.
member selfOf(const core_options &options);

} // namespace heatherroute
