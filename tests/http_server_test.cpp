#include "net/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <stdexcept>
#include <thread>

#include "node/service_path.h"

using namespace heatherroute;
namespace asio = boost::asio;

namespace
{

/// A server that runs on a thread of its own and refuses with plain text.
class threaded_server
{
public:
    threaded_server(const net::http_limits &limits, net::http_handler handler)
    {
        const auto refuse = [](unsigned status, std::string_view why) { return net::http_answer{status, std::string(why), "text/plain", {}}; };
        last_reason reason;
        m_server = net::http_server::make(m_context, {asio::ip::make_address("127.0.0.1"), 0}, limits, std::move(handler), refuse, &reason);
        if (!m_server) {
            throw std::runtime_error("the server can't start: " + reason.text());
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~threaded_server()
    {
        m_context.stop();
        m_thread.join();
    }

    threaded_server(const threaded_server &) = delete;
    threaded_server &operator=(const threaded_server &) = delete;

    asio::ip::tcp::endpoint endpoint() const
    {
        return m_server->endpoint();
    }

private:
    asio::io_context m_context;
    std::unique_ptr<net::http_server> m_server;
    std::thread m_thread;
};

} // namespace

TEST(HttpServer, ConnectionsOverTheLimitGet503AndOthersAreServed)
{
    net::http_limits limits;
    limits.maxConnections = 2;
    const auto handler = [](net::http_request request, net::http_responder &out) -> asio::awaitable<void> {
        net::http_answer answer;
        answer.body = request.target;
        co_await out.send(std::move(answer));
    };
    const threaded_server server(limits, handler);
    asio::io_context own;
    const auto sendRequest = [](asio::ip::tcp::socket &socket) {
        asio::write(socket, asio::buffer(std::string_view("GET /x HTTP/1.1\r\n\r\n")));
        std::array<char, 512> answer{};
        return std::string(answer.data(), socket.read_some(asio::buffer(answer)));
    };
    std::array<asio::ip::tcp::socket, 2> served{asio::ip::tcp::socket(own), asio::ip::tcp::socket(own)};
    for (auto &socket : served) {
        socket.connect(server.endpoint());
        EXPECT_TRUE(sendRequest(socket).starts_with("HTTP/1.1 200"));
    }
    for (int i = 0; i < 100; ++i) {
        asio::ip::tcp::socket extra(own);
        extra.connect(server.endpoint());
        std::string answer;
        boost::system::error_code error;
        asio::read(extra, asio::dynamic_buffer(answer), error);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << i << answer;
    }
    for (auto &socket : served) {
        EXPECT_TRUE(sendRequest(socket).starts_with("HTTP/1.1 200"));
    }
}

TEST(HttpServer, EndlessLineInAChunkedBodyEndsTheConnection)
{
    const auto handler = [](net::http_request, net::http_responder &out) -> asio::awaitable<void> { co_await out.send({}); };
    const threaded_server server({}, handler);
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    socket.connect(server.endpoint());
    asio::write(socket, asio::buffer(std::string_view("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;")));
    constexpr std::size_t kMaxAcceptedBytes = std::size_t{16} * 1024 * 1024; // Generous for the kernel's buffers.
    const std::string block(std::size_t{64} * 1024, 'x');
    boost::system::error_code error;
    std::size_t sent = 0;
    while (!error && sent < 4 * kMaxAcceptedBytes) {
        sent += asio::write(socket, asio::buffer(block), error);
    }
    EXPECT_LT(sent, kMaxAcceptedBytes);
}

TEST(HttpServer, TargetsAreNormalizedAndAmbiguousOnesRejected)
{
    EXPECT_EQ(node::normalizeTarget("/svc/s/%70ay%2a/?q=%2e", nullptr), "/svc/s/pay%2A/?q=%2e");
    for (const std::string path : {"", "a", "/a/./b", "/a/..", "/a//b", "/a/%2E%2e", "/a\\b", "/a%5cb", "/a%2Fb", "/a%", "/a%2", "/a%00"}) {
        EXPECT_FALSE(node::normalizeTarget(path, nullptr)) << path;
    }
    EXPECT_EQ(node::normalizeTarget("/a/", nullptr), "/a/");
}

// Regression test: a client that speaks HTTP/1.0 doesn't know chunks, and expects a connection that is kept open to be announced.
TEST(HttpServer, ClientByOldVersionGetsNoChunksAndIsToldWhenItsConnectionIsKept)
{
    const auto handler = [](net::http_request request, net::http_responder &out) -> asio::awaitable<void> {
        net::http_answer answer;
        if (request.target == "/plain") {
            answer.body = "whole";
            co_await out.send(std::move(answer));
            co_return;
        }
        co_await out.beginStream(std::move(answer));
        std::string piece = "piece";
        co_await out.write(std::move(piece));
        if (request.target == "/broken") {
            out.abort();
        } else {
            co_await out.endStream();
        }
    };
    const threaded_server server({}, handler);
    asio::io_context own;
    const auto call = [&](std::string_view request, std::string &answer) {
        asio::ip::tcp::socket socket(own);
        socket.connect(server.endpoint());
        asio::write(socket, asio::buffer(request));
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return error;
    };
    std::string whole;
    EXPECT_EQ(call("GET /stream HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", whole), asio::error::eof);
    EXPECT_TRUE(whole.ends_with("\r\n\r\npiece")) << whole;
    EXPECT_EQ(whole.find("chunked"), std::string::npos) << whole;
    std::string broken;
    EXPECT_EQ(call("GET /broken HTTP/1.0\r\n\r\n", broken), asio::error::connection_reset) << broken;
    std::string kept;
    EXPECT_EQ(call("GET /plain HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /plain HTTP/1.0\r\n\r\n", kept), asio::error::eof);
    EXPECT_NE(kept.find("Connection: keep-alive\r\n"), std::string::npos) << kept;
    EXPECT_NE(kept.find("Connection: close\r\n"), std::string::npos) << kept;
}

// Regression test: a body after the response to HEAD is taken for the beginning of the next response.
TEST(HttpServer, ResponseToHeadHasNoBody)
{
    const auto handler = [](net::http_request request, net::http_responder &out) -> asio::awaitable<void> {
        net::http_answer answer;
        answer.body = request.target == "/empty" ? "" : "whole";
        if (request.target != "/stream") {
            co_await out.send(std::move(answer));
            co_return;
        }
        co_await out.beginStream(std::move(answer));
        std::string piece = "piece";
        co_await out.write(std::move(piece));
        co_await out.endStream();
    };
    const threaded_server server({}, handler);
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    socket.connect(server.endpoint());
    asio::write(socket,
                asio::buffer(std::string_view("HEAD /whole HTTP/1.1\r\n\r\nHEAD /empty HTTP/1.1\r\n\r\nHEAD /stream HTTP/1.1\r\n\r\n"
                                              "GET /whole HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::string answers;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answers), error);
    std::size_t heads = 0;
    std::size_t at = 0;
    while ((at = answers.find("HTTP/1.1 200 OK\r\n", at)) != std::string::npos) {
        EXPECT_TRUE(at == 0 || answers.substr(0, at).ends_with("\r\n\r\n")) << answers;
        ++heads;
        ++at;
    }
    EXPECT_EQ(heads, 4U) << answers;
    EXPECT_NE(answers.find("Content-Length: 5\r\n"), std::string::npos) << answers;
    EXPECT_EQ(answers.find("Content-Length: 0\r\n"), std::string::npos) << "the length of an unknown body";
    EXPECT_TRUE(answers.ends_with("\r\n\r\nwhole")) << answers;
}

// Regression test: a handler that went on after abort() sent the rest of its response, which then seemed complete.
TEST(HttpServer, AbortedResponseSendsNothingMore)
{
    const auto handler = [](net::http_request request, net::http_responder &out) -> asio::awaitable<void> {
        net::http_answer answer;
        if (request.target == "/whole") {
            out.abort();
            const bool sent = co_await out.send(std::move(answer));
            EXPECT_FALSE(sent);
            co_return;
        }
        co_await out.beginStream(std::move(answer));
        std::string first = "first";
        co_await out.write(std::move(first));
        out.abort();
        std::string second = "second";
        const bool written = co_await out.write(std::move(second));
        EXPECT_FALSE(written);
        const bool ended = co_await out.endStream();
        EXPECT_FALSE(ended);
    };
    const threaded_server server({}, handler);
    asio::io_context own;
    for (const std::string_view target : {"/stream", "/whole"}) {
        asio::ip::tcp::socket socket(own);
        socket.connect(server.endpoint());
        asio::write(socket, asio::buffer("GET " + std::string(target) + " HTTP/1.1\r\n\r\n"));
        std::string answer;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        EXPECT_EQ(answer.find("second"), std::string::npos) << answer;
        EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << answer;
        EXPECT_EQ(answer.empty(), target == "/whole") << answer;
    }
}

// Load pattern: an entry with little processor time stops, and requests have arrived on idle connections that it hasn't read yet.
TEST(HttpServer, RequestThatHasArrivedOnAnIdleConnectionIsAnsweredWhenTheServerDrains)
{
    const auto handler = [](net::http_request, net::http_responder &out) -> asio::awaitable<void> {
        net::http_answer answer;
        co_await out.send(std::move(answer));
    };
    const auto refuse = [](unsigned status, std::string_view why) { return net::http_answer{status, std::string(why), "text/plain", {}}; };
    asio::io_context context;
    last_reason reason;
    const auto server = net::http_server::make(context, {asio::ip::make_address("127.0.0.1"), 0}, {}, handler, refuse, &reason);
    ASSERT_TRUE(server) << reason.text();
    asio::io_context own;
    asio::ip::tcp::socket asking(own);
    asio::ip::tcp::socket silent(own);
    asking.connect(server->endpoint());
    silent.connect(server->endpoint());
    context.run_for(std::chrono::milliseconds(50)); // The server accepts both and waits for requests.
    asio::write(asking, asio::buffer(std::string_view("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    server->drain();
    context.run_for(std::chrono::milliseconds(1'000));
    const auto readAll = [](asio::ip::tcp::socket &socket) {
        std::string text;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(text), error);
        return text;
    };
    const std::string answer = readAll(asking);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_EQ(readAll(silent), "");
}
