#include "core/config_exchange.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

namespace
{

constexpr duration kCalmInterval = std::chrono::seconds(1);
constexpr duration kLeastInterval = std::chrono::milliseconds(10);
constexpr std::size_t kMaxQuestions = 2048;

} // namespace

config_exchange::config_exchange(core_context &context, config_flow &configuration)
    : m_context(context)
    , m_configuration(configuration)
{ }

std::string config_exchange::keyOf(const member_id &id)
{
    return id.name + "." + std::to_string(id.start);
}

void config_exchange::onMember(const member_change &change)
{
    const member_id &id = change.now.id;
    const std::string key = keyOf(id);
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
    if (m_context.now() >= m_askAt && !m_addresses.empty()) {
        askNext();
    }
}

void config_exchange::askNext()
{
    m_askAt = m_context.now() + interval();
    auto next = m_addresses.upper_bound(m_lastAsked);
    if (next == m_addresses.end()) {
        next = m_addresses.begin();
    }
    m_lastAsked = next->first;
    if (m_questions.size() >= kMaxQuestions) {
        m_questions.erase(m_questions.begin());
    }
    m_questions.emplace(++m_lastNumber, question{m_context.now(), next->first});
    m_context.emit(send_to_peer{next->second, config_question{m_lastNumber}, false});
}

duration config_exchange::interval() const
{
    const duration bound = m_context.options().configuration.currency.bound;
    const auto freshness = m_configuration.replica().freshness(m_context.now());
    if (freshness && *freshness < bound / 2) {
        return kCalmInterval;
    }
    return std::clamp(bound / 2 / static_cast<duration::rep>(m_addresses.size()), kLeastInterval, kCalmInterval / 4);
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
    m_assembly.expect(++m_lastNumber);
    m_context.emit(send_to_peer{m_addresses.at(peer->second), config_pull{m_lastNumber, request.request.from, request.request.whole}, true});
}

void config_exchange::receive(const peer_received &from, const config_question &body)
{
    const config_answer answer{body.number, m_configuration.replica().summary(m_context.now())};
    m_context.emit(send_to_peer{from.fromAddress, answer, false});
}

void config_exchange::receive(const peer_received &from, const config_answer &body)
{
    const auto found = m_questions.find(body.number);
    if (found == m_questions.end() || found->second.peer != from.sender) {
        return;
    }
    // The instant of the question dates the answer, however long it waited in a buffer.
    const instant askedAt = found->second.askedAt;
    m_questions.erase(found);
    if (m_addresses.contains(from.sender)) {
        m_positions[from.sender] = {askedAt, body.summary.next};
        m_configuration.onPeerSummary(askedAt, keyOf(from.sender), body.summary);
    }
}

void config_exchange::receive(const peer_received &from, const config_pull &body)
{
    const auto peer = m_addresses.find(from.sender);
    if (peer == m_addresses.end()) {
        return;
    }
    for (config_part &part : partsOf(body.number, m_configuration.replica().answer({body.from, body.whole}))) {
        m_context.emit(send_to_peer{peer->second, std::move(part), true});
    }
}

void config_exchange::receive(const peer_received &from, const config_part &body)
{
    if (from.sender != m_pulledFrom) {
        return;
    }
    if (const std::optional<peer_transfer> transfer = m_assembly.add(body)) {
        m_configuration.onPeerTransfer(*transfer);
    }
}

} // namespace heatherroute
