#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include "node/bounded_ring.h"

namespace heatherroute::node
{

/// Retry interval of a producer whose channel is full.
inline constexpr std::chrono::milliseconds kFullChannelWait{1};

/**
 * A bounded ring that notifies its consumer's io_context when values arrive.
 *
 * For one producer thread and one consumer thread. Precondition: setConsumer() has returned before the first push.
 */
template<typename T>
class channel
{
public:
    explicit channel(std::size_t capacity)
        : m_ring(capacity)
    { }

    /// Sets @p drain, which runs on @p context after values have arrived. It should pop until the channel is empty.
    void setConsumer(boost::asio::io_context &context, std::function<void()> drain)
    {
        m_context = &context;
        m_drain = std::move(drain);
    }

    /// Adds @p value, or returns false when the channel is full. Producer thread only.
    bool tryPush(T &value)
    {
        if (!m_ring.tryPush(value)) {
            return false;
        }
        wake();
        return true;
    }

    /// Adds @p value, waiting while the channel is full. Producer thread only.
    boost::asio::awaitable<void> push(T value)
    {
        while (!tryPush(value)) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, kFullChannelWait);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    /// Removes and returns the oldest value; empty when the channel is empty. Consumer thread only.
    std::optional<T> tryPop()
    {
        return m_ring.tryPop();
    }

private:
    void wake()
    {
        if (m_scheduled.exchange(true)) {
            return;
        }
        boost::asio::post(*m_context, [this] {
            m_scheduled.store(false);
            m_drain();
        });
    }

    bounded_ring<T> m_ring;
    std::atomic<bool> m_scheduled{false};
    boost::asio::io_context *m_context = nullptr;
    std::function<void()> m_drain;
};

} // namespace heatherroute::node
