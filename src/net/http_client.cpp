#include "net/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>

namespace heatherroute::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::size_t kBodyChunkBytes = std::size_t{16} * 1024;
constexpr unsigned kFirstErrorStatus = 300;

class exchange : public http_exchange
{
public:
    exchange(const asio::any_io_executor &executor, http_call call)
        : m_stream(executor)
        , m_call(std::move(call))
    { }

    asio::awaitable<http_result> run(body_hook onBody) override
    {
        const auto self = shared_from_this();
        beast::error_code error;
        m_stream.expires_after(m_call.progressTimeout);
        co_await m_stream.async_connect(m_call.endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_cancelled) {
            co_return failed(verdict::NotRun, "connect", error);
        }
        m_stream.socket().set_option(tcp::no_delay(true), error);
        co_await writeRequest(error);
        if (error) {
            co_return failed(m_wroteAny ? verdict::MayHaveRun : verdict::NotRun, "write", error);
        }
        co_return co_await readAnswer(onBody);
    }

    void cancel() override
    {
        m_cancelled = true;
        m_stream.close();
    }

private:
    asio::awaitable<void> writeRequest(beast::error_code &error)
    {
        http::request<http::string_body> message;
        message.method_string(m_call.method);
        message.target(m_call.target);
        message.version(11);
        message.set(http::field::host, m_call.endpoint.address().to_string() + ":" + std::to_string(m_call.endpoint.port()));
        for (const http_field &field : m_call.fields) {
            message.set(field.name, field.value);
        }
        if (!m_call.body.empty()) {
            message.set(http::field::content_type, m_call.contentType);
            message.body() = std::move(m_call.body);
        }
        message.keep_alive(false);
        message.prepare_payload();
        http::request_serializer<http::string_body> serializer{message};
        while (!error && !serializer.is_done()) {
            m_stream.expires_after(m_call.progressTimeout);
            const std::size_t count = co_await http::async_write_some(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
            m_wroteAny = m_wroteAny || count > 0;
        }
    }

    asio::awaitable<http_result> readAnswer(const body_hook &onBody)
    {
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(m_call.maxAnswerBytes);
        beast::error_code error;
        m_stream.expires_after(m_call.progressTimeout);
        co_await http::async_read_header(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return failed(verdict::MayHaveRun, "read head", error);
        }
        http_answer answer = headOf(parser.get());
        const bool streamed = onBody && answer.status < kFirstErrorStatus;
        while (!parser.is_done()) {
            std::array<char, kBodyChunkBytes> chunk{};
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            m_stream.expires_after(m_call.progressTimeout);
            co_await http::async_read_some(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            const std::string_view piece(chunk.data(), chunk.size() - parser.get().body().size);
            if (streamed && !m_cancelled && !piece.empty()) {
                co_await onBody(piece);
            } else if (!streamed) {
                answer.body.append(piece);
            }
            if (error || m_cancelled) {
                co_return failed(verdict::MayHaveRun, "read body", error);
            }
        }
        m_stream.close();
        co_return http_result{std::move(answer), {}};
    }

    static http_answer headOf(const http::response<http::buffer_body> &message)
    {
        http_answer answer;
        answer.status = message.result_int();
        answer.contentType = std::string(message[http::field::content_type]);
        for (const auto &field : message) {
            answer.fields.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        return answer;
    }

    http_result failed(verdict outcome, std::string_view step, const beast::error_code &error)
    {
        m_stream.close();
        std::string reason(step);
        reason += ": ";
        reason += m_cancelled ? std::string("cancelled") : error.message();
        return {std::nullopt, {outcome, std::move(reason)}};
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http_call m_call;
    bool m_wroteAny = false;
    bool m_cancelled = false;
};

} // namespace

std::shared_ptr<http_exchange> http_exchange::make(const asio::any_io_executor &executor, http_call call)
{
    return std::make_shared<exchange>(executor, std::move(call));
}

asio::awaitable<http_result> performCall(http_call call)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto exchange = http_exchange::make(executor, std::move(call));
    co_return co_await exchange->run({});
}

std::optional<tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    beast::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || status != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

} // namespace heatherroute::net
