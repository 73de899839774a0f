#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "heatherroute/core_action.h"

namespace heatherroute::node
{

/**
 * The core's actions for one open exchange that have not been written to its HTTP client yet.
 *
 * Not thread safe: use it only on the thread of the duty that serves the exchange.
 */
class session
{
public:
    explicit session(boost::asio::io_context &context)
        : m_signal(context, boost::asio::steady_timer::time_point::max())
    { }

    /// Queues @p action and wakes the exchange.
    void push(core_action action)
    {
        m_queuedBytes += sizeOf(action);
        m_queue.push_back(std::move(action));
        m_signal.cancel();
    }

    /// Marks the client as disconnected and wakes the exchange.
    void close()
    {
        m_closed = true;
        m_signal.cancel();
    }

    bool isClosed() const noexcept
    {
        return m_closed;
    }

    /// Sets the hook with which abort() ends a write that is blocked on the client.
    void onAbort(std::function<void()> hook)
    {
        m_onAbort = std::move(hook);
    }

    /// Closes the session of a client that does not read its answer and calls the onAbort() hook.
    void abort()
    {
        close();
        if (m_onAbort) {
            m_onAbort();
        }
    }

    /// Memory of the queued actions in bytes, including the objects that hold them.
    std::size_t queuedBytes() const noexcept
    {
        return m_queuedBytes;
    }

    /// Waits for the next action; empty when the session is closed.
    boost::asio::awaitable<std::optional<core_action>> next()
    {
        while (m_queue.empty() && !m_closed) {
            boost::system::error_code ignored;
            co_await m_signal.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        if (m_closed) {
            co_return std::nullopt;
        }
        core_action action = std::move(m_queue.front());
        m_queue.pop_front();
        m_queuedBytes -= sizeOf(action);
        co_return action;
    }

private:
    static std::size_t sizeOf(const core_action &action)
    {
        std::size_t bytes = sizeof(core_action);
        if (const auto *tokens = std::get_if<deliver_tokens>(&action)) {
            for (const std::string &text : tokens->texts) {
                bytes += sizeof(std::string) + text.size();
            }
        }
        return bytes;
    }

    boost::asio::steady_timer m_signal;
    std::deque<core_action> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_closed = false;
    std::function<void()> m_onAbort;
};

/**
 * The open sessions of one duty, by the caller id that the core uses for them.
 *
 * The high bits of an id hold the number of its duty, so that an answer is routed back to that duty. Not thread safe.
 */
class session_table
{
public:
    static constexpr unsigned kDutyShift = 56; ///< Position of the duty number in a caller id.

    /// @p duty is a number that no other table of the process uses.
    session_table(boost::asio::io_context &context, std::uint8_t duty)
        : m_context(context)
        , m_lastId(static_cast<std::uint64_t>(duty) << kDutyShift)
    { }

    /// The number of the duty whose table created @p id.
    static std::uint8_t dutyOf(caller_id id) noexcept
    {
        return static_cast<std::uint8_t>(id.value >> kDutyShift);
    }

    std::pair<caller_id, std::shared_ptr<session>> open()
    {
        const caller_id id{++m_lastId};
        auto opened = std::make_shared<session>(m_context);
        m_sessions.emplace(id, opened);
        return {id, opened};
    }

    void close(caller_id id)
    {
        m_sessions.erase(id);
    }

    /// The open session with @p id; null when it has ended.
    std::shared_ptr<session> find(caller_id id) const
    {
        const auto found = m_sessions.find(id);
        return found == m_sessions.end() ? nullptr : found->second;
    }

    std::size_t size() const noexcept
    {
        return m_sessions.size();
    }

private:
    boost::asio::io_context &m_context;
    std::uint64_t m_lastId;
    std::map<caller_id, std::shared_ptr<session>> m_sessions;
};

} // namespace heatherroute::node
