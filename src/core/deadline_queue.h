#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "heatherroute/time.h"

namespace heatherroute
{

/**
 * A set of timers, one per key, ordered by time, so that the cost of a tick depends only on the number of due timers.
 *
 * Not thread safe.
 */
template<typename Key>
class deadline_queue
{
public:
    /// Sets the timer of @p key and replaces an earlier one.
    void set(const Key &key, instant when)
    {
        erase(key);
        m_times.emplace(key, when);
        m_order.emplace(when, key);
    }

    /// Removes the timer of @p key, if there is one.
    void erase(const Key &key)
    {
        const auto found = m_times.find(key);
        if (found == m_times.end()) {
            return;
        }
        m_order.erase({found->second, key});
        m_times.erase(found);
    }

    /// Removes and returns the keys whose time has been reached at @p now, earliest first.
    std::vector<Key> takeDue(instant now)
    {
        std::vector<Key> due;
        while (!m_order.empty() && m_order.begin()->first <= now) {
            const Key key = m_order.begin()->second;
            due.push_back(key);
            erase(key);
        }
        return due;
    }

private:
    std::map<Key, instant> m_times;
    std::set<std::pair<instant, Key>> m_order;
};

} // namespace heatherroute
