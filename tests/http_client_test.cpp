#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/http_client.h"

using namespace heatherroute;
namespace asio = boost::asio;
using asio::ip::tcp;
using net::http_call;
using net::http_result;
using std::chrono::milliseconds;

namespace
{

/// The behaviour of the test upstream after it has read the first bytes of a request.
struct upstream_script
{
    std::string answer;
    bool reset = false; ///< Reset the connection instead of closing it.
    bool hang = false; ///< Keep the connection open without sending anything more.
};

asio::awaitable<void> serveOnce(tcp::acceptor &acceptor, upstream_script script)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string bytes(1024, '\0');
    co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    if (!script.answer.empty()) {
        co_await asio::async_write(socket, asio::buffer(script.answer), asio::use_awaitable);
    }
    if (script.hang) {
        asio::steady_timer timer(acceptor.get_executor(), std::chrono::hours(1));
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (script.reset) {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }
}

http_result callUpstream(upstream_script script, http_call call = {})
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    call.endpoint = acceptor.local_endpoint();
    asio::co_spawn(context, serveOnce(acceptor, std::move(script)), asio::detached);
    std::optional<http_result> result;
    asio::co_spawn(context, net::performCall(std::move(call)), [&](const std::exception_ptr &, http_result got) {
        result = std::move(got);
        context.stop();
    });
    context.run();
    return std::move(*result);
}

} // namespace

TEST(HttpClient, ResponseWithoutLengthIsCompleteWhenTheConnectionCloses)
{
    const http_result result = callUpstream({"HTTP/1.1 200 OK\r\n\r\nhello", false, false});
    ASSERT_TRUE(result.answer);
    EXPECT_EQ(result.answer->body, "hello");
}

TEST(HttpClient, ResponseWithoutLengthIsIncompleteAfterAReset)
{
    const http_result result = callUpstream({"HTTP/1.1 200 OK\r\n\r\nhel", true, false});
    EXPECT_FALSE(result.answer);
    EXPECT_EQ(result.failure.outcome, verdict::MayHaveRun);
}

TEST(HttpClient, ResponseShorterThanItsLengthIsIncomplete)
{
    const http_result result = callUpstream({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhel", false, false});
    EXPECT_FALSE(result.answer);
    EXPECT_EQ(result.failure.outcome, verdict::MayHaveRun);
}

TEST(HttpClient, BytesAfterTheResponseAreIgnored)
{
    const http_result result = callUpstream({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", false, false});
    ASSERT_TRUE(result.answer);
    EXPECT_EQ(result.answer->body, "ok");
}

TEST(HttpClient, ResponseSentBeforeTheRequestBodyIsReadIsAccepted)
{
    http_call call;
    call.body = std::string(std::size_t{8} * 1024 * 1024, 'x');
    const http_result result = callUpstream({"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, true}, std::move(call));
    ASSERT_TRUE(result.answer);
    EXPECT_EQ(result.answer->status, 503U);
}

TEST(HttpClient, UnresponsiveUpstreamTimesOutAsMayHaveRun)
{
    http_call call;
    call.progressTimeout = milliseconds(100);
    const http_result result = callUpstream({"", false, true}, std::move(call));
    EXPECT_FALSE(result.answer);
    EXPECT_TRUE(result.timedOut);
    EXPECT_EQ(result.failure.outcome, verdict::MayHaveRun);
}

TEST(HttpClient, RefusedConnectionIsReportedAsNotRun)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    http_call call;
    call.endpoint = acceptor.local_endpoint();
    acceptor.close();
    std::optional<http_result> result;
    asio::co_spawn(context, net::performCall(std::move(call)), [&](const std::exception_ptr &, http_result got) { result = std::move(got); });
    context.run();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->failure.outcome, verdict::NotRun);
}

// Guards against undetected dead connections: after the network path broke, a long poll of the configuration stream kept waiting, and the
// entry used an outdated configuration for eight seconds.
TEST(HttpClient, SocketOptionsDetectDeadPeersWithinTwoSeconds)
{
    asio::io_context context(1);
    tcp::socket socket(context, tcp::v4());
    net::enableDeadPeerDetection(socket);
    const auto option = [&socket](int level, int name) {
        int value = 0;
        socklen_t size = sizeof(value);
        ::getsockopt(socket.native_handle(), level, name, &value, &size);
        return value;
    };
    EXPECT_NE(option(SOL_SOCKET, SO_KEEPALIVE), 0);
    EXPECT_LE(option(IPPROTO_TCP, TCP_KEEPIDLE) + option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT), 2);
    EXPECT_LE(option(IPPROTO_TCP, TCP_USER_TIMEOUT), 2000);
}
