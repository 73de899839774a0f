#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/upstream_table.h"
#include "heatherroute/config_replica.h"

namespace heatherroute
{

/**
 * Owns this entry's configuration replica and applies its changes to the upstream table.
 *
 * Reads the platform's log continuously: one read is always either in flight or scheduled for a retry. Not thread safe.
 */
class config_handler
{
public:
    /// Precondition: @p replica is not null.
    config_handler(core_context &context, upstream_table &upstreams, std::unique_ptr<config_replica> replica);

    void onLogRead(const log_read &event);
    void onLogTruncated(const log_truncated &event);
    void onLogUnavailable(const log_unavailable &event);
    void onTick();
    void onPeerSummary(instant requestedAt, const std::string &peer, const peer_summary &summary);
    void onPeerTransfer(const peer_transfer &transfer);
    void onPeerGone(const std::string &peer);
    void setPeerCount(std::size_t count);

    /// Sets the callback that sends the replica's requests to peers. Precondition: no event has been handled yet.
    void setPullHandler(std::function<void(const request_from_peer &)> pull);
    /// Sets the callback for each upstream, of any half, that was added, changed or removed; @p config is null on removal.
    void setUpstreamHook(std::function<void(const std::string &name, const upstream *config)> hook);

    /// The replica, for read access.
    const config_replica &replica() const noexcept
    {
        return *m_replica;
    }

private:
    void readNext();
    void scheduleRetry();
    void perform(config_effects effects);
    void perform(publish_decided &effect);
    void perform(state_adopted &effect);
    void perform(append_snapshot &effect);
    void perform(request_from_peer &effect);
    void perform(state_disagreement &effect);
    void refresh(const std::vector<entity_key> &changed);
    void refreshUpstream(const std::string &name);

    core_context &m_context;
    upstream_table &m_upstreams;
    std::unique_ptr<config_replica> m_replica;
    bool m_reading = false;
    instant m_readAt{};
    duration m_backoff;
    std::function<void(const request_from_peer &)> m_pull;
    std::function<void(const std::string &, const upstream *)> m_upstreamHook;
};

} // namespace heatherroute
