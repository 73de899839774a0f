#include "net/frame_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace heatherroute::net
{

namespace asio = boost::asio;

namespace
{

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Closes the connection when sent bytes stay unacknowledged for `time`. Otherwise a dead connection would accept and lose frames for many minutes.
void limitUnacknowledgedTime(asio::ip::tcp::socket &socket, std::chrono::milliseconds time)
{
    const auto milliseconds = static_cast<unsigned int>(time.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

} // namespace

frame_connection::frame_connection(asio::io_context &io,
                                   const peer_transport_settings &settings,
                                   std::shared_ptr<peer_transport_counters> counters,
                                   std::function<void()> closed)
    : m_settings(settings)
    , m_counters(std::move(counters))
    , m_onClosed(std::move(closed))
    , m_socket(io)
    , m_watchdog(io)
    , m_wake(io)
{ }

void frame_connection::start(const asio::ip::tcp::endpoint &peer)
{
    auto keepAlive = shared_from_this();
    asio::co_spawn(m_socket.get_executor(), run(peer), [keepAlive](const std::exception_ptr & /*error*/) { keepAlive->close(); });
}

bool frame_connection::queue(std::vector<std::byte> frame)
{
    if (m_isClosed || m_queue.size() >= m_settings.maxQueuedFrames) {
        return false;
    }
    m_queue.push_back(std::move(frame));
    m_wake.cancel();
    return true;
}

void frame_connection::close()
{
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    m_counters->framesLost += m_queue.size();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_watchdog.cancel();
    m_wake.cancel();
    std::exchange(m_onClosed, nullptr)();
}

void frame_connection::armWatchdog(std::chrono::milliseconds time)
{
    m_watchdog.expires_after(time);
    m_watchdog.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->close();
        }
    });
}

asio::awaitable<void> frame_connection::run(asio::ip::tcp::endpoint peer)
{
    if (!co_await connect(peer)) {
        co_return;
    }
    auto keepAlive = shared_from_this();
    asio::co_spawn(m_socket.get_executor(), watchForClose(), [keepAlive](const std::exception_ptr & /*error*/) { keepAlive->close(); });
    while (!m_isClosed) {
        if (!m_queue.empty()) {
            if (!co_await writeNext()) {
                co_return;
            }
            continue;
        }
        // Half of the receiver's timeout, so that the sender closes first and never sends a frame on a connection that is being closed.
        armWatchdog(m_settings.idleTimeout / 2);
        m_wake.expires_at(asio::steady_timer::time_point::max());
        co_await m_wake.async_wait(kAwait);
    }
}

asio::awaitable<bool> frame_connection::connect(asio::ip::tcp::endpoint peer)
{
    armWatchdog(m_settings.connectTimeout);
    const auto [error] = co_await m_socket.async_connect(peer, kAwait);
    if (error || m_isClosed) {
        co_return false;
    }
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    limitUnacknowledgedTime(m_socket, m_settings.writeTimeout);
    co_return true;
}

asio::awaitable<bool> frame_connection::writeNext()
{
    armWatchdog(m_settings.writeTimeout);
    const auto [error, written] = co_await asio::async_write(m_socket, asio::buffer(m_queue.front()), kAwait);
    if (error || m_isClosed) {
        co_return false;
    }
    m_queue.pop_front();
    ++m_counters->framesSent;
    m_counters->bytesSent += written;
    co_return true;
}

asio::awaitable<void> frame_connection::watchForClose()
{
    std::byte unexpected{};
    // The peer never sends on this connection, so the connection is finished when this read completes.
    co_await m_socket.async_read_some(asio::buffer(&unexpected, 1), kAwait);
}

} // namespace heatherroute::net
