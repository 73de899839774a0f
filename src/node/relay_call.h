#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>

#include "heatherroute/verdict.h"
#include "net/http_server.h"
#include "node/relay_state.h"

namespace heatherroute::node
{

/// How one request of a caller was ended; a line of the log and a count.
struct relay_end
{
    std::string outcome; ///< One word: `answered`, `refused`, `failed`, `caller_gone`, `broken`.
    unsigned status = 0;
    std::string reason;
    verdict ran = verdict::NotRun;
    std::string upstream; ///< The last one that had it.
};

/**
 * One request of a caller while it is served: its time, its connection, and the upstream exchange under way.
 *
 * The exchange under way ends when the caller leaves and when the request's time is over. Belongs to the relay's thread and
 * must outlive the exchange's coroutine.
 */
class relay_call
{
public:
    relay_call(relay_state &state, net::http_request request, net::http_responder &responder);
    ~relay_call();
    relay_call(const relay_call &) = delete;
    relay_call &operator=(const relay_call &) = delete;

    /// Starts to watch the time, which ends with the route's timeout or the caller's, whichever is first.
    void begin(const route &matched);

    relay_state &state() noexcept
    {
        return m_state;
    }
    const net::http_request &request() const noexcept
    {
        return m_request;
    }
    const relay_request &facts() const noexcept
    {
        return m_facts;
    }
    const route &matched() const noexcept
    {
        return *m_route;
    }
    net::http_responder &responder() noexcept
    {
        return m_responder;
    }
    bool isGone() const noexcept
    {
        return m_shared->gone;
    }
    /// Whether the request's time is over.
    bool isLate() const noexcept
    {
        return m_shared->late;
    }
    bool isOver() const noexcept
    {
        return isGone() || isLate() || m_shared->cut;
    }
    /// Ends the request before its time, because the entry stops; the caller is told whether it may have run.
    void cut();
    duration timeLeft() const;
    duration age() const;

    /// Performs @p call; ended early when the caller leaves or the time is over.
    boost::asio::awaitable<net::http_result> perform(net::http_call call);
    boost::asio::awaitable<net::http_result> perform(net::http_call call, net::http_exchange::head_hook onHead, net::http_exchange::body_hook onBody);
    /// The caller's request to @p run as @p directions say, ready for perform().
    net::http_call forward(const registration &run, const upstream_directions &directions) const;
    /// Waits; ended early like perform().
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);

    /// Sends an answer of the router's own: @p status, with a time to return when @p retryAfter is set.
    boost::asio::awaitable<void> refuse(unsigned status, std::string code, std::optional<duration> retryAfter);
    /// Sends an upstream's whole answer unchanged.
    boost::asio::awaitable<void> pass(net::http_answer answer);
    /// Why @p answer can't be an upstream's own answer to this request; empty when it can.
    std::string faultOf(const answer_facts &facts, const net::http_answer &answer) const;
    /// Logs that a try at @p run failed; @p stage tells at which part of the request.
    void noteFailedTry(const registration &run, const std::string &stage, const std::string &reason, verdict ran) const;
    /// Adds to the line that finish() writes.
    void addFields(std::vector<log_field> fields);
    /// Writes the line that ends the request's story.
    void finish(const relay_end &end);

private:
    struct shared_state
    {
        bool gone = false;
        bool late = false;
        bool cut = false;
        std::shared_ptr<net::http_exchange> exchange;
        boost::asio::steady_timer *waiting = nullptr;
        void interrupt() const;
    };

    relay_state &m_state;
    net::http_request m_request;
    relay_request m_facts;
    net::http_responder &m_responder;
    std::shared_ptr<const route_table> m_routes; ///< Keeps the route alive through changes of configuration.
    const route *m_route = nullptr;
    std::vector<log_field> m_moreFields;
    instant m_startedAt;
    instant m_deadline;
    std::shared_ptr<shared_state> m_shared;
    boost::asio::steady_timer m_timer;
};

/// The call to @p run's address with @p state's connect timeout; @p timeout bounds the whole silence.
net::http_call aimedAt(const relay_state &state, const registration &run, net::http_call call, std::chrono::milliseconds timeout);

} // namespace heatherroute::node
