#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>

#include "heatherroute/verdict.h"
#include "net/http_server.h"
#include "node/relay_state.h"
#include "relay/request_forwarding.h"

namespace heatherroute::node
{

/// The reason for refusing a request that crashes upstreams.
inline constexpr const char *kQuarantinedReason = "quarantined";

/// Why the entry that sent @p answer has declined the request that was passed to it; empty if the answer is one for the caller. Thread safe.
std::optional<forward_decline> declineOf(const net::http_answer &answer);

/// Who sent a request to this entry.
enum class request_sender : std::uint8_t {
    Caller,
    Entry, ///< Another entry, which has it from a caller and doesn't reach the upstreams.
};

/// The final result of a caller's request, as it is logged and counted.
struct relay_result
{
    std::string outcome; ///< One of `answered`, `refused`, `failed`, `caller_gone`, `broken`.
    unsigned status = 0;
    std::string reason;
    verdict execution = verdict::NotRun;
    std::string upstream; ///< The upstream that received the request last; empty when none did.
};

/**
 * A caller's request in progress, with its deadline, its caller connection and the current exchange with an upstream.
 *
 * The current exchange is cancelled when the caller disconnects or the deadline passes. Belongs to the relay's thread and must
 * outlive the coroutine of the exchange.
 */
class relay_call
{
public:
    relay_call(relay_state &state, net::http_request request, net::http_responder &responder, request_sender sender = request_sender::Caller);
    ~relay_call();
    relay_call(const relay_call &) = delete;
    relay_call &operator=(const relay_call &) = delete;

    /// Sets the route and starts the deadline timer with the caller's timeout, 30 s by default, or the route's timeout if it is shorter.
    void begin(const route &matched);

    relay_state &state() noexcept
    {
        return m_state;
    }
    const net::http_request &request() const noexcept
    {
        return m_request;
    }
    /// What the platform's dialect has read from the request.
    const relay_request &facts() const noexcept
    {
        return m_facts;
    }
    /// Identify the request over all attempts of its caller, at any entry, and the shared parts of its prompt.
    const request_fingerprints &fingerprints() const noexcept
    {
        return m_fingerprints;
    }
    /// Whether another entry has passed the request on, so that it is served here or declined.
    bool isFromEntry() const noexcept
    {
        return m_sender == request_sender::Entry;
    }
    /// The version of the configuration by which the other entry has routed the request; 0 if none.
    std::uint64_t sendersConfigVersion() const noexcept
    {
        return m_sendersConfigVersion;
    }
    /// The number of upstreams that may have run the request before another entry passed it on; 0 if that entry doesn't say.
    std::uint32_t earlierRuns() const noexcept
    {
        return m_earlierRuns;
    }
    /// Whether this entry's configuration routes the request to the service that the other entry has picked. With a newer one that doesn't, the
    /// caller would see an effect of it at an entry that serves its next request by the older one. Precondition: isFromEntry().
    bool agreesWithSender() const;
    /// Returns the service that the request goes to: picked at random by the matched route, or by the other entry if its configuration has
    /// another version; empty if there is none. Precondition: begin() was called.
    std::string pickService();
    /// Precondition: begin() was called.
    const route &matchedRoute() const noexcept
    {
        return *m_route;
    }
    net::http_responder &responder() noexcept
    {
        return m_responder;
    }
    bool isCallerGone() const noexcept
    {
        return m_shared->callerGone;
    }
    /// Whether the deadline has passed.
    bool isTimedOut() const noexcept
    {
        return m_shared->timedOut;
    }
    /// Whether the caller has disconnected, the deadline has passed or the request was aborted.
    bool isEnded() const noexcept
    {
        return isCallerGone() || isTimedOut() || m_shared->aborted;
    }
    /// Ends the request early because the entry is stopping. The caller's answer states whether the request may have run.
    void abort();
    /// Time until the deadline; zero after it.
    duration timeLeft() const;
    /// Time since the request arrived.
    duration age() const;
    /// What is known of how long the request takes. Precondition: begin() was called.
    call_length length() const;

    /// Performs @p call to @p run, observes its answer and collects the body in the result. The exchange is cancelled when the caller
    /// disconnects, the deadline passes or the request is aborted. If that happened before the call, or the upstream pauses or takes no work
    /// any more, or the key of the request isn't confirmed any more, nothing is sent and the result is a failure.
    boost::asio::awaitable<net::http_result> perform(registration run, net::http_call call);
    /// Like the other overload, but passes the head of the answer to @p onHead, which decides whether @p onBody receives the body.
    boost::asio::awaitable<net::http_result>
    perform(registration run, net::http_call call, net::http_exchange::head_hook onHead, net::http_exchange::body_hook onBody);
    /// Performs @p call to another entry, under the same conditions. Its answer says nothing of an upstream.
    boost::asio::awaitable<net::http_result> performAtEntry(net::http_call call, net::http_exchange::head_hook onHead, net::http_exchange::body_hook onBody);
    /// Makes the call that passes the caller's request for @p service to the entry at @p address, ready for performAtEntry(). @p earlierRuns: the
    /// number of upstreams that may have run it.
    net::http_call makeEntryCall(const std::string &address, const std::string &service, std::uint32_t earlierRuns) const;
    /// Makes the call that passes the caller's request to the upstream @p run with @p directions, ready for perform().
    net::http_call makeUpstreamCall(const registration &run, const upstream_directions &directions) const;
    /// Waits for @p time. The wait ends early under the same conditions as perform().
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);

    /// Returns the priority of the request's team, or else of its route; 0 is served first. Precondition: begin() was called.
    std::uint32_t priority() const;
    /// Returns what decides on the team of the request. Precondition: begin() was called.
    access_question accessQuestion() const;
    /// Sets the team that the request belongs to, if any, and what it was charged; finish() returns the charge if the request didn't run.
    void setTeam(std::string name, std::optional<team_charge> charge);
    /// Whether a call wasn't made because the key of the request isn't confirmed any more. The request must then be refused.
    bool isSendForbidden() const noexcept
    {
        return m_isSendForbidden;
    }

    /// Sends an error answer of the router itself, with a Retry-After delay when @p retryAfter is set.
    boost::asio::awaitable<void> sendError(unsigned status, std::string code, std::optional<duration> retryAfter);
    /// Tells the entry that has passed the request on that it isn't served here and has not run, and ends the request. Precondition:
    /// isFromEntry().
    boost::asio::awaitable<void> decline(forward_decline reason);
    /// Sends the complete answer of an upstream to the caller, with its status and body unchanged.
    boost::asio::awaitable<void> forwardAnswer(net::http_answer answer);
    /// Whether an answer names another request, so that nothing that it says is about this one.
    bool isOfAnotherRequest(const answer_facts &facts) const;
    /// Returns why @p answer can't be the upstream's own answer to this request; empty when it is valid.
    std::string validateAnswer(const answer_facts &facts, const net::http_answer &answer) const;
    /// Records that an attempt passes the request on to @p run. To be followed by perform() and endAttempt().
    void beginAttempt(const registration &run);
    /// Records that the upstream has sent something for the current attempt.
    void noteProgress();
    /// Records how the current attempt ended.
    void endAttempt(const net::http_result &result);
    /// Logs a failed attempt at the upstream @p run in the given @p stage of the request.
    void noteFailedAttempt(const registration &run, const std::string &stage, const std::string &reason, verdict execution) const;
    /// Adds fields to the log line that finish() writes.
    void addLogFields(std::vector<log_field> fields);
    /// Logs the end of the request and updates the metrics. Must be called once, at the end.
    void finish(const relay_result &result);

private:
    struct shared_state
    {
        bool callerGone = false;
        bool timedOut = false;
        bool aborted = false;
        std::shared_ptr<net::http_exchange> exchange;
        boost::asio::steady_timer *waitTimer = nullptr;
        void interrupt() const;
    };

    /// Whether the request may be sent now. Once it may not, it never may.
    bool checkKey();
    boost::asio::awaitable<net::http_result> exchange(net::http_call call, net::http_exchange::head_hook onHead, net::http_exchange::body_hook onBody);

    relay_state &m_state;
    request_sender m_sender;
    std::uint64_t m_sendersConfigVersion = 0;
    std::uint32_t m_earlierRuns = 0;
    std::string m_sendersService;
    std::string m_checkedTeam; ///< The team that the other entry has found and charged; empty if it hasn't.
    net::http_request m_request;
    relay_request m_facts;
    std::string m_team; ///< Empty if the request needs none.
    std::optional<team_charge> m_charge;
    bool m_isSendForbidden = false;
    request_fingerprints m_fingerprints;
    std::uint64_t m_attempt = 0; ///< The number of the current attempt.
    net::http_responder &m_responder;
    std::shared_ptr<const route_table> m_routes; ///< Keeps the route valid when the configuration changes.
    const route *m_route = nullptr;
    std::vector<log_field> m_extraLogFields;
    instant m_startedAt;
    instant m_deadline;
    std::shared_ptr<shared_state> m_shared;
    boost::asio::steady_timer m_timer;
};

/// Sets the endpoint of @p call to the address of @p run. @p timeout bounds the whole call, and progress and connecting as well.
net::http_call prepareCall(const relay_state &state, const registration &run, net::http_call call, std::chrono::milliseconds timeout);
/// As above, for the `IP:port` @p address.
net::http_call prepareCall(const relay_state &state, const std::string &address, net::http_call call, std::chrono::milliseconds timeout);

} // namespace heatherroute::node
