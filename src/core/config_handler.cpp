#include "core/config_handler.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(2);

} // namespace

config_handler::config_handler(core_context &context, upstream_table &upstreams, std::unique_ptr<config_replica> replica)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_replica(std::move(replica))
    , m_backoff(kInitialBackoff)
{ }

void config_handler::onLogRead(const log_read &event)
{
    m_reading = false;
    m_backoff = kInitialBackoff;
    perform(m_replica->onLogRead(event.requestedAt, m_context.now(), event.batch));
    readNext();
}

void config_handler::onLogTruncated(const log_truncated &event)
{
    m_reading = false;
    perform(m_replica->onLogTruncated(m_context.now(), event.oldest));
    scheduleRetry();
}

void config_handler::onLogUnavailable(const log_unavailable &event)
{
    m_reading = false;
    m_context.log(log_level::Debug, "log_unavailable", {{"reason", event.reason}});
    scheduleRetry();
}

void config_handler::onTick()
{
    perform(m_replica->tick(m_context.now()));
    if (!m_reading && m_context.now() >= m_readAt) {
        readNext();
    }
}

void config_handler::onPeerSummary(instant requestedAt, const std::string &peer, const peer_summary &summary)
{
    perform(m_replica->onPeerSummary(requestedAt, m_context.now(), peer, summary));
}

void config_handler::onPeerTransfer(const peer_transfer &transfer)
{
    perform(m_replica->onPeerTransfer(m_context.now(), transfer));
}

void config_handler::onPeerGone(const std::string &peer)
{
    m_replica->onPeerGone(peer);
}

void config_handler::setPeerCount(std::size_t count)
{
    m_replica->setPeerCount(count);
}

void config_handler::setPullHandler(std::function<void(const request_from_peer &)> pull)
{
    m_pull = std::move(pull);
}

void config_handler::setUpstreamHook(std::function<void(const std::string &, const upstream *)> hook)
{
    m_upstreamHook = std::move(hook);
}

void config_handler::readNext()
{
    m_reading = true;
    m_context.emit(read_log{m_replica->readFrom()});
}

void config_handler::scheduleRetry()
{
    std::uniform_int_distribution<duration::rep> jitter(0, m_backoff.count());
    m_readAt = m_context.now() + m_backoff + duration(jitter(m_context.random()));
    m_backoff = std::min(m_backoff * 2, kMaxBackoff);
}

void config_handler::perform(config_effects effects)
{
    for (config_effect &effect : effects) {
        std::visit([this](auto &typed) { perform(typed); }, effect);
    }
}

void config_handler::perform(publish_decided &effect)
{
    const bool accepted = effect.result.accepted == acceptance::Accepted;
    m_context.log(log_level::Info,
                  "publication_decided",
                  {{"publish_id", effect.publishId},
                   {"offset", std::to_string(effect.result.decision.offset)},
                   {"accepted", accepted ? "true" : "false"},
                   {"detail", effect.result.decision.detail}});
    refresh(effect.result.changed);
}

void config_handler::perform(state_adopted &effect)
{
    refresh(effect.changed);
}

void config_handler::perform(append_snapshot &effect)
{
    m_context.emit(append_log{std::move(effect.record)});
}

void config_handler::perform(request_from_peer &effect)
{
    if (m_pull) {
        m_pull(effect);
    }
}

void config_handler::perform(state_disagreement &effect)
{
    m_context.log(log_level::Error, "configurations_disagree", {{"peer", effect.peer}, {"next", std::to_string(effect.next)}});
}

void config_handler::refresh(const std::vector<entity_key> &changed)
{
    for (const entity_key &key : changed) {
        if (key.kind == entity_kind::Upstream) {
            refreshUpstream(key.name);
        }
    }
}

void config_handler::refreshUpstream(const std::string &name)
{
    const auto &upstreams = m_replica->state().upstreams();
    const auto found = upstreams.find(name);
    if (m_upstreamHook) {
        m_upstreamHook(name, found == upstreams.end() ? nullptr : &found->second.value);
    }
    if (found == upstreams.end() || found->second.value.half != m_context.options().half) {
        m_upstreams.remove(name);
        return;
    }
    m_upstreams.upsert(found->second.value);
}

} // namespace heatherroute
