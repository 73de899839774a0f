#pragma once

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "heatherroute/assert.h"

namespace heatherroute::node
{

/**
 * A bounded queue between two threads.
 *
 * Exactly one thread pushes and exactly one thread pops; neither blocks the other. Source: Lamport, "Proving the
 * Correctness of Multiprocess Programs" (1977), the single-producer single-consumer ring.
 */
template<typename T>
class bounded_ring
{
public:
    /// Precondition: @p capacity is at least 1.
    explicit bounded_ring(std::size_t capacity)
        : m_slots(capacity + 1)
    {
        HR_ASSERT(capacity >= 1);
    }

    /// Adds @p value, or returns false and leaves it untouched when the ring is full. Producer thread only.
    bool tryPush(T &value)
    {
        const std::size_t tail = m_tail.load(std::memory_order_relaxed);
        const std::size_t next = nextIndex(tail);
        if (next == m_head.load(std::memory_order_acquire)) {
            return false;
        }
        m_slots[tail] = std::move(value);
        // Sequentially consistent together with the load in tryPop() and the flag of channel::wake(). With a weaker order the producer
        // could still see a pending wake-up while the consumer does not see the value yet, which would then wait for the next push.
        m_tail.store(next, std::memory_order_seq_cst);
        return true;
    }

    /// Removes and returns the oldest value; empty when the ring is empty. Consumer thread only.
    std::optional<T> tryPop()
    {
        const std::size_t head = m_head.load(std::memory_order_relaxed);
        if (head == m_tail.load(std::memory_order_seq_cst)) {
            return std::nullopt;
        }
        std::optional<T> value = std::exchange(m_slots[head], std::nullopt);
        m_head.store(nextIndex(head), std::memory_order_release);
        return value;
    }

private:
    std::size_t nextIndex(std::size_t index) const noexcept
    {
        return index + 1 == m_slots.size() ? 0 : index + 1;
    }

    std::vector<std::optional<T>> m_slots;
    alignas(64) std::atomic<std::size_t> m_head{0};
    alignas(64) std::atomic<std::size_t> m_tail{0};
};

} // namespace heatherroute::node
