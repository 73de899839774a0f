#include "core/replay_guard.h"

#include "heatherroute/assert.h"

namespace heatherroute
{

replay_guard::replay_guard(std::size_t maxSenders)
    : m_maxSenders(maxSenders)
{
    HR_ASSERT(maxSenders > 0);
}

replay_guard::window &replay_guard::windowOf(const member_id &sender)
{
    const auto known = m_windows.find(sender);
    if (known != m_windows.end()) {
        m_recency.splice(m_recency.begin(), m_recency, known->second.recency);
        return known->second;
    }
    if (m_windows.size() >= m_maxSenders) {
        m_windows.erase(m_recency.back());
        m_recency.pop_back();
    }
    m_recency.push_front(sender);
    window &fresh = m_windows[sender];
    fresh.recency = m_recency.begin();
    return fresh;
}

bool replay_guard::accept(const member_id &sender, std::uint64_t sequence)
{
    window &senderWindow = windowOf(sender);
    if (sequence > senderWindow.highest) {
        const std::uint64_t shift = sequence - senderWindow.highest;
        senderWindow.seen = shift >= kWindow ? std::bitset<kWindow>() : senderWindow.seen << shift;
        senderWindow.seen.set(0);
        senderWindow.highest = sequence;
        return true;
    }
    const std::uint64_t age = senderWindow.highest - sequence;
    if (age >= kWindow || senderWindow.seen.test(age)) {
        return false;
    }
    senderWindow.seen.set(age);
    return true;
}

} // namespace heatherroute
