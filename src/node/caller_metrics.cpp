#include "node/caller_metrics.h"

#include <chrono>

namespace heatherroute::node
{

namespace
{

constexpr double kFirstBoundSeconds = 0.001;
constexpr double kBoundFactor = 1.5;
constexpr std::size_t kBoundCount = 24; ///< The last bound is at about 11 seconds.

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

caller_metrics::caller_metrics()
    : m_firstToken(m_registry.histogram("heatherroute_first_token_seconds",
                                        "Time from a request's arrival to its first token",
                                        exponentialBounds(kFirstBoundSeconds, kBoundFactor, kBoundCount)))
    , m_tokenInterval(m_registry.histogram(
          "heatherroute_token_interval_seconds", "Time between tokens of an answer", exponentialBounds(kFirstBoundSeconds, kBoundFactor, kBoundCount)))
    , m_tokens(m_registry.counter("heatherroute_tokens_total", "Tokens handed to callers"))
{ }

void caller_metrics::onRequestEnd(const request_end &end)
{
    m_registry.counter("heatherroute_requests_total", "Requests that have ended", {{"kind", end.kind}, {"outcome", end.outcome}, {"verdict", end.verdict}})
        .value += 1;
}

void caller_metrics::onFirstToken(duration sinceRequest)
{
    m_firstToken.observe(seconds(sinceRequest));
}

void caller_metrics::onTokens(duration sinceLast, std::size_t count)
{
    m_tokens.value += count;
    if (sinceLast <= duration{}) {
        return;
    }
    for (std::size_t i = 0; i < count; ++i) {
        m_tokenInterval.observe(seconds(sinceLast) / static_cast<double>(count));
    }
}

void caller_metrics::onRefused(std::string_view reason)
{
    m_registry
        .counter("heatherroute_connections_refused_total",
                 "Requests that were refused unread and connections that were closed, by listener and reason.",
                 {{"listener", "callers"}, {"reason", std::string(reason)}})
        .value += 1;
}

metrics_snapshot caller_metrics::snapshot(std::size_t connections, std::size_t requests)
{
    m_registry.gauge("heatherroute_caller_connections", "Open connections of callers").value = static_cast<double>(connections);
    m_registry.gauge("heatherroute_caller_requests", "Requests of callers in flight").value = static_cast<double>(requests);
    return m_registry.snapshot();
}

log_line makeRequestEndLine(const request_end &end)
{
    const auto elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(end.elapsed).count();
    log_line line{log_level::Info, "request_ended", {requestIdField(end.requestName), {"kind", end.kind}}};
    if (!end.team.empty()) {
        line.fields.push_back({"team", end.team});
    }
    line.fields.push_back({"outcome", end.outcome});
    line.fields.push_back({"status", std::to_string(end.status)});
    line.fields.push_back({"verdict", end.verdict});
    line.fields.push_back({"duration_ms", std::to_string(elapsedMs)});
    return line;
}

} // namespace heatherroute::node
