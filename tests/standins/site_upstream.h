#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "standins/site_store.h"

namespace heatherroute::standins
{

/// The configuration of a stand-in upstream.
struct site_upstream_settings
{
    std::string id;
    std::string service;
    std::string phase; ///< Empty for a plain service.
    std::uint32_t memoryTokens = 60'000; ///< Total number of tokens that reservations can hold at the same time.
    std::chrono::milliseconds workTime{5}; ///< Duration of a plain request.
    std::chrono::milliseconds eventInterval{10}; ///< Interval between the events of a stream.
    std::uint32_t events = 12; ///< Number of events in a stream.
    std::string version = "v1"; ///< Of its software.
    std::chrono::milliseconds downTime{1'200}; ///< Time from a crash until a new instance with a new id listens at the same address.
    /// Further loopback addresses to listen on, with the same port, so that each entry can have a link of its own. After a silent crash they
    /// refuse connections.
    std::vector<std::string> linkHosts = {};
    std::string sharedHost = "127.0.0.1"; ///< The host in the registration. Callers with links of their own replace it by their link host.
};

/// A request whose target has this text crashes each upstream that begins to run it.
inline constexpr const char *kPoisonMarker = "poison";
/// A stream with a part of its prompt, other than the last, whose id begins with this crashes each engine that begins to write its answer.
inline constexpr const char *kPoisonPartPrefix = "bad";
constexpr std::uint32_t kEventsBeforeCrash = 2; ///< That such a stream still gets.

/// The fault switches of a stand-in upstream.
struct upstream_faults
{
    bool hang = false; ///< Plain requests and decodes are executed, but not answered while this is set; prefills wait before their execution.
    bool loseAnswers = false; ///< Executes plain requests and closes the connection without an answer.
    bool fail = false; ///< Executes plain requests and answers them with 500.
    bool failEarly = false; ///< Answers plain requests and decodes with 500 before they begin to run.
    bool toleratesPoison = false; ///< Executes requests that crash other upstreams like any other.
    bool refuse = false; ///< Answers all calls to this instance, except health checks, with 503 without executing them.
    bool refuseDecodes = false; ///< Answers decodes with 503 without executing them; reservations still succeed, as on an engine that is
                                ///< switching its phase.
    bool mismatchedAnswers = false; ///< Answers with the id of another request.
    bool endlessAnswers = false; ///< Answers all calls but health checks with a body that doesn't end while this is set.
    bool longHeads = false; ///< Answers all calls but health checks with a header that is longer than any reader accepts.
    bool withholdReports = false; ///< Doesn't write to the store.
    bool breakStreams = false; ///< Aborts the connection in the middle of a stream.
    bool cutStreams = false; ///< Ends the body of a stream in order, but in the middle of an event.
    bool breakAnswers = false; ///< Aborts the connection in the middle of the answer to a plain request.
    bool cutCallAnswers = false; ///< Ends the bodies of answers to calls of the router itself in order, but in the middle.
    bool silentCrashes = false; ///< After a crash, open connections stay open, and new ones aren't answered, until the next instance starts.
    bool unframed = false; ///< The bodies of all answers have neither a length nor chunks and end with their connection.
    bool leaving = false; ///< All answers say that this upstream leaves, whatever it has registered.
    std::string pause; ///< What refusals with 503 name as the seconds to wait, whether it is a number or not; nothing if empty. Set with refuse.
    bool earlierRefusals = false; ///< Executes plain requests and decodes, but answers them with a refusal of another request.

    bool operator==(const upstream_faults &) const = default;
};

/// A request that arrived at an upstream, whether it was executed or rejected. Reservations, reports and orders don't count.
struct upstream_arrival
{
    std::chrono::steady_clock::time_point at;
    std::string service;
    std::string id; ///< Of the request.
    std::string target;
    bool isPrefill = false; ///< Only the prompt was to be computed.
    std::string poisonPart = {}; ///< The part of its prompt that crashes engines, if there is one.
    std::string instance = {}; ///< Id of the upstream.
    std::string key = {}; ///< The caller's API key, if it came with the request.
    std::vector<std::string> teams = {}; ///< What the request names as its caller's team; each field, if there are several.
};

/// A call of any kind, health checks included, that arrived at an upstream while it named a limit.
struct limited_call
{
    std::chrono::steady_clock::time_point at;
    std::string instance; ///< Id of the upstream.
    std::string id; ///< Of the caller's request; empty for a call of the router itself.
    double perSecond = 0.0; ///< The limit that the upstream named.
};

/// A request or call of any kind, health checks included, that arrived at an upstream.
struct upstream_call
{
    std::chrono::steady_clock::time_point at;
    std::string instance; ///< Id of the upstream.
    std::string target;
};

/// What an upstream has said of itself in its answer to a caller's request.
struct upstream_statement
{
    std::chrono::steady_clock::time_point at;
    std::string instance; ///< Id of the upstream.
    std::string id; ///< Of the request.
    bool isLeaving = false;
    std::chrono::duration<double> pause{}; ///< For how long it wants no request; 0 for none.
};

/// An upstream's crash under a request.
struct upstream_crash
{
    std::chrono::steady_clock::time_point at;
    std::string target; ///< Of the request.
    std::string poisonPart = {}; ///< The part of its prompt by which it crashed the engine; empty if its target was the reason.
    std::set<std::string> poisonPartsInFlight = {}; ///< Of all requests that were in progress, which may be more than the one that came first.
};

/// An order to change its phase that an engine has accepted.
struct accepted_order
{
    std::string engine; ///< Id of the instance.
    std::string holder;
    std::uint64_t fencingToken = 0;
};

/// What all upstreams of a site have seen.
struct upstream_log
{
    std::vector<accepted_order> orders; ///< In order.
    std::map<std::string, int> runs; ///< The number of executions by request id.
    std::vector<upstream_arrival> arrivals; ///< In order.
    std::vector<upstream_call> calls; ///< In order.
    std::vector<upstream_statement> statements; ///< In order.
    std::vector<upstream_crash> crashes; ///< In order.
    std::vector<limited_call> limitedCalls; ///< In order.
    /// The software versions of the engines that wrote events of a stream, by the id of the attempt that began it.
    std::map<std::string, std::set<std::string>> streamVersions;
};

/**
 * A stand-in for one upstream of the platform, a plain service or an engine, that registers itself in the stand-in store.
 *
 * Not thread safe; runs on the thread of its io_context.
 */
class site_upstream
{
public:
    /// Listens on loopback and starts to register itself periodically. Null with @p reason set on failure.
    static std::unique_ptr<site_upstream>
    make(boost::asio::io_context &context, site_upstream_settings settings, site_store &store, upstream_log &log, last_reason *reason);

    void setFaults(const upstream_faults &faults);
    /// Sets the number of events of the streams that begin from now on.
    void setEvents(std::uint32_t events)
    {
        m_settings.events = events;
    }
    /// Sets what all answers name as the requests a second that the upstream takes, whether it is a number or not; none if empty. A crash ends it.
    void setLimit(std::string text);
    /// Registers itself as draining, but continues to serve requests.
    void drain();
    /// The number of executions that started more than @p slack after drain().
    int runsAfterDrain(std::chrono::milliseconds slack) const;
    /// The number of prompts that were computed for decode engines.
    std::uint64_t prefills() const noexcept
    {
        return m_prefills;
    }
    const std::string &id() const noexcept
    {
        return m_settings.id;
    }
    /// Closes all connections and the port. A new instance follows after the down time.
    void crash();
    /// Like crash(), but no connection is closed, and the port doesn't answer.
    void crashSilently();
    /// The port that it listens on, at all its addresses.
    std::uint16_t port() const noexcept
    {
        return m_endpoint.port();
    }
    /// The version of its software.
    const std::string &version() const noexcept
    {
        return m_settings.version;
    }
    /// Whether it is an engine in @p phase that takes work: it has been up for long enough that all entries know it, isn't draining, and has
    /// neither a fault nor a limit.
    bool isServing(const std::string &phase) const;
    /// Like crash(), but the new instance runs another version of the software, and has the same id if @p keepsId is set.
    void release(std::string version, bool keepsId);

private:
    site_upstream(boost::asio::io_context &context, site_upstream_settings settings, site_store &store, upstream_log &log);
    bool listen(const boost::asio::ip::tcp::endpoint &endpoint, last_reason *reason);
    void closePorts();
    void restart();
    void abortAll();
    void restartLater();
    void report();
    /// Whether @p request crashes this upstream, which it does when it begins to run.
    bool crashesOn(const net::http_request &request);
    void crashUnder(const net::http_request &request, std::string poisonPart);
    boost::asio::awaitable<void> serve(net::http_request request, net::http_responder &responder);
    boost::asio::awaitable<void> dispatch(const net::http_request &request, net::http_responder &responder);
    boost::asio::awaitable<void> sendEndlessBody(const net::http_request &request, net::http_responder &responder);
    /// How the body of an answer ends.
    enum class body_end : std::uint8_t {
        Whole,
        Cut, ///< In order, but in the middle.
        Aborted, ///< In the middle, by abort().
    };
    boost::asio::awaitable<void> sendAnswer(net::http_answer answer, net::http_responder &responder, body_end end);
    net::body_framing streamFraming() const;
    boost::asio::awaitable<void> servePlain(const net::http_request &request, net::http_responder &responder);
    boost::asio::awaitable<void> serveStream(const net::http_request &request, net::http_responder &responder);
    net::http_answer reserve(const net::http_request &request);
    net::http_answer prefill(const net::http_request &request);
    net::http_answer order(const net::http_request &request);
    net::http_answer makeAnswer(const net::http_request &request, unsigned status) const;
    void recordArrival(const net::http_request &request);
    void recordStatement(const net::http_request &request);
    /// Adds what all answers of this upstream name.
    void describeItself(net::http_answer &answer) const;
    net::http_answer makeEarlierRefusal() const;
    void recordRun(const net::http_request &request);
    /// Waits until the crash of this upstream shows, if it was a silent one.
    boost::asio::awaitable<void> waitWhileSilent(net::http_responder &responder);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    site_upstream_settings m_settings;
    site_store &m_store;
    upstream_log &m_log;
    upstream_faults m_faults;
    std::string m_limit;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_restartTimer;
    std::unique_ptr<net::http_server> m_server;
    std::vector<std::unique_ptr<net::http_server>> m_linkServers; ///< At the link hosts.
    bool m_isSilent = false;
    std::optional<std::string> m_nextVersion; ///< Of the instance that follows release().
    bool m_keepsId = false;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_fullPort; ///< Its queue is full, so the kernel drops attempts to connect.
    std::unique_ptr<boost::asio::ip::tcp::socket> m_filler; ///< The connection that fills it.
    std::uint64_t m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_highestToken = 0; ///< Of all orders that arrived at this instance.
    std::uint64_t m_prefills = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_restarts = 0;
    std::string m_name; ///< The id of the first instance.
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::map<net::http_responder *, std::string> m_open; ///< The requests in progress, with the part that crashes engines, if there is one.
    std::map<std::string, std::uint64_t> m_reservations;
    std::set<std::string> m_handles;
    std::optional<std::chrono::steady_clock::time_point> m_drainedAt;
    std::multiset<std::chrono::milliseconds> m_runsAfterDrain;
};

} // namespace heatherroute::standins
