#include "node/upstream_duty.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sys/resource.h>

#include <string>
#include <vector>

using namespace heatherroute;
using namespace heatherroute::node;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
/// What an upstream can send before it notices the end of a call: what was read, and the buffers of its connection.
constexpr std::size_t kMaxSentBytes = 8 * kMebibyte;

/// An upstream that answers each request by @p head and then by bytes without end.
class endless_upstream
{
public:
    endless_upstream(asio::io_context &context, std::string head, std::string repeated)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_head(std::move(head))
        , m_repeated(std::move(repeated))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// What it has sent on all connections that have ended.
    std::size_t sentBytes() const noexcept
    {
        return m_sent;
    }

    std::size_t openConnections() const noexcept
    {
        return m_open;
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++m_open;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        socket.set_option(asio::socket_base::send_buffer_size(64 * 1024));
        boost::system::error_code error;
        std::string bytes(4096, '\0');
        co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(socket, asio::buffer(m_head), asio::redirect_error(asio::use_awaitable, error));
        while (!error) {
            const std::size_t count = co_await asio::async_write(socket, asio::buffer(m_repeated), asio::redirect_error(asio::use_awaitable, error));
            m_sent += count;
        }
        --m_open;
    }

    tcp::acceptor m_acceptor;
    std::string m_head;
    std::string m_repeated;
    std::size_t m_sent = 0;
    std::size_t m_open = 0;
};

/// Runs a duty that performs @p actions until it has reported as many results and the upstream's connections have ended.
std::vector<core_event> resultsOf(asio::io_context &context,
                                  const endless_upstream &upstream,
                                  const std::vector<core_action> &actions,
                                  std::shared_ptr<net::memory_budget> memory = nullptr)
{
    channel<core_event> toCore(256);
    std::vector<core_event> results;
    toCore.setConsumer(context, [&] {
        while (auto event = toCore.tryPop()) {
            if (!std::holds_alternative<tokens_received>(*event)) {
                results.push_back(std::move(*event));
            }
        }
    });
    upstream_duty duty(context, toCore, std::move(memory));
    for (const core_action &action : actions) {
        duty.perform(action);
    }
    const auto until = std::chrono::steady_clock::now() + seconds(20);
    while ((results.size() < actions.size() || upstream.openConnections() > 0) && std::chrono::steady_clock::now() < until) {
        context.run_for(milliseconds(10));
    }
    EXPECT_EQ(results.size(), actions.size());
    EXPECT_EQ(upstream.openConnections(), 0U);
    context.stop();
    return results;
}

const std::string kHead = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

// Regression test: a faulty engine sent bytes without end, and the entry kept up to 16 MB for each call, of which it makes several to each engine.
TEST(UpstreamDuty, EndlessAnswersToCallsOfTheRouterAreNotKept)
{
    for (int call = 0; call < 3; ++call) {
        asio::io_context context(1);
        const endless_upstream engine(context, kHead, std::string(16'384, 'x'));
        core_action action = poll_load{"p0", engine.address()};
        if (call == 1) {
            start_prefill prefill;
            prefill.address = engine.address();
            action = prefill;
        } else if (call == 2) {
            cancel_request cancel;
            cancel.address = engine.address();
            action = cancel;
        }
        resultsOf(context, engine, {action});
        EXPECT_LT(engine.sentBytes(), kMaxSentBytes) << "call " << call;
    }
}

// Regression test: the reader of a decode stream kept a line, or an event, that didn't end, and read on after it had found it malformed.
TEST(UpstreamDuty, DecodeStreamEndsWithItsFirstMalformedEvent)
{
    for (const std::string &piece : {std::string(16'384, 'x'), "data: " + std::string(8'000, 'x') + "\n", std::string("data: 7\n\n")}) {
        asio::io_context context(1);
        const endless_upstream engine(context, kHead, piece);
        start_decode decode;
        decode.address = engine.address();
        const auto results = resultsOf(context, engine, {decode});
        ASSERT_EQ(results.size(), 1U);
        ASSERT_TRUE(std::holds_alternative<attempt_failed>(results.front()));
        EXPECT_EQ(std::get<attempt_failed>(results.front()).outcome, verdict::MayHaveRun);
        EXPECT_LT(engine.sentBytes(), kMaxSentBytes) << piece.substr(0, 10);
    }
}

// Regression test: the endless answers of services were collected without regard to each other, 16 MB for each call.
TEST(UpstreamDuty, EndlessAnswersOfServicesShareTheBudget)
{
    constexpr std::size_t kCalls = 12;
    asio::io_context context(1);
    const endless_upstream service(context, kHead, std::string(16'384, 'x'));
    std::vector<core_action> actions;
    for (std::size_t i = 0; i < kCalls; ++i) {
        start_service_call call;
        call.attempt = attempt_id{i + 1};
        call.address = service.address();
        call.method = "GET";
        call.path = "/";
        actions.emplace_back(call);
    }
    const auto memory = net::memory_budget::make(net::budgetLimitsFor(96 * kMebibyte));
    rusage before{};
    ::getrusage(RUSAGE_SELF, &before);
    for (const core_event &result : resultsOf(context, service, actions, memory)) {
        ASSERT_TRUE(std::holds_alternative<attempt_failed>(result));
        EXPECT_EQ(std::get<attempt_failed>(result).outcome, verdict::MayHaveRun);
    }
    rusage after{};
    ::getrusage(RUSAGE_SELF, &after);
    EXPECT_EQ(memory->used(), 0U);
    constexpr long kKibibytesPerMebibyte = 1024;
    EXPECT_LT((after.ru_maxrss - before.ru_maxrss) / kKibibytesPerMebibyte, 72) << "MB more than before";
}
