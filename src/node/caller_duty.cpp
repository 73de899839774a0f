#include "node/caller_duty.h"

#include <string>

#include "node/caller_answer.h"
#include "node/caller_metrics.h"
#include "node/core_time.h"
#include "node/refusal_report.h"
#include "node/service_path.h"
#include "node/session_table.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view kServicePrefix = "/svc/";
constexpr unsigned kOk = 200;
constexpr const char *kJson = "application/json";

/// Splits "/svc/NAME/rest?query" into the service name and the normalized "/rest?query".
bool splitServiceTarget(const std::string &target, service_requested &call, last_reason *reason)
{
    const auto normal = normalizeTarget(target, reason);
    if (!normal) {
        return false;
    }
    const std::string rest = normal->substr(kServicePrefix.size());
    const auto end = rest.find_first_of("/?");
    call.service = rest.substr(0, end);
    call.path = end == std::string::npos ? "/" : rest.substr(end);
    if (call.path.front() == '?') {
        call.path.insert(0, "/");
    }
    return true;
}

fail_caller clientError(unsigned status, std::string code, std::string message)
{
    return {{}, status, std::move(code), std::move(message), verdict::NotRun, std::nullopt};
}

} // namespace

class caller_duty::impl
{
public:
    impl(asio::io_context &context, const caller_limits &limits, channel<core_event> &toCore)
        : m_sessions(context, kDuty)
        , m_limits(limits)
        , m_toCore(toCore)
        , m_refusals([this](log_line line) {
            if (m_log) {
                m_log(std::move(line));
            }
        })
    { }

    bool listen(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint, last_reason *reason)
    {
        const auto handler = [this](net::http_request request, net::http_responder &out) { return serve(std::move(request), out); };
        const auto unreadable = [this](unsigned status, std::string_view why) {
            recordRequestEnd({"unreadable", "-", {}, "unreadable_request", std::string(toString(verdict::NotRun)), status, {}});
            return unreadableAnswer(status, why);
        };
        m_server = net::http_server::make(context, endpoint, m_limits.http, handler, unreadable, reason);
        if (m_server) {
            m_server->guard(m_limits.memory, [this](net::refusal_reason why, const std::string &remoteAddress) {
                m_metrics.onRefused(net::toString(why));
                m_refusals.note(std::chrono::steady_clock::now(), "callers", why, remoteAddress);
            });
        }
        return m_server != nullptr;
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        return m_server->endpoint();
    }

    void setLog(std::function<void(log_line)> log)
    {
        m_log = std::move(log);
    }

    metrics_snapshot metrics()
    {
        return m_metrics.snapshot(m_server->connectionCount(), m_sessions.size());
    }

    void deliver(caller_id caller, core_action action)
    {
        const auto found = m_sessions.find(caller);
        if (!found) {
            return;
        }
        found->push(std::move(action));
        if (found->queuedBytes() > m_limits.maxBufferedBytes) {
            found->abort();
        }
    }

private:
    /// State of one exchange: the request's identity, what has been sent so far, and the outcome.
    struct exchange
    {
        net::http_responder &out;
        std::string kind;
        bool stream = false;
        bool headSent = false;
        std::string requestName{};
        std::string team{};
        std::string text{};
        instant arrivedAt = coreNow();
        std::optional<instant> lastTokensAt{};
        std::string outcome = "caller_gone";
        verdict result = verdict::MayHaveRun;
        unsigned status = 0;
    };

    void recordRequestEnd(const request_end &end)
    {
        m_metrics.onRequestEnd(end);
        if (m_log) {
            m_log(makeRequestEndLine(end));
        }
    }

    asio::awaitable<void> refuse(std::string kind, const net::http_request &request, net::http_responder &out, fail_caller failure)
    {
        // An invalid id must not reach the log unchecked, so the log line contains a dash instead.
        last_reason ignored;
        const auto traits = parseTraits(request, &ignored);
        const std::string name = traits && !traits->requestName.empty() ? traits->requestName : "-";
        recordRequestEnd(
            {std::move(kind), name, traits ? traits->team : std::string{}, failure.code, std::string(toString(failure.outcome)), failure.status, {}});
        co_await out.send(errorAnswer(failure));
    }

    asio::awaitable<void> serve(net::http_request request, net::http_responder &out)
    {
        const std::string_view path = request.path();
        if (path == "/v1/completions") {
            co_await serveCompletion(request, out);
        } else if (path == "/v1/entry") {
            co_await serveEntries(request, out);
        } else if (path.starts_with(kServicePrefix)) {
            co_await serveService(std::move(request), out);
        } else {
            co_await refuse("other", request, out, clientError(404, "unknown_path", "no such path"));
        }
    }

    asio::awaitable<void> serveCompletion(const net::http_request &request, net::http_responder &out)
    {
        if (request.method != "POST") {
            co_await refuse("completion", request, out, clientError(405, "method_not_allowed", "completions take POST"));
            co_return;
        }
        last_reason reason;
        auto parsed = parseCompletion(request, &reason);
        if (!parsed) {
            co_await refuse("completion", request, out, clientError(400, "invalid_request", reason.text()));
            co_return;
        }
        exchange state{out, "completion", parsed->stream};
        co_await exchangeWithCore(std::move(parsed->generation), state);
    }

    asio::awaitable<void> serveEntries(const net::http_request &request, net::http_responder &out)
    {
        if (request.method != "GET") {
            co_await refuse("entry", request, out, clientError(405, "method_not_allowed", "this path takes GET"));
            co_return;
        }
        entries_requested event;
        event.zone = std::string(request.query("zone"));
        // Callers that share an address or connect through a relay are distinguished by the name that they send.
        event.callerHost = request.remoteAddress + "/" + std::string(request.query("caller"));
        exchange state{out, "entry"};
        co_await exchangeWithCore(std::move(event), state);
    }

    asio::awaitable<void> serveService(net::http_request request, net::http_responder &out)
    {
        last_reason reason;
        auto traits = parseTraits(request, &reason);
        if (!traits) {
            co_await refuse("service", request, out, clientError(400, "invalid_request", reason.text()));
            co_return;
        }
        service_requested event;
        if (!splitServiceTarget(request.target, event, &reason)) {
            co_await refuse("service", request, out, clientError(400, "invalid_path", reason.text()));
            co_return;
        }
        event.traits = std::move(*traits);
        event.method = request.method;
        event.contentType = std::string(request.header("Content-Type"));
        event.body = std::move(request.body);
        exchange state{out, "service"};
        co_await exchangeWithCore(std::move(event), state);
    }

    static void assignRequestName(request_traits &traits, caller_id id)
    {
        if (traits.requestName.empty()) {
            traits.requestName = "r" + std::to_string(id.value & ((1ULL << session_table::kDutyShift) - 1));
        }
    }

    template<typename Event>
    asio::awaitable<void> exchangeWithCore(Event event, exchange &state)
    {
        const auto [id, newSession] = m_sessions.open();
        event.caller = id;
        if constexpr (requires { event.traits; }) {
            assignRequestName(event.traits, id);
            state.requestName = event.traits.requestName;
            state.team = event.traits.team;
        }
        newSession->onAbort([&state] { state.out.abort(); });
        state.out.onClosed([weak = std::weak_ptr<session>(newSession)] {
            if (const auto lockedSession = weak.lock()) {
                lockedSession->close();
            }
        });
        co_await m_toCore.push(std::move(event));
        bool hasMore = true;
        while (hasMore) {
            std::optional<core_action> action = co_await newSession->next();
            hasMore = action.has_value();
            if (hasMore) {
                hasMore = co_await write(std::move(*action), state);
            }
        }
        state.out.onClosed({});
        newSession->onAbort({});
        if (newSession->isClosed() || state.out.isClosed()) {
            co_await m_toCore.push(caller_gone{id});
            co_await notifyHalfClosed(state);
        }
        m_sessions.close(id);
        recordRequestEnd(
            {state.kind, state.requestName, state.team, state.outcome, std::string(toString(state.result)), state.status, coreNow() - state.arrivedAt});
    }

    /// Sends an error to a client that closed only its sending half and so can still read why its request ended.
    static asio::awaitable<void> notifyHalfClosed(exchange &state)
    {
        if (state.outcome != "caller_gone" || state.headSent) {
            co_return;
        }
        fail_caller failure{{}, 400, "connection_half_closed", "the connection was closed before the answer", verdict::MayHaveRun, std::nullopt};
        co_await state.out.send(errorAnswer(failure));
    }

    /// Writes one action; returns whether more follow.
    asio::awaitable<bool> write(core_action action, exchange &state)
    {
        recordOutcome(action, state);
        if (auto *tokens = std::get_if<deliver_tokens>(&action)) {
            co_return co_await writeTokens(*tokens, state);
        }
        if (auto *end = std::get_if<finish_generation>(&action)) {
            co_await writeEnd(*end, state);
        } else if (auto *failure = std::get_if<fail_caller>(&action)) {
            co_await writeFailure(*failure, state);
        } else if (auto *answer = std::get_if<finish_service_call>(&action)) {
            co_await sendComplete(state.out, answer->status, std::move(answer->contentType), std::move(answer->body));
        } else if (auto *document = std::get_if<answer_document>(&action)) {
            co_await sendComplete(state.out, document->status, kJson, std::move(document->body));
        }
        co_return false;
    }

    static void recordOutcome(const core_action &action, exchange &state)
    {
        if (const auto *failure = std::get_if<fail_caller>(&action)) {
            state.outcome = failure->code;
            state.result = failure->outcome;
            state.status = state.headSent ? kOk : failure->status;
        } else if (const auto *answer = std::get_if<finish_service_call>(&action)) {
            recordSuccess(state, answer->status);
        } else if (const auto *document = std::get_if<answer_document>(&action)) {
            recordSuccess(state, document->status);
        } else if (std::holds_alternative<finish_generation>(action)) {
            recordSuccess(state, kOk);
        }
    }

    static void recordSuccess(exchange &state, unsigned status)
    {
        state.outcome = "done";
        state.result = verdict::Ran;
        state.status = status;
    }

    void recordTokenTimes(const deliver_tokens &tokens, exchange &state)
    {
        const instant now = coreNow();
        if (!state.lastTokensAt) {
            m_metrics.onFirstToken(now - state.arrivedAt);
        }
        m_metrics.onTokens(state.lastTokensAt ? now - *state.lastTokensAt : duration{}, tokens.texts.size());
        state.lastTokensAt = now;
    }

    asio::awaitable<bool> writeTokens(const deliver_tokens &tokens, exchange &state)
    {
        recordTokenTimes(tokens, state);
        std::string data;
        std::uint32_t offset = tokens.offset;
        for (const std::string &text : tokens.texts) {
            if (state.stream) {
                data += tokenEvent(state.requestName, offset, text);
            } else {
                state.text += text;
            }
            ++offset;
        }
        if (!state.stream) {
            co_return true;
        }
        const bool begun = co_await beginStream(state);
        if (!begun) {
            co_return false;
        }
        co_return co_await state.out.write(std::move(data));
    }

    asio::awaitable<void> writeEnd(const finish_generation &end, exchange &state)
    {
        if (!state.stream) {
            co_await sendComplete(state.out, kOk, kJson, completionBody(state.requestName, state.text, end));
            co_return;
        }
        const bool begun = co_await beginStream(state);
        if (!begun) {
            co_return;
        }
        std::string events = finishEvents(state.requestName, end);
        const bool written = co_await state.out.write(std::move(events));
        if (written) {
            co_await state.out.endStream();
        }
    }

    asio::awaitable<void> writeFailure(const fail_caller &failure, exchange &state)
    {
        if (!state.headSent) {
            co_await state.out.send(errorAnswer(failure));
            co_return;
        }
        std::string event = errorEvent(failure);
        const bool written = co_await state.out.write(std::move(event));
        if (written) {
            co_await state.out.endStream();
        }
    }

    static asio::awaitable<void> sendComplete(net::http_responder &out, unsigned status, std::string contentType, std::string body)
    {
        net::http_answer answer;
        answer.status = status;
        answer.contentType = std::move(contentType);
        answer.body = std::move(body);
        co_await out.send(std::move(answer));
    }

    asio::awaitable<bool> beginStream(exchange &state)
    {
        if (state.headSent) {
            co_return true;
        }
        state.headSent = true;
        net::http_answer head;
        head.contentType = "text/event-stream";
        head.fields.push_back({"X-Request-Id", state.requestName});
        co_return co_await state.out.beginStream(std::move(head));
    }

    session_table m_sessions;
    caller_limits m_limits;
    channel<core_event> &m_toCore;
    caller_metrics m_metrics;
    std::function<void(log_line)> m_log;
    refusal_report m_refusals;
    std::unique_ptr<net::http_server> m_server;
};

std::unique_ptr<caller_duty> caller_duty::make(
    asio::io_context &context, const asio::ip::tcp::endpoint &endpoint, const caller_limits &limits, channel<core_event> &toCore, last_reason *reason)
{
    auto implementation = std::make_unique<impl>(context, limits, toCore);
    if (!implementation->listen(context, endpoint, reason)) {
        return nullptr;
    }
    return std::unique_ptr<caller_duty>(new caller_duty(std::move(implementation)));
}

caller_duty::caller_duty(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

caller_duty::~caller_duty() = default;

asio::ip::tcp::endpoint caller_duty::endpoint() const
{
    return m_impl->endpoint();
}

void caller_duty::setLog(std::function<void(log_line)> log)
{
    m_impl->setLog(std::move(log));
}

metrics_snapshot caller_duty::metrics()
{
    return m_impl->metrics();
}

void caller_duty::deliver(caller_id caller, core_action action)
{
    m_impl->deliver(caller, std::move(action));
}

} // namespace heatherroute::node
