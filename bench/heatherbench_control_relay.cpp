#include "heatherbench_control_relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace heatherroute::bench
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct counting_relay::shared
{
    tcp::endpoint target;
    bool isOpen = true;
    relay_counts counts;
};

namespace
{

constexpr std::size_t kBufferBytes = 16384;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

struct relay_pair
{
    explicit relay_pair(tcp::socket accepted)
        : from(std::move(accepted))
        , to(from.get_executor())
    { }

    tcp::socket from;
    tcp::socket to;
};

asio::awaitable<void> forwardBytes(std::shared_ptr<relay_pair> /*keepsAlive*/, tcp::socket &source, tcp::socket &sink, std::shared_ptr<std::uint64_t> bytes)
{
    std::array<char, kBufferBytes> buffer{};
    while (true) {
        const auto [readError, size] = co_await source.async_read_some(asio::buffer(buffer), kAwait);
        if (readError) {
            break;
        }
        *bytes += size;
        const auto [writeError, written] = co_await asio::async_write(sink, asio::buffer(buffer.data(), size), kAwait);
        if (writeError) {
            break;
        }
    }
    boost::system::error_code ignored;
    sink.shutdown(tcp::socket::shutdown_send, ignored);
}

template<typename Shared>
asio::awaitable<void> serve(std::shared_ptr<Shared> shared, tcp::socket accepted)
{
    auto pair = std::make_shared<relay_pair>(std::move(accepted)); // NOLINT(bugprone-use-after-move): moved once; the check misreads coroutines.
    const auto [error] = co_await pair->to.async_connect(shared->target, kAwait); // NOLINT(bugprone-use-after-move): likewise.
    if (error) {
        co_return;
    }
    const std::shared_ptr<std::uint64_t> up(shared, &shared->counts.bytesUp);
    const std::shared_ptr<std::uint64_t> down(shared, &shared->counts.bytesDown);
    asio::co_spawn(pair->from.get_executor(), forwardBytes(pair, pair->from, pair->to, up), asio::detached);
    co_await forwardBytes(pair, pair->to, pair->from, down);
}

template<typename Shared>
asio::awaitable<void> acceptAll(tcp::acceptor &acceptor, std::shared_ptr<Shared> shared)
{
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(kAwait);
        if (error) {
            co_return;
        }
        ++shared->counts.connections;
        if (shared->isOpen) {
            asio::co_spawn(acceptor.get_executor(), serve(shared, std::move(socket)), asio::detached);
        }
    }
}

} // namespace

counting_relay::counting_relay(asio::io_context &context, const tcp::endpoint &target)
    : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_shared(std::make_shared<shared>())
{
    m_shared->target = target;
    asio::co_spawn(context, acceptAll(m_acceptor, m_shared), asio::detached);
}

tcp::endpoint counting_relay::endpoint() const
{
    return m_acceptor.local_endpoint();
}

void counting_relay::setOpen(bool open)
{
    m_shared->isOpen = open;
}

relay_counts counting_relay::counts() const
{
    return m_shared->counts;
}

} // namespace heatherroute::bench
