#include "net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "net/http_status.h"

namespace heatherroute::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

/// Limit of received bytes that aren't parsed yet. Without it, an endless line in a chunked body would be kept until the timeout.
constexpr std::size_t kMaxBufferBytes = std::size_t{128} * 1024;
constexpr unsigned kMaxInterimResponses = 8; ///< Responses with a 1xx status before the final one.
constexpr std::size_t kMaxBodyGrowthBytes = std::size_t{256} * 1024; ///< Of a collected body at once, beyond what has arrived.
constexpr std::chrono::milliseconds kMemoryPollInterval{20};
constexpr std::size_t kBodyChunkBytes = std::size_t{16} * 1024;
/// TCP keep-alive options. They detect a broken path within seconds, even when the peer may take much longer to respond.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 1;
constexpr int kMaxUnacknowledgedMs = 2000;

/// Performs the call on a TCP stream. A timer closes the stream when the call makes no progress.
class exchange : public http_exchange
{
public:
    exchange(const asio::any_io_executor &executor, http_call call)
        : m_stream(executor)
        , m_timer(executor)
        , m_call(std::move(call))
        , m_startedAt(std::chrono::steady_clock::now())
    { }

    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    asio::awaitable<http_result> run(body_hook onBody) override
    {
        head_hook onHead = [streams = static_cast<bool>(onBody)](const http_answer &head) -> asio::awaitable<bool> {
            co_return streams &&head.status < status::kFirstRedirect;
        };
        co_return co_await run(std::move(onHead), std::move(onBody));
    }

    asio::awaitable<http_result> run(head_hook onHead, body_hook onBody) override
    {
        const auto self = shared_from_this();
        beast::error_code error;
        arm(m_call.connectTimeout.count() > 0 ? m_call.connectTimeout : m_call.progressTimeout);
        co_await m_stream.async_connect(m_call.endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_cancelled || m_timedOut) {
            http_result failed = makeFailure(verdict::NotRun, "connect", error);
            failed.notConnected = !m_cancelled;
            co_return failed;
        }
        if (m_call.onConnected) {
            m_call.onConnected();
        }
        if (m_call.maySend && !m_call.maySend()) {
            co_return makeFailure(verdict::NotRun, "not permitted any more", error);
        }
        m_stream.socket().set_option(tcp::no_delay(true), error);
        enableDeadPeerDetection(m_stream.socket());
        arm(m_call.progressTimeout);
        // An upstream may respond before it has read the whole request, so the request is written while the response is read.
        asio::co_spawn(m_stream.get_executor(), writeRequest(self), asio::detached);
        co_return co_await readAnswer(onHead, onBody);
    }

    void cancel() override
    {
        m_cancelled = true;
        close();
    }

private:
    void arm(std::chrono::milliseconds timeout)
    {
        auto until = std::chrono::steady_clock::now() + timeout;
        if (m_call.totalTimeout.count() > 0) {
            until = std::min(until, m_startedAt + m_call.totalTimeout);
        }
        m_timer.expires_at(until);
        m_timer.async_wait([weak = weak_from_this(), this](const beast::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                m_timedOut = true;
                m_stream.close();
            }
        });
    }

    void close()
    {
        m_timer.cancel();
        m_stream.close();
    }

    http::request<http::string_body> makeMessage()
    {
        http::request<http::string_body> message;
        message.method_string(m_call.method);
        message.target(m_call.target);
        message.version(11);
        message.set(http::field::host, m_call.endpoint.address().to_string() + ":" + std::to_string(m_call.endpoint.port()));
        for (const http_field &field : m_call.fields) {
            if (beast::iequals(field.name, "host")) {
                message.set(field.name, field.value);
            } else {
                message.insert(field.name, field.value);
            }
        }
        if (!m_call.body.empty() && !m_call.contentType.empty()) {
            message.set(http::field::content_type, m_call.contentType);
        }
        message.body() = std::move(m_call.body);
        message.keep_alive(false);
        message.prepare_payload();
        return message;
    }

    asio::awaitable<void> writeRequest(std::shared_ptr<http_exchange> /*self*/)
    {
        const http::request<http::string_body> message = makeMessage();
        http::request_serializer<http::string_body> serializer{message};
        beast::error_code error;
        while (!error && !serializer.is_done() && !m_ended) {
            const std::size_t count = co_await http::async_write_some(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
            m_wroteAny = m_wroteAny || count > 0;
        }
        m_writeError = error;
        m_writeEnded = true;
        if (m_writeWait != nullptr) {
            m_writeWait->cancel();
        }
    }

    /// Returns whether the request has been written; waits until that is known. A connection that was reset while the request was being written
    /// may look as if it had ended in order, since the system reports the reset once, to the write.
    asio::awaitable<bool> isRequestWritten()
    {
        if (!m_writeEnded) {
            asio::steady_timer wait(m_stream.get_executor(), asio::steady_timer::time_point::max());
            m_writeWait = &wait;
            beast::error_code ignored;
            co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            m_writeWait = nullptr;
        }
        co_return !m_writeError;
    }

    asio::awaitable<http_result> readAnswer(const head_hook &onHead, const body_hook &onBody)
    {
        std::optional<http::response_parser<http::buffer_body>> parsed;
        beast::error_code error;
        for (unsigned heads = 0; !parsed || parsed->get().result_int() < status::kOk; ++heads) {
            parsed.emplace();
            parsed->body_limit(m_call.maxAnswerBytes);
            // The head of a response to HEAD announces a body that doesn't follow.
            parsed->skip(m_call.method == "HEAD");
            co_await http::async_read_header(m_stream, m_buffer, *parsed, asio::redirect_error(asio::use_awaitable, error));
            if (!error && heads > kMaxInterimResponses) {
                error = http::error::header_limit;
            }
            if (error) {
                co_return makeFailure(m_wroteAny ? verdict::MayHaveRun : verdict::NotRun, "read head", error);
            }
            if (m_call.onAnswered) {
                m_call.onAnswered();
            }
            const unsigned code = parsed->get().result_int();
            // No request asks for another protocol.
            if (code < status::kFirst || code > status::kLast || code == status::kSwitchingProtocols) {
                co_return makeFailure(verdict::MayHaveRun, "status " + std::to_string(code), http::error::bad_status);
            }
        }
        http::response_parser<http::buffer_body> &parser = *parsed;
        http_answer answer = headOf(parser);
        const bool endsWithConnection = parser.need_eof();
        arm(m_call.progressTimeout);
        const bool streamed = co_await onHead(answer);
        while (!parser.is_done()) {
            std::array<char, kBodyChunkBytes> chunk{};
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            co_await http::async_read_some(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            const std::string_view piece(chunk.data(), chunk.size() - parser.get().body().size);
            if (!piece.empty()) {
                arm(m_call.progressTimeout);
            }
            if (streamed && !m_cancelled && !piece.empty()) {
                co_await onBody(piece);
            } else if (!streamed) {
                bool fits = makeRoom(answer.body, piece.size());
                // The request may have run, so its response waits for others to return memory before it is given up.
                for (unsigned polls = 0; !fits && !m_cancelled && !m_timedOut && polls < m_call.memoryPolls; ++polls) {
                    asio::steady_timer pause(m_stream.get_executor(), kMemoryPollInterval);
                    beast::error_code ignored;
                    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
                    fits = makeRoom(answer.body, piece.size());
                }
                if (fits) {
                    answer.body.append(piece);
                } else {
                    error = http::error::body_limit;
                }
            }
            if (error || m_cancelled) {
                co_return makeFailure(verdict::MayHaveRun, "read body", error);
            }
        }
        if (endsWithConnection) {
            const bool isWritten = co_await isRequestWritten();
            if (!isWritten || m_cancelled || m_timedOut) {
                co_return makeFailure(verdict::MayHaveRun, "write request", m_writeError);
            }
        }
        m_ended = true;
        close();
        answer.memory = std::move(m_share);
        co_return http_result{std::move(answer), {}};
    }

    /// Makes room for @p bytes more in @p body; returns false when the shared limit would be exceeded. What counts is the memory that the
    /// body occupies, twice while it moves, and not its size, which a doubled allocation exceeds by far.
    bool makeRoom(std::string &body, std::size_t bytes)
    {
        const std::size_t needed = body.size() + bytes;
        if (!m_call.memory || bytes == 0) {
            return true;
        }
        if (!m_share) {
            m_share = std::make_shared<memory_share>(m_call.memory, memory_use::Answer);
        }
        const std::size_t held = m_share->held();
        if (needed <= held) {
            return true;
        }
        const std::size_t capacity = std::max(needed, held + std::min(held, kMaxBodyGrowthBytes));
        if (!m_share->tryResize(held + capacity)) {
            return false;
        }
        body.reserve(capacity);
        m_share->resize(capacity);
        return true;
    }

    static http_answer headOf(const http::response_parser<http::buffer_body> &parser)
    {
        const auto &message = parser.get();
        http_answer answer;
        if (parser.chunked()) {
            answer.framing = body_framing::Chunks;
        } else if (parser.need_eof()) {
            answer.framing = body_framing::ConnectionClose;
        }
        answer.status = message.result_int();
        answer.contentType = std::string(message[http::field::content_type]);
        for (const auto &field : message) {
            answer.fields.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        return answer;
    }

    http_result makeFailure(verdict outcome, std::string_view step, const beast::error_code &error)
    {
        m_ended = true;
        close();
        std::string reason(step);
        reason += ": ";
        if (m_cancelled) {
            reason += "cancelled";
        } else {
            reason += m_timedOut ? std::string("timeout") : error.message();
        }
        return {std::nullopt, {outcome, std::move(reason)}, m_timedOut, error == asio::error::connection_refused, false, m_startedAt};
    }

    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer{kMaxBufferBytes};
    http_call m_call;
    std::chrono::steady_clock::time_point m_startedAt;
    std::shared_ptr<memory_share> m_share; ///< Of the collected body.
    bool m_wroteAny = false;
    bool m_writeEnded = false; ///< The write of the request has ended, with m_writeError.
    beast::error_code m_writeError;
    asio::steady_timer *m_writeWait = nullptr; ///< Waits for the end of the write.
    bool m_cancelled = false;
    bool m_timedOut = false;
    bool m_ended = false;
};

} // namespace

std::shared_ptr<http_exchange> http_exchange::make(const asio::any_io_executor &executor, http_call call)
{
    return std::make_shared<exchange>(executor, std::move(call));
}

void enableDeadPeerDetection(tcp::socket &socket) noexcept
{
    const int handle = socket.native_handle();
    const int on = 1;
    // Errors are ignored: on a kernel without one of these options, a dead peer is only detected later.
    static_cast<void>(::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)));
    static_cast<void>(::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS, sizeof(kKeepAliveIdleS)));
    static_cast<void>(::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS, sizeof(kKeepAliveIntervalS)));
    static_cast<void>(::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(kKeepAliveProbes)));
    static_cast<void>(::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kMaxUnacknowledgedMs, sizeof(kMaxUnacknowledgedMs)));
}

asio::awaitable<http_result> performCall(http_call call, asio::cancellation_slot cancel)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto exchange = http_exchange::make(executor, std::move(call));
    if (cancel.is_connected()) {
        cancel.assign([weak = std::weak_ptr<http_exchange>(exchange)](asio::cancellation_type) {
            if (const auto running = weak.lock()) {
                running->cancel();
            }
        });
    }
    http_result result = co_await exchange->run(http_exchange::body_hook{});
    cancel.clear();
    co_return result;
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
