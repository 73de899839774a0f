#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "net/http_server.h"
#include "standins/site_store.h"

namespace heatherroute::standins
{

/// What a stand-in upstream is.
struct site_upstream_settings
{
    std::string id;
    std::string service;
    std::string phase; ///< Empty for a plain service.
    std::uint32_t memoryTokens = 60'000;
    std::chrono::milliseconds workTime{5}; ///< Of a plain request.
    std::chrono::milliseconds eventInterval{10}; ///< Of a stream.
    std::uint32_t events = 12; ///< Of a stream.
};

/// What a stand-in upstream does wrong.
struct upstream_faults
{
    bool hang = false; ///< Runs requests and never answers.
    bool loseAnswers = false; ///< Runs requests and closes the connection.
    bool fail = false; ///< Answers 500.
    bool refuse = false; ///< Answers 503 and doesn't run.
    bool refuseDecodes = false; ///< The same for streams only; reservations are taken, as by an engine that leaves its phase.
    bool foreignAnswers = false; ///< Answers for another request.
    bool breakStreams = false; ///< Ends streams in the middle.
};

/// What all upstreams of a site have run: runs by request id.
using run_counts = std::map<std::string, int>;

/**
 * A stand-in for one upstream of the platform, plain or an engine, that registers itself in the stand-in store.
 *
 * Not thread safe; lives on the thread of its io_context.
 */
class site_upstream
{
public:
    /// Listens on loopback and starts to report; null with @p reason set when it can't.
    static std::unique_ptr<site_upstream>
    make(boost::asio::io_context &context, site_upstream_settings settings, site_store &store, run_counts &runs, last_reason *reason);

    void setFaults(const upstream_faults &faults);
    /// Reports that it leaves; goes on serving.
    void drain();
    /// The runs that began after drain() by more than @p slack.
    int runsAfterDrain(std::chrono::milliseconds slack) const;
    /// Prompts that were computed for other engines.
    std::uint64_t prefills() const noexcept
    {
        return m_prefills;
    }
    const std::string &id() const noexcept
    {
        return m_settings.id;
    }

private:
    site_upstream(boost::asio::io_context &context, site_upstream_settings settings, site_store &store, run_counts &runs);
    void report();
    boost::asio::awaitable<void> serve(net::http_request request, net::http_responder &responder);
    boost::asio::awaitable<void> servePlain(const net::http_request &request, net::http_responder &responder);
    boost::asio::awaitable<void> serveStream(const net::http_request &request, net::http_responder &responder);
    net::http_answer reserve(const net::http_request &request);
    net::http_answer prefill(const net::http_request &request);
    net::http_answer order(const net::http_request &request);
    net::http_answer answerTo(const net::http_request &request, unsigned status) const;
    void noteRun(const net::http_request &request);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    site_upstream_settings m_settings;
    site_store &m_store;
    run_counts &m_runs;
    upstream_faults m_faults;
    boost::asio::steady_timer m_reportTimer;
    std::unique_ptr<net::http_server> m_server;
    std::uint64_t m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_names = 0;
    std::map<std::string, std::uint64_t> m_reservations;
    std::set<std::string> m_handles;
    std::optional<std::chrono::steady_clock::time_point> m_drainedAt;
    std::multiset<std::chrono::milliseconds> m_runsAfterDrain;
};

} // namespace heatherroute::standins
