#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstddef>
#include <string>
#include <utility>

#include "heatherroute/log_line.h"
#include "telemetry/log.h"

namespace heatherroute::node
{

/**
 * Passes log lines from threads that must not block to the thread that writes them.
 *
 * Writing blocks while the output can't accept a line, so the lines are queued, up to a limit. Further lines are dropped, and
 * the next line that is written reports how many. Thread safe. Must outlive the last run of the context, because the queued
 * handlers refer to it.
 */
class log_relay
{
public:
    explicit log_relay(boost::asio::io_context &context)
        : m_context(context)
    { }

    void post(log_line line)
    {
        if (m_waiting.fetch_add(1) >= kMaxWaiting) {
            m_waiting.fetch_sub(1);
            m_dropped.fetch_add(1);
            return;
        }
        boost::asio::post(m_context, [this, line = std::move(line)]() mutable {
            m_waiting.fetch_sub(1);
            const std::size_t dropped = m_dropped.exchange(0);
            if (dropped > 0) {
                line.fields.push_back({"lines_dropped_before", std::to_string(dropped)});
            }
            writeLog(line);
        });
    }

private:
    static constexpr std::size_t kMaxWaiting = 4096;

    boost::asio::io_context &m_context;
    std::atomic<std::size_t> m_waiting{0};
    std::atomic<std::size_t> m_dropped{0};
};

} // namespace heatherroute::node
