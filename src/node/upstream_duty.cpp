#include "node/upstream_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <string>

#include "net/event_stream.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "net/port_check.h"
#include "node/engine_messages.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxCallAnswerBytes = std::size_t{64} * 1024; ///< Of the answer to a call of the router itself: a prefill, a load report or a cancel.
constexpr std::size_t kMaxTrailingBytes = std::size_t{64} * 1024; ///< Of a decode stream after its last event.
constexpr std::chrono::milliseconds kSilenceTimeout{60'000};
constexpr std::chrono::milliseconds kCancelTimeout{2'000};
constexpr std::chrono::milliseconds kPollTimeout{1'000};
constexpr std::chrono::milliseconds kCheckTimeout{500};
constexpr std::chrono::milliseconds kRecheckDelay{50};

/// Parses the chunks of a decode stream into events for the core.
class decode_reader
{
public:
    decode_reader(attempt_id attempt, channel<core_event> &toCore)
        : m_attempt(attempt)
        , m_toCore(toCore)
    { }

    /// Parses one chunk and sends its tokens to the core in one event.
    asio::awaitable<void> feed(std::string_view chunk)
    {
        tokens_received tokens;
        tokens.attempt = m_attempt;
        for (const std::string &data : m_parser.feed(chunk)) {
            processEvent(data, tokens);
        }
        m_malformed = m_malformed || m_parser.pendingBytes() > kMaxEventBytes;
        if (!tokens.texts.empty()) {
            co_await m_toCore.push(std::move(tokens));
        }
        if (m_end && !m_endSent) {
            m_endSent = true;
            co_await m_toCore.push(*m_end);
        } else if (m_endSent) {
            m_trailingBytes += chunk.size();
        }
    }

    /// Whether nothing that the engine still sends is of use.
    bool isUseless() const noexcept
    {
        return m_malformed || m_trailingBytes > kMaxTrailingBytes;
    }

    /// The error code with which the engine ended the stream; empty when there is none.
    const std::string &errorCode() const noexcept
    {
        return m_errorCode;
    }

    bool endSent() const noexcept
    {
        return m_endSent;
    }

private:
    void processEvent(const std::string &data, tokens_received &tokens)
    {
        const auto event = parseDecodeEvent(data);
        if (!event || m_malformed || m_end) {
            m_malformed = m_malformed || !event;
            return;
        }
        if (!event->errorCode.empty()) {
            m_errorCode = event->errorCode;
            return;
        }
        if (event->done) {
            m_end = decode_finished{m_attempt, event->reason, event->tokens};
            return;
        }
        if (tokens.texts.empty()) {
            tokens.offset = event->offset;
        }
        if (event->offset != tokens.offset + tokens.texts.size()) {
            m_malformed = true;
            return;
        }
        tokens.texts.push_back(event->text);
    }

    attempt_id m_attempt;
    channel<core_event> &m_toCore;
    net::event_stream_parser m_parser;
    std::optional<decode_finished> m_end;
    std::string m_errorCode;
    std::size_t m_trailingBytes = 0;
    bool m_endSent = false;
    bool m_malformed = false;
};

net::http_call makeCall(const asio::ip::tcp::endpoint &endpoint, std::string target, std::string body)
{
    net::http_call call;
    call.endpoint = endpoint;
    call.target = std::move(target);
    call.body = std::move(body);
    call.progressTimeout = kSilenceTimeout;
    return call;
}

} // namespace

class upstream_duty::impl
{
public:
    impl(asio::io_context &context, channel<core_event> &toCore, std::shared_ptr<net::memory_budget> memory)
        : m_context(context)
        , m_toCore(toCore)
        , m_memory(std::move(memory))
    { }

    void perform(const start_prefill &action)
    {
        net::http_call call = makeCall({}, "/v1/prefill", prefillBody(action));
        call.maxAnswerBytes = kMaxCallAnswerBytes;
        start(action, std::move(call), &impl::runPrefill);
    }

    void perform(const start_decode &action)
    {
        start(action, makeCall({}, "/v1/decode", decodeBody(action)), &impl::runDecode);
    }

    void perform(const resume_decode &action)
    {
        start(action, makeCall({}, "/v1/resume", resumeBody(action)), &impl::runDecode);
    }

    void perform(const start_service_call &action)
    {
        net::http_call call = makeCall({}, action.path, action.body);
        call.memory = m_memory;
        call.method = action.method;
        if (!action.contentType.empty()) {
            call.contentType = action.contentType;
        }
        if (!action.idempotencyKey.empty()) {
            call.fields.push_back({"Idempotency-Key", action.idempotencyKey});
        }
        start(action, std::move(call), &impl::runService);
    }

    void perform(const abandon_attempt &action)
    {
        const auto found = m_openExchanges.find(action.attempt);
        if (found != m_openExchanges.end()) {
            found->second->cancel();
        }
    }

    void perform(const cancel_request &action)
    {
        const auto endpoint = net::parseEndpoint(action.address);
        if (!endpoint) {
            asio::co_spawn(m_context, m_toCore.push(cancel_finished{action.attempt, true}), asio::detached);
            return;
        }
        net::http_call call = makeCall(*endpoint, "/v1/cancel", cancelBody(action));
        call.progressTimeout = kCancelTimeout;
        call.totalTimeout = kCancelTimeout;
        call.maxAnswerBytes = kMaxCallAnswerBytes;
        asio::co_spawn(m_context, runCancel(action.attempt, std::move(call)), asio::detached);
    }

    void perform(const poll_load &action)
    {
        asio::co_spawn(m_context, runPoll(action), asio::detached);
    }

    void perform(const check_upstream &action)
    {
        asio::co_spawn(m_context, runCheck(action), asio::detached);
    }

    template<typename Other>
    void perform(const Other &)
    { }

private:
    using exchange_ptr = std::shared_ptr<net::http_exchange>;
    using runner = asio::awaitable<void> (impl::*)(attempt_id, exchange_ptr);

    template<typename Action>
    void start(const Action &action, net::http_call call, runner run)
    {
        const auto endpoint = net::parseEndpoint(action.address);
        if (!endpoint) {
            const attempt_failed failure{action.attempt, attempt_failure::Unreachable, verdict::NotRun, "bad address"};
            asio::co_spawn(m_context, m_toCore.push(failure), asio::detached);
            return;
        }
        call.endpoint = *endpoint;
        exchange_ptr exchange = net::http_exchange::make(m_context.get_executor(), std::move(call));
        m_openExchanges.emplace(action.attempt, exchange);
        asio::co_spawn(m_context, (this->*run)(action.attempt, std::move(exchange)), asio::detached);
    }

    asio::awaitable<void> runPrefill(attempt_id attempt, exchange_ptr exchange)
    {
        const net::http_result result = co_await exchange->run({});
        m_openExchanges.erase(attempt);
        const bool ok = result.answer && result.answer->status < net::status::kFirstRedirect;
        const auto finished = ok ? parsePrefill(attempt, result.answer->body) : std::nullopt;
        if (finished) {
            co_await m_toCore.push(*finished);
        } else {
            co_await m_toCore.push(failureOf(attempt, result));
        }
    }

    asio::awaitable<void> runDecode(attempt_id attempt, exchange_ptr exchange)
    {
        decode_reader reader(attempt, m_toCore);
        const net::http_exchange::body_hook onBody = [&reader, &exchange](std::string_view chunk) -> asio::awaitable<void> {
            co_await reader.feed(chunk);
            if (reader.isUseless()) {
                exchange->cancel();
            }
        };
        const net::http_result result = co_await exchange->run(onBody);
        m_openExchanges.erase(attempt);
        if (reader.endSent()) {
            co_return;
        }
        attempt_failed failure = failureOf(attempt, result);
        if (result.answer && result.answer->status < net::status::kFirstRedirect) {
            failure = {attempt, attempt_failure::ConnectionLost, verdict::MayHaveRun, "the stream ended early"};
        }
        // An engine that ended a request with an error code has nothing left to resume.
        if (!reader.errorCode().empty()) {
            failure = {attempt, attempt_failure::UnknownRequest, verdict::MayHaveRun, "the engine ended the stream: " + reader.errorCode()};
        }
        co_await m_toCore.push(std::move(failure));
    }

    asio::awaitable<void> runService(attempt_id attempt, exchange_ptr exchange)
    {
        net::http_result result = co_await exchange->run({});
        m_openExchanges.erase(attempt);
        if (result.answer) {
            service_answered answered{attempt, result.answer->status, result.answer->contentType, std::move(result.answer->body)};
            co_await m_toCore.push(std::move(answered));
        } else {
            co_await m_toCore.push(failureOf(attempt, result));
        }
    }

    asio::awaitable<void> runCancel(attempt_id attempt, net::http_call call)
    {
        const net::http_result result = co_await net::performCall(std::move(call));
        const bool done = result.answer && result.answer->status < net::status::kFirstRedirect;
        co_await m_toCore.push(cancel_finished{attempt, done});
    }

    asio::awaitable<void> runPoll(poll_load action)
    {
        load_reported report{action.upstreamName, std::nullopt};
        const auto endpoint = net::parseEndpoint(action.address);
        if (endpoint) {
            net::http_call call = makeCall(*endpoint, "/v1/load", {});
            call.method = "GET";
            call.progressTimeout = kPollTimeout;
            call.totalTimeout = kPollTimeout;
            call.maxAnswerBytes = kMaxCallAnswerBytes;
            const net::http_result result = co_await net::performCall(std::move(call));
            const bool ok = result.answer && result.answer->status < net::status::kFirstRedirect;
            report.load = ok ? parseLoad(result.answer->body) : std::nullopt;
        }
        co_await m_toCore.push(std::move(report));
    }

    asio::awaitable<void> runCheck(check_upstream action)
    {
        upstream_checked result{action.upstreamName, process_state::Unknown};
        if (const auto endpoint = net::parseEndpoint(action.address)) {
            net::port_state state = co_await net::checkPort(*endpoint, kCheckTimeout);
            if (state == net::port_state::Open) {
                // A process that is about to end may still accept connections.
                asio::steady_timer timer(m_context, kRecheckDelay);
                co_await timer.async_wait(asio::use_awaitable);
                state = co_await net::checkPort(*endpoint, kCheckTimeout);
            }
            if (state != net::port_state::Silent) {
                result.state = state == net::port_state::Open ? process_state::Alive : process_state::Ended;
            }
        }
        co_await m_toCore.push(std::move(result));
    }

    asio::io_context &m_context;
    channel<core_event> &m_toCore;
    std::shared_ptr<net::memory_budget> m_memory;
    std::map<attempt_id, exchange_ptr> m_openExchanges;
};

upstream_duty::upstream_duty(asio::io_context &context, channel<core_event> &toCore, std::shared_ptr<net::memory_budget> memory)
    : m_impl(std::make_unique<impl>(context, toCore, std::move(memory)))
{ }

upstream_duty::~upstream_duty() = default;

bool upstream_duty::handles(const core_action &action) noexcept
{
    return std::holds_alternative<start_prefill>(action) || std::holds_alternative<start_decode>(action) || std::holds_alternative<resume_decode>(action)
           || std::holds_alternative<start_service_call>(action) || std::holds_alternative<abandon_attempt>(action)
           || std::holds_alternative<cancel_request>(action) || std::holds_alternative<poll_load>(action) || std::holds_alternative<check_upstream>(action);
}

void upstream_duty::perform(core_action action)
{
    std::visit([this](const auto &typed) { m_impl->perform(typed); }, action);
}

} // namespace heatherroute::node
