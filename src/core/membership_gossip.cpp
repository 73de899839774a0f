#include "core/membership_gossip.h"

namespace heatherroute
{

namespace
{

constexpr std::size_t kLengthBytes = 2;

std::size_t encodedBytes(const std::string &text)
{
    return kLengthBytes + text.size();
}

} // namespace

std::size_t encodedBytes(const member_update &update)
{
    std::size_t bytes = encodedBytes(update.id.name) + sizeof(update.id.incarnation) + sizeof(update.refutation) + 2;
    if (update.details) {
        const member_details &details = *update.details;
        bytes += encodedBytes(details.callerAddress) + encodedBytes(details.peerAddress) + encodedBytes(details.zone);
        bytes += encodedBytes(details.region) + encodedBytes(details.half);
    }
    return bytes;
}

std::size_t encodedBytes(const node_summary &summary)
{
    std::size_t bytes = sizeof(summary.configRevision) + sizeof(summary.configDigest) + sizeof(summary.loadPermille) + kLengthBytes;
    for (const pool_slots &slots : summary.freeSlotsByPool) {
        bytes += encodedBytes(slots.pool) + sizeof(slots.freeSlots);
    }
    return bytes;
}

void membership_gossip::add(const member_update &update, std::uint32_t transmissions)
{
    remove(update.id);
    m_entries[update.id] = {update, transmissions};
    m_order.insert({transmissions, update.id});
}

std::vector<member_update> membership_gossip::take(std::size_t limitBytes)
{
    std::vector<member_update> taken;
    std::size_t bytes = 0;
    for (const rank &candidate : m_order) {
        const member_update &update = m_entries.at(candidate.id).update;
        const std::size_t size = encodedBytes(update);
        if (bytes + size > limitBytes || taken.size() == kMaxUpdatesPerMessage) {
            break;
        }
        bytes += size;
        taken.push_back(update);
    }
    for (const member_update &update : taken) {
        const std::uint32_t sendsLeft = m_entries.at(update.id).sendsLeft;
        m_order.erase({sendsLeft, update.id});
        if (sendsLeft <= 1) {
            m_entries.erase(update.id);
            continue;
        }
        m_entries.at(update.id).sendsLeft = sendsLeft - 1;
        m_order.insert({sendsLeft - 1, update.id});
    }
    return taken;
}

void membership_gossip::remove(const member_id &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    m_order.erase({found->second.sendsLeft, id});
    m_entries.erase(found);
}

std::size_t membership_gossip::size() const
{
    return m_entries.size();
}

} // namespace heatherroute
