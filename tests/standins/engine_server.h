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

/// What the server round the models adds to them.
struct engine_options
{
    std::chrono::milliseconds loadLag{200};
    std::chrono::milliseconds eventDelay{200};
    std::uint64_t eventGapEvery = 0; ///< Every n-th cache event is never published; zero for no gaps.
    std::chrono::milliseconds transferStall{500}; ///< A KV transfer without progress for so long is given up.
    bool checkFence = true;
};

/// The fault switches of an engine, as `POST /fault` sets them.
struct engine_faults
{
    bool stallTransfers = false;
    bool stallStreams = false;
    bool refuse = false;
    bool freezeLoad = false;
    bool ignoreCancel = false;
    double slowFactor = 1;
    std::string crashOn; ///< The process ends when a prompt that contains it starts.
    std::uint64_t dieAfterTokens = 0; ///< The process ends after so many more tokens; zero for never.
};

/// One order as audits see it.
struct order_record
{
    std::string kind;
    std::string value;
    std::int64_t fence = 0;
    instant at;
    bool accepted = false;
};

/**
 * Serves the protocol of a model engine over the two models; every decision about time and memory is in those.
 *
 * Single-threaded on its io_context.
 */
class engine_server
{
public:
    engine_server(net::io_context &context, standin_server &server, engine_settings settings, engine_options options);

private:
    struct load_view
    {
        instant at;
        std::size_t running = 0;
        std::size_t piecesFree = 0;
        std::size_t queue = 0;
    };

    void addRoutes(standin_server &server);
    void pump();
    void arm();
    void sampleLoad(instant now);
    void checkCrash(const std::string *prompt);
    [[noreturn]] static void crash(const std::string &why);

    net::awaitable<void> prefill(const standin_request &request, standin_connection &connection);
    net::awaitable<void> decode(const standin_request &request, standin_connection &connection);
    net::awaitable<void> resume(const standin_request &request, standin_connection &connection);
    net::awaitable<void> cancel(const standin_request &request, standin_connection &connection);
    net::awaitable<void> sendKv(const standin_request &request, standin_connection &connection);
    net::awaitable<void> pullKv(std::string source, std::string kvId, std::string requestId, std::size_t record);
    net::awaitable<bool> awaitKv(std::size_t record, const std::string &requestId, standin_connection &connection);
    net::awaitable<void> stream(std::string requestId, expected_answer answer, std::size_t record, std::size_t offset, standin_connection &connection);
    net::awaitable<bool> mayWork(const char *role, const engine_request &work, standin_connection &connection);
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
    std::string m_incarnation; ///< Part of KV ids, so that a restarted engine never serves the wrong one.
    std::uint64_t m_tokensAtFault = 0;
    std::map<std::uint64_t, prefill_outcome> m_outcomes; ///< By the id of prefill_model; until the waiting call takes it.
    std::set<std::uint64_t> m_sentTransfers;
    std::map<std::size_t, std::string> m_pullFailures; ///< Error code by the index of the decode record.
    std::map<std::string, std::uint64_t> m_streams; ///< The stream that currently reads a request.
    std::uint64_t m_lastStream = 0;
    std::deque<load_view> m_loads;
    std::vector<order_record> m_orders;
    std::map<std::string, std::uint64_t> m_refusals;
    std::int64_t m_highestFence = 0;
    std::string m_version;
    std::set<std::string> m_adapters;
};

} // namespace heatherroute::standins
