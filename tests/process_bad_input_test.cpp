// Checks that callers that send invalid input or misbehave get a clear error with a verdict and do not affect other callers.
#include "support/entry_setup.h"
#include "support/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace
{

using namespace heatherroute::support;
namespace asio = boost::asio;
namespace json = boost::json;

const std::string kSmallLimits = "limits: {max_body_bytes: 4096, max_header_bytes: 1024, header_timeout_ms: 300, body_timeout_ms: 300, "
                                 "max_requests_per_connection: 3, max_buffered_bytes_per_stream: 4096}\n";

/// A connection on which arbitrary bytes can be sent.
class raw_connection
{
public:
    /// @p receiveBytes is the size of the kernel's receive buffer; 0 keeps the kernel's default.
    explicit raw_connection(const std::string &address, int receiveBytes = 0)
        : m_socket(m_context, asio::ip::tcp::v4())
    {
        if (receiveBytes > 0) {
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
        }
        const auto colon = address.rfind(':');
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
        m_socket.connect({asio::ip::make_address(address.substr(0, colon)), port});
        const timeval limit{20, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    void endSending()
    {
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }

    /// Returns everything that is received until the server closes the connection.
    std::string readAll()
    {
        std::string text;
        boost::system::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(text), error);
        return text;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

std::string sendAndRead(const std::string &address, const std::string &bytes, bool endSending = false)
{
    raw_connection connection(address);
    connection.send(bytes);
    if (endSending) {
        connection.endSending();
    }
    return connection.readAll();
}

bool isError(const std::string &answer, const std::string &status, const std::string &verdict)
{
    return answer.starts_with("HTTP/1.1 " + status + " ") && answer.find("\"verdict\":\"" + verdict + "\"") != std::string::npos;
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

class bad_input : public testing::Test
{
public:
    void SetUp() override
    {
        platform = startProgram("fake_platform", {});
        entry = startEntry(platform.address, kSmallLimits);
        ASSERT_FALSE(entry.address.empty());
        // The entry refuses all work until it has read the configuration for the first time.
        const temporary_file inventory("inventory.yaml", inventoryText());
        const auto published = runHeatherctl({"publish", inventory.path(), "--log", platform.address, "--half", "h", "--entries", entry.operators});
        ASSERT_EQ(published.exitCode, 0) << published.output;
    }

    virtual std::string inventoryText()
    {
        return "rules:\n  teams: [{name: t, weight: 1}]\n";
    }

    bool serves() const
    {
        return getJson(entry.address, "/v1/entry").status == 200;
    }

    running_program platform;
    running_program entry;
};

TEST_F(bad_input, unreadableRequestsGetTheMatchingStatus)
{
    EXPECT_TRUE(isError(sendAndRead(entry.address, "nonsense\r\n\r\n"), "400", "not_run"));
    EXPECT_TRUE(isError(sendAndRead(entry.address, "GET /v1/entry HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n"), "431", "not_run"));
    EXPECT_TRUE(
        isError(sendAndRead(entry.address, "POST /v1/completions HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + std::string(9000, 'x')), "413", "not_run"));
    EXPECT_TRUE(isError(sendAndRead(entry.address, "GET /v1/entry HT"), "408", "not_run"));
    EXPECT_TRUE(isError(sendAndRead(entry.address, "POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"), "408", "not_run"));
    EXPECT_TRUE(isError(sendAndRead(entry.address, "GET /v1/entry HT", true), "400", "not_run"));
    EXPECT_TRUE(serves());
}

TEST_F(bad_input, invalidRequestsAreRejected)
{
    const std::array<json::value, 5> bodies{json::value("text"),
                                            json::value{{"model", 1}, {"prompt", "p"}, {"max_tokens", 1}},
                                            json::value{{"model", "m"}, {"prompt", "p"}, {"max_tokens", -1}},
                                            json::value{{"model", "m"}, {"prompt", "p"}, {"max_tokens", 1.5}},
                                            json::value{{"model", "m"}, {"prompt", "p"}, {"max_tokens", 1}, {"stream", 1}}};
    const auto expect = [](const http_reply &reply, unsigned status) {
        EXPECT_EQ(reply.status, status) << reply.body;
        EXPECT_TRUE(reply.status == status && reply.json.at("error").at("verdict") == "not_run") << reply.body;
    };
    for (const json::value &body : bodies) {
        expect(postJson(entry.address, "/v1/completions", body), 400);
    }
    expect(callHttp(entry.address, "POST", "/v1/completions", std::string(2000, '[')), 400);
    expect(postJson(entry.address, "/v1/completions", {{"model", "none"}, {"prompt", "p"}, {"max_tokens", 1}}), 404);
    expect(callHttp(entry.address, "GET", "/v1/completions"), 405);
    expect(callHttp(entry.address, "BREW", "/v1/entry"), 405);
    expect(getJson(entry.address, "/nowhere"), 404);
    expect(getJson(entry.address, "/svc/none/x"), 404);
    for (const std::string path : {"/svc/s/a/../b", "/svc/s//b", "/svc/s/%2e%2E/b", "/svc/s/a%2fb", "/svc/s/a%zz", "/svc//b"}) {
        expect(getJson(entry.address, path), 400);
    }
    EXPECT_TRUE(serves());
}

TEST_F(bad_input, pipelinedRequestsAreAnsweredInOrderUpToTheLimit)
{
    std::string requests;
    for (const char *path : {"/v1/entry", "/nowhere", "/v1/entry", "/v1/entry"}) {
        requests += std::string("GET ") + path + " HTTP/1.1\r\nHost: e\r\n\r\n";
    }
    const std::string answers = sendAndRead(entry.address, requests);
    EXPECT_EQ(count(answers, "HTTP/1.1 "), 3U) << answers;
    EXPECT_LT(answers.find("lifetime_s"), answers.find("HTTP/1.1 404"));
    EXPECT_EQ(count(answers, "Connection: close"), 1U);
}

class bad_input_with_engines : public bad_input
{
public:
    std::string inventoryText() override
    {
        prefill = startProgram("fake_engine", {"--role", "prefill", "--model", "m", "--zone", "z"});
        decode = startProgram("fake_engine", {"--role", "decode", "--model", "m", "--zone", "z", "--token-ms", "1", "--pieces", "1000"});
        const std::string common = ", zone: z, half: h, model: m, slots: 4, pieces: 1000, piece_tokens: 2048}\n";
        return "upstreams:\n  - {name: p1, address: \"" + prefill.address + "\", kind: prefill_engine" + common + "  - {name: d1, address: \"" + decode.address
               + "\", kind: decode_engine" + common;
    }

    /// Waits until the decode engine runs @p wanted requests.
    void awaitRunning(std::size_t wanted) const
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        std::size_t running = wanted + 1;
        while (running != wanted && std::chrono::steady_clock::now() < deadline) {
            running = getJson(decode.address, "/v1/requests").json.at("requests").as_array().size();
        }
        EXPECT_EQ(running, wanted);
    }

    running_program prefill;
    running_program decode;
};

std::string completion(int tokens, bool stream)
{
    const std::string body = json::serialize(json::value{{"model", "m"}, {"prompt", "a page of an old town"}, {"max_tokens", tokens}, {"stream", stream}});
    return "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_F(bad_input_with_engines, callersThatDisconnectOrDoNotReadFreeTheEngine)
{
    EXPECT_TRUE(isError(sendAndRead(entry.address, completion(32'000, false), true), "400", "may_have_run"));
    awaitRunning(0);
    const std::size_t before = getJson(decode.address, "/records").json.at("decodes").as_array().size();
    // This caller never reads its stream.
    raw_connection idle(entry.address, 4096);
    idle.send(completion(32'000, true));
    awaitRunning(1);
    // Another caller's request completes meanwhile.
    const auto other = postJson(entry.address, "/v1/completions", {{"model", "m"}, {"prompt", "q"}, {"max_tokens", 30}});
    EXPECT_EQ(other.status, 200U) << other.body;
    awaitRunning(0);
    const auto decodes = getJson(decode.address, "/records").json.at("decodes").as_array();
    ASSERT_EQ(decodes.size(), before + 2);
    EXPECT_EQ(decodes[before].at("reason"), "cancelled") << decodes;
    EXPECT_EQ(decodes[before + 1].at("reason"), "done") << decodes;
    EXPECT_TRUE(serves());
}

} // namespace
