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
 * The core's actions for one open exchange, waiting to be written to its peer.
 *
 * Not thread safe: belongs to the thread of the duty that serves the exchange.
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

    /// Marks the peer as gone and wakes the exchange.
    void close()
    {
        m_closed = true;
        m_signal.cancel();
    }

    bool isClosed() const noexcept
    {
        return m_closed;
    }

    /// Sets what ends a write that waits for the peer; called by cut().
    void onCut(std::function<void()> hook)
    {
        m_onCut = std::move(hook);
    }

    /// Gives up a peer that does not read.
    void cut()
    {
        close();
        if (m_onCut) {
            m_onCut();
        }
    }

    /// Bytes that wait to be written, with what it costs to hold them.
    std::size_t queuedBytes() const noexcept
    {
        return m_queuedBytes;
    }

    /// Waits for the next action; empty when the peer is gone.
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
    std::function<void()> m_onCut;
};

/**
 * The open exchanges of one duty, by the id that the core knows them by.
 *
 * Ids of different duties differ in their high bits, so that an answer finds its duty. Not thread safe.
 */
class session_table
{
public:
    static constexpr unsigned kDutyShift = 56;

    /// @p duty is a small number that no other table of the process uses.
    session_table(boost::asio::io_context &context, std::uint8_t duty)
        : m_context(context)
        , m_lastId(static_cast<std::uint64_t>(duty) << kDutyShift)
    { }

    /// The duty whose table made @p id.
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

    /// The open session @p id; null when it has ended.
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
