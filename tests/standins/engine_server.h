#pragma once

#include "standins/decode_model.h"
#include "standins/engine_types.h"
#include "standins/prefill_model.h"
#include "standins/standin_server.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heatherroute::standins
{

/// Options of the engine that the server implements on top of the models.
struct engine_options
{
    std::chrono::milliseconds loadLag{200}; ///< Age of the reported load.
    std::chrono::milliseconds eventDelay{200}; ///< Age at which cache events are published.
    std::uint64_t eventGapEvery = 0; ///< Every n-th cache event is never published; zero for no gaps.
    std::chrono::milliseconds transferStall{500}; ///< A KV transfer is aborted after this time without progress.
    bool checkFence = true; ///< Rejects orders with a fencing token below the highest one seen.
};

/// The fault switches of an engine, set by `POST /fault`.
struct engine_faults
{
    bool stallTransfers = false; ///< KV transfers make no progress.
    bool stallStreams = false; ///< Streams send no events.
    bool dripStreams = false; ///< Streams send no events, but a comment line now and then.
    bool refuse = false; ///< Rejects all prefill, decode and resume calls with 503.
    bool freezeLoad = false; ///< The reported load stops changing.
    bool ignoreCancel = false; ///< Confirms cancel calls without cancelling anything.
    double slowFactor = 1; ///< Factor for the duration of prefills and decode steps.
    std::string crashOn; ///< The process exits when the computation of a prompt that contains this text starts; empty for never.
    std::uint64_t dieAfterTokens = 0; ///< The process exits after generating this many more tokens; zero for never.
};

/// The record of one order, which audits read.
struct order_record
{
    std::string kind;
    std::string value;
    std::int64_t fence = 0;
    instant at;
    bool accepted = false;
};

/**
 * Serves the HTTP protocol of a model engine. The two models make all decisions about time and memory.
 *
 * Not thread safe; runs on the single thread of its io_context.
 */
class engine_server
{
public:
    engine_server(net::io_context &context, standin_server &server, engine_settings settings, engine_options options);

private:
    struct load_sample
    {
        instant at;
        std::size_t running = 0;
        std::size_t piecesFree = 0;
        std::size_t queue = 0;
    };

    void addRoutes(standin_server &server);
    /// Advances both models to the current time, wakes the waiting calls and schedules the timer for the next event.
    void advanceModels();
    void scheduleTimer();
    void sampleLoad(instant now);
    void crashIfPromptMatches(const std::string *prompt);
    [[noreturn]] static void crash(const std::string &why);

    net::awaitable<void> prefill(const standin_request &request, standin_connection &connection);
    net::awaitable<void> decode(const standin_request &request, standin_connection &connection);
    net::awaitable<void> resume(const standin_request &request, standin_connection &connection);
    net::awaitable<void> cancel(const standin_request &request, standin_connection &connection);
    net::awaitable<void> sendKv(const standin_request &request, standin_connection &connection);
    net::awaitable<void> pullKv(std::string source, std::string kvId, std::string requestId, std::size_t record);
    /// Waits until the decode of @p record starts. Returns false after it has answered with an error.
    net::awaitable<bool> waitForKv(std::size_t record, const std::string &requestId, standin_connection &connection);
    net::awaitable<void> stream(std::string requestId, expected_answer answer, std::size_t record, std::size_t offset, standin_connection &connection);
    /// Returns false after it has answered with an error: the engine rejects requests, or the role or the request is wrong.
    net::awaitable<bool> validateRequest(const char *role, const engine_request &engineRequest, standin_connection &connection);
    net::awaitable<void> order(const standin_request &request, standin_connection &connection);

    json::object load();
    json::object requests(instant now) const;
    json::object cacheEvents(std::uint64_t after) const;
    json::object state() const;
    json::object records() const;
    void setFaults(const json::value &body);

    net::io_context &m_context;
    engine_settings m_settings;
    engine_options m_options;
    engine_faults m_faults;
    prefill_model m_prefill;
    decode_model m_decode;
    notifier m_changed;
    net::steady_timer m_timer;
    std::string m_incarnation; ///< Prefix of KV ids, so that a restarted engine never serves a KV cache under the id of an earlier one.
    std::uint64_t m_tokensAtFault = 0; ///< Tokens generated when the fault switches were last set; dieAfterTokens counts from there.
    std::map<std::uint64_t, prefill_outcome> m_outcomes; ///< By the id that prefill_model assigned; removed by the call that waits for it.
    std::set<std::uint64_t> m_sentTransfers;
    std::map<std::size_t, std::string> m_pullFailures; ///< Error code by index of the decode record.
    std::map<std::string, std::uint64_t> m_streams; ///< Id of the current stream of each request.
    std::uint64_t m_lastStream = 0;
    std::deque<load_sample> m_loadSamples;
    std::vector<order_record> m_orders;
    std::map<std::string, std::uint64_t> m_refusals;
    std::int64_t m_highestFence = 0;
    std::string m_version;
    std::set<std::string> m_adapters;
};

} // namespace heatherroute::standins
