#include "core/config_exchange.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

namespace
{

constexpr duration kNormalInterval = std::chrono::seconds(1);
constexpr duration kMinInterval = std::chrono::milliseconds(10);
constexpr std::size_t kMaxPendingQueries = 2048;

} // namespace

config_exchange::config_exchange(core_context &context, config_handler &configuration)
    : m_context(context)
    , m_configuration(configuration)
{ }

std::string config_exchange::peerKey(const member_id &id)
{
    return id.name + "." + std::to_string(id.incarnation);
}

void config_exchange::onMember(const member_change &change)
{
    const member_id &id = change.now.id;
    const std::string key = peerKey(id);
    if (change.now.state == member_state::Dead) {
        m_addresses.erase(id);
        m_peersByKey.erase(key);
        m_positions.erase(id);
        m_configuration.onPeerGone(key);
    } else {
        m_addresses[id] = change.now.peerAddress;
        m_peersByKey[key] = id;
    }
    m_configuration.setPeerCount(m_addresses.size());
}

void config_exchange::onMessage(const peer_received &event)
{
    std::visit(
        [this, &event](const auto &body) {
            if constexpr (requires { this->receive(event, body); }) {
                receive(event, body);
            }
        },
        event.body);
}

void config_exchange::onTick()
{
    if (m_context.now() >= m_nextQueryAt && !m_addresses.empty()) {
        queryNextPeer();
    }
}

void config_exchange::queryNextPeer()
{
    m_nextQueryAt = m_context.now() + queryInterval();
    auto next = m_addresses.upper_bound(m_lastQueried);
    if (next == m_addresses.end()) {
        next = m_addresses.begin();
    }
    m_lastQueried = next->first;
    if (m_pendingQueries.size() >= kMaxPendingQueries) {
        m_pendingQueries.erase(m_pendingQueries.begin());
    }
    m_pendingQueries.emplace(++m_lastNumber, pending_query{m_context.now(), next->first});
    m_context.emit(send_to_peer{next->second, config_query{m_lastNumber}, false});
}

duration config_exchange::queryInterval() const
{
    const duration bound = m_context.options().configuration.freshness.maxProofAge;
    const auto freshness = m_configuration.replica().proofAge(m_context.now());
    if (freshness && *freshness < bound / 2) {
        return kNormalInterval;
    }
    return std::clamp(bound / 2 / static_cast<duration::rep>(m_addresses.size()), kMinInterval, kNormalInterval / 4);
}

std::optional<std::pair<instant, log_offset>> config_exchange::positionOf(const member_id &id) const
{
    const auto known = m_positions.find(id);
    return known == m_positions.end() ? std::nullopt : std::optional(known->second);
}

void config_exchange::pull(const request_from_peer &request)
{
    const auto peer = m_peersByKey.find(request.peer);
    if (peer == m_peersByKey.end()) {
        return;
    }
    m_pulledFrom = peer->second;
    m_assembler.expect(++m_lastNumber);
    m_context.emit(send_to_peer{m_addresses.at(peer->second), config_pull{m_lastNumber, request.request.from, request.request.fullState}, true});
}

void config_exchange::receive(const peer_received &from, const config_query &body)
{
    const config_reply reply{body.number, m_configuration.replica().summary(m_context.now())};
    m_context.emit(send_to_peer{from.fromAddress, reply, false});
}

void config_exchange::receive(const peer_received &from, const config_reply &body)
{
    const auto found = m_pendingQueries.find(body.number);
    if (found == m_pendingQueries.end() || found->second.peer != from.sender) {
        return;
    }
    // The answer is dated by the time of the query, since it may have waited in a buffer.
    const instant requestedAt = found->second.requestedAt;
    m_pendingQueries.erase(found);
    if (m_addresses.contains(from.sender)) {
        m_positions[from.sender] = {requestedAt, body.summary.next};
        m_configuration.onPeerSummary(requestedAt, peerKey(from.sender), body.summary);
    }
}

void config_exchange::receive(const peer_received &from, const config_pull &body)
{
    const auto peer = m_addresses.find(from.sender);
    if (peer == m_addresses.end()) {
        return;
    }
    for (config_part &part : splitTransfer(body.number, m_configuration.replica().transferFor({body.from, body.fullState}))) {
        m_context.emit(send_to_peer{peer->second, std::move(part), true});
    }
}

void config_exchange::receive(const peer_received &from, const config_part &body)
{
    if (from.sender != m_pulledFrom) {
        return;
    }
    if (const std::optional<peer_transfer> transfer = m_assembler.add(body)) {
        m_configuration.onPeerTransfer(*transfer);
    }
}

} // namespace heatherroute
