#include "node/operator_duty.h"

#include <boost/asio/co_spawn.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node/caller_answer.h"
#include "node/session_table.h"
#include "node/state_text.h"
#include "telemetry/log.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kMethodNotAllowed = 405;
constexpr const char *kPlainText = "text/plain; charset=utf-8";
constexpr const char *kMetricsText = "text/plain; version=0.0.4; charset=utf-8";

fail_caller clientError(unsigned status, std::string code, std::string message)
{
    return {{}, status, std::move(code), std::move(message), verdict::NotRun, std::nullopt};
}

std::optional<log_level> parseLevel(std::string_view text)
{
    constexpr std::pair<std::string_view, log_level> kLevels[] = {
        {"debug", log_level::Debug},
        {"info", log_level::Info},
        {"warning", log_level::Warning},
        {"error", log_level::Error},
    };
    for (const auto &[name, level] : kLevels) {
        if (name == text) {
            return level;
        }
    }
    return std::nullopt;
}

} // namespace

class operator_duty::impl
{
public:
    impl(asio::io_context &context, channel<core_event> &toCore)
        : m_sessions(context, kDuty)
        , m_toCore(toCore)
    { }

    bool listen(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint, operator_limits own, last_reason *reason)
    {
        const auto handler = [this](net::http_request request, net::http_responder &out) { return serve(std::move(request), out); };
        net::http_limits limits;
        limits.maxConnections = own.maxConnections;
        m_server = net::http_server::make(context, endpoint, limits, handler, unreadableAnswer, reason);
        if (m_server) {
            m_server->guard(std::move(own.memory), std::move(own.onRefused));
        }
        return m_server != nullptr;
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        return m_server->endpoint();
    }

    void addMetrics(asio::io_context &context, std::function<metrics_snapshot()> snapshot)
    {
        m_metricsSources.emplace_back(&context, std::move(snapshot));
    }

    void deliver(caller_id caller, core_action action)
    {
        const auto found = m_sessions.find(caller);
        if (found) {
            found->push(std::move(action));
        }
    }

private:
    asio::awaitable<void> serve(net::http_request request, net::http_responder &out)
    {
        const std::string_view path = request.path();
        if (path == "/debug/state") {
            co_await answerFromCore(dump_requested{}, out, request.query("format") == "text");
        } else if (path == "/metrics") {
            co_await serveMetrics(out);
        } else if (path == "/admin/where") {
            // A named object, because GCC 12 copies a temporary in a co_await expression byte by byte, which leaves its string with a
            // dangling pointer.
            owner_requested event;
            event.upstreamName = std::string(request.query("upstream"));
            co_await answerFromCore(std::move(event), out);
        } else if (path == "/admin/drain" || path == "/admin/log-level") {
            co_await handleCommand(request, out);
        } else {
            co_await out.send(errorAnswer(clientError(kNotFound, "unknown_path", "no such path")));
        }
    }

    asio::awaitable<void> handleCommand(const net::http_request &request, net::http_responder &out)
    {
        if (request.method != "POST") {
            co_await out.send(errorAnswer(clientError(kMethodNotAllowed, "method_not_allowed", "this path takes POST")));
            co_return;
        }
        if (request.path() == "/admin/drain") {
            co_await m_toCore.push(stop_requested{stop_origin::Operator});
        } else {
            const auto level = parseLevel(request.query("level"));
            if (!level) {
                co_await out.send(errorAnswer(clientError(kBadRequest, "invalid_request", "level must be debug, info, warning or error")));
                co_return;
            }
            setLogLevel(*level);
        }
        net::http_answer done;
        done.body = "{}";
        co_await out.send(std::move(done));
    }

    /// Sends @p event to the core and waits for its answer; empty when the client has disconnected.
    template<typename Event>
    asio::awaitable<std::optional<core_action>> requestFromCore(Event event, net::http_responder &out)
    {
        const auto [id, newSession] = m_sessions.open();
        event.caller = id;
        out.onClosed([weak = std::weak_ptr<session>(newSession)] {
            if (const auto lockedSession = weak.lock()) {
                lockedSession->close();
            }
        });
        co_await m_toCore.push(std::move(event));
        std::optional<core_action> action = co_await newSession->next();
        m_sessions.close(id);
        out.onClosed({});
        co_return action;
    }

    template<typename Event>
    asio::awaitable<void> answerFromCore(Event event, net::http_responder &out, bool asText = false)
    {
        std::optional<core_action> action = co_await requestFromCore(std::move(event), out);
        if (!action) {
            co_return;
        }
        if (auto *document = std::get_if<answer_document>(&*action)) {
            net::http_answer answer;
            answer.status = document->status;
            answer.body = asText ? stateText(document->body) : std::move(document->body);
            answer.contentType = asText ? kPlainText : answer.contentType;
            co_await out.send(std::move(answer));
        } else if (const auto *failure = std::get_if<fail_caller>(&*action)) {
            co_await out.send(errorAnswer(*failure));
        }
    }

    asio::awaitable<void> serveMetrics(net::http_responder &out)
    {
        std::optional<core_action> action = co_await requestFromCore(dump_requested{}, out);
        const answer_document *document = action ? std::get_if<answer_document>(&*action) : nullptr;
        if (document == nullptr) {
            co_return;
        }
        metrics_snapshot merged = stateMetrics(document->body);
        for (const auto &[context, snapshot] : m_metricsSources) {
            const metrics_snapshot dutyMetrics = co_await asio::co_spawn(*context, takeSnapshot(snapshot), asio::use_awaitable);
            merged.merge(dutyMetrics);
        }
        net::http_answer answer;
        answer.body = toPrometheusText(merged);
        answer.contentType = kMetricsText;
        co_await out.send(std::move(answer));
    }

    static asio::awaitable<metrics_snapshot> takeSnapshot(std::function<metrics_snapshot()> snapshot)
    {
        co_return snapshot();
    }

    std::vector<std::pair<asio::io_context *, std::function<metrics_snapshot()>>> m_metricsSources;
    session_table m_sessions;
    channel<core_event> &m_toCore;
    std::unique_ptr<net::http_server> m_server;
};

std::unique_ptr<operator_duty> operator_duty::make(
    asio::io_context &context, const asio::ip::tcp::endpoint &endpoint, operator_limits limits, channel<core_event> &toCore, last_reason *reason)
{
    auto implementation = std::make_unique<impl>(context, toCore);
    if (!implementation->listen(context, endpoint, std::move(limits), reason)) {
        return nullptr;
    }
    return std::unique_ptr<operator_duty>(new operator_duty(std::move(implementation)));
}

operator_duty::operator_duty(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

operator_duty::~operator_duty() = default;

asio::ip::tcp::endpoint operator_duty::endpoint() const
{
    return m_impl->endpoint();
}

void operator_duty::addMetrics(asio::io_context &context, std::function<metrics_snapshot()> snapshot)
{
    m_impl->addMetrics(context, std::move(snapshot));
}

void operator_duty::deliver(caller_id caller, core_action action)
{
    m_impl->deliver(caller, std::move(action));
}

} // namespace heatherroute::node
