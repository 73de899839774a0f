#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace heatherroute::node
{

/**
 * A thread that runs one duty's io_context.
 *
 * Objects that use the context may be created before start() and destroyed after stop(). Not thread safe.
 */
class duty_thread
{
public:
    duty_thread()
        : m_context(1)
        , m_guard(m_context.get_executor())
    { }

    ~duty_thread()
    {
        stop();
    }

    duty_thread(const duty_thread &) = delete;
    duty_thread &operator=(const duty_thread &) = delete;

    boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    void start()
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    /// Stops the context and waits for the thread to end. Handlers that are still pending do not run.
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace heatherroute::node
