#pragma once

#include "heatherroute/assert.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>

namespace heatherroute
{

/**
 * A bounded queue of updates for one slow receiver, which can drop an update that a newer one makes obsolete.
 *
 * The idea is semantic obsolescence: J. Pereira, L. Rodrigues, R. Oliveira, "Reducing the Cost of Group Communication
 * with Semantic View Synchrony", DSN 2002. A receiver that stalls gets the last value of each key instead of filling the
 * queue. A newer update is appended at the end, so the remaining updates keep the order in which they were pushed.
 * Only for updates that carry the full value of their key. Not thread safe.
 */
template<typename Key, typename Update>
class update_queue
{
public:
    /// Whether @p newer makes @p older, an update of the same key, obsolete.
    using obsolescence_policy = std::function<bool(const Update &older, const Update &newer)>;

    /// A queue of at most @p capacity updates, at least 1. Without @p policy no update is dropped as obsolete.
    explicit update_queue(std::size_t capacity, obsolescence_policy policy = {})
        : m_capacity(capacity)
        , m_policy(std::move(policy))
    {
        HR_ASSERT(capacity > 0);
    }

    /// Appends @p update; false when the queue is full, and then the receiver needs the whole state instead.
    bool push(const Key &key, Update update)
    {
        dropObsolete(key, update);
        if (m_size == m_capacity) {
            return false;
        }
        m_items.push_back({key, std::move(update)});
        m_latest[key] = m_firstNumber + m_items.size() - 1;
        ++m_size;
        return true;
    }

    /// Removes and returns the oldest update; empty when there is none.
    std::optional<Update> pop()
    {
        while (!m_items.empty()) {
            item front = std::move(m_items.front());
            m_items.pop_front();
            const std::size_t number = m_firstNumber++;
            if (!front.update) {
                continue;
            }
            if (const auto latest = m_latest.find(front.key); latest != m_latest.end() && latest->second == number) {
                m_latest.erase(latest);
            }
            --m_size;
            return std::move(front.update);
        }
        return std::nullopt;
    }

    /// Number of queued updates.
    std::size_t size() const noexcept
    {
        return m_size;
    }

    /// Number of updates dropped as obsolete so far.
    std::size_t dropped() const noexcept
    {
        return m_dropped;
    }

private:
    struct item
    {
        Key key;
        std::optional<Update> update; ///< Empty after the update was dropped.
    };

    void dropObsolete(const Key &key, const Update &newer)
    {
        const auto latest = m_latest.find(key);
        if (!m_policy || latest == m_latest.end()) {
            return;
        }
        std::optional<Update> &older = m_items[latest->second - m_firstNumber].update;
        if (m_policy(*older, newer)) {
            older.reset();
            m_latest.erase(latest);
            --m_size;
            ++m_dropped;
            compact();
        }
    }

    /// Removes the empty items that dropped updates leave behind. Otherwise they would accumulate while the receiver takes no updates.
    void compact()
    {
        if (m_items.size() < 2 * m_capacity) {
            return;
        }
        std::deque<item> kept;
        for (item &one : m_items) {
            if (one.update) {
                m_latest[one.key] = m_firstNumber + kept.size();
                kept.push_back(std::move(one));
            }
        }
        m_items = std::move(kept);
    }

    std::size_t m_capacity;
    obsolescence_policy m_policy;
    std::deque<item> m_items;
    std::unordered_map<Key, std::size_t> m_latest; ///< Sequence number of the newest queued update of each key.
    std::size_t m_firstNumber = 0; ///< Sequence number of the first element of m_items.
    std::size_t m_size = 0;
    std::size_t m_dropped = 0;
};

} // namespace heatherroute
