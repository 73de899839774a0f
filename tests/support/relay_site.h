#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "standins/site_store.h"
#include "standins/site_upstream.h"
#include "support/fault_proxy.h"
#include "support/process.h"

namespace heatherroute::support
{

/// Size and options of a relay_site.
struct relay_site_settings
{
    std::string program; ///< The path of `heatherrouted`.
    std::size_t entries = 3;
    std::size_t prefillEngines = 1;
    std::size_t decodeEngines = 2;
    std::size_t services = 2;
    std::chrono::milliseconds upstreamDownTime{1'200}; ///< Time from the crash of an upstream until its restart.
    std::vector<std::string> decodeVersions = {"v1"}; ///< Software versions of the decode engines, in turn.
    std::chrono::milliseconds eventInterval{10}; ///< Between the events of a stream.
    bool hasResumableStreams = false; ///< The configuration says that callers may take up streams.
    double stopGraceS = 8; ///< The entries' relay.stop_grace_s: time from the stop signal until the process must have ended.
    std::uint64_t storeEra = 0; ///< The era that the store sends at first; 0 for a store that sends none.
    bool hasOwnLinks = false; ///< Each entry reaches the upstreams at a loopback address of its own, see cutFromUpstreams(). At most 9 entries.
    std::uint32_t sharedPlacementEntries = 0; ///< The entries' relay.shared_placement_entries.
    double revokeMs = 0; ///< The entries' relay.revoke_ms: time after which a removed API key must not be served; 0 without a bound.
    std::string teams; ///< The list of teams in the configuration, as JSON; empty for a configuration without one.
    std::string furtherSettings; ///< Further lines of the entries' settings files (YAML).
    bool discardStandardError = true; ///< Discards the standard error of the entries. Their log goes to standard output and is always kept.
};

/// A caller's request.
struct caller_request
{
    std::string path;
    std::chrono::milliseconds timeLeft{}; ///< The request's deadline, relative to now.
    std::chrono::milliseconds readPause{}; ///< Pause of the caller after each piece of the body that it reads.
    std::string promptParts = "ab:500"; ///< Of a stream: all parts of its prompt, the last of them its own.
    std::string resumes; ///< Id of the request that brought the first event of the stream that is taken up; empty for a new one.
    std::uint32_t lastEvent = 0; ///< The last event of that stream that the caller has.
    std::string key; ///< The caller's API key; none if empty.
    std::string claimedTeam; ///< What the caller itself names as its team; nothing if empty.
    std::uint32_t maxOutputTokens = 800; ///< Of a stream, as the caller declares it.
};

/// The result of a caller's request.
struct caller_result
{
    std::string id;
    std::string path;
    unsigned status = 0; ///< 0 when the connection ended without a complete answer.
    bool isComplete = false; ///< Whether the answer is complete.
    std::uint32_t lastEvent = 0; ///< Of a stream: the last complete event that arrived.
    std::string refusal; ///< The reason in an answer of the router that refuses the request.
    std::string fault; ///< Which guarantee the answer, or its absence, violates; empty when it violates none.
};

/// The host of the requests that a relay_site routes.
inline constexpr const char *kSiteHost = "site.example";
/// Paths of the requests that a relay_site routes: an idempotent lookup, a non-idempotent booking and a stream.
inline constexpr const char *kLookupPath = "/look/1";
inline constexpr const char *kBookingPath = "/book/1";
inline constexpr const char *kStreamPath = "/gen/1";
/// Path of a non-idempotent request that needs no API key.
inline constexpr const char *kPublicPath = "/open/1";
/// Paths of the same kinds whose requests crash each upstream that runs them.
inline constexpr const char *kPoisonPaths[] = {"/look/poison", "/book/poison", "/gen/poison"};

/**
 * A small site for tests and the soak: a stand-in store and upstreams in this process, and each entry in a process of its own.
 *
 * Each entry connects to the store through its own proxy. Not thread safe: use it on the thread that runs the io_context.
 */
class relay_site
{
public:
    /// Starts the store, the upstreams and the entries. On failure returns null and sets @p reason.
    static std::unique_ptr<relay_site> make(boost::asio::io_context &context, relay_site_settings settings, last_reason *reason);
    ~relay_site();
    relay_site(const relay_site &) = delete;
    relay_site &operator=(const relay_site &) = delete;

    /// Waits until every entry is ready. Returns false when an entry has ended or the wait exceeds @p limit.
    boost::asio::awaitable<bool> waitUntilReady(std::chrono::milliseconds limit);
    /// Why the last waitUntilReady() failed, with the end of that entry's log.
    const std::string &unreadyReason() const noexcept
    {
        return m_unready;
    }
    /// Whether entry @p index answers its readiness check with success.
    boost::asio::awaitable<bool> isReady(std::size_t index);
    /// Sends @p request to entry @p index and checks the answer.
    boost::asio::awaitable<caller_result> call(std::size_t index, caller_request request);
    /// As above, for a request without further options.
    boost::asio::awaitable<caller_result> call(std::size_t index, std::string path, std::chrono::milliseconds timeLeft);
    /// Sends a request without a body to entry @p index from a loopback address of caller @p caller, and waits until its connection ends. The
    /// answer isn't checked.
    boost::asio::awaitable<void> sendFrom(std::size_t caller, std::size_t index, std::string path, std::chrono::milliseconds timeLeft);
    /// The name of entry @p index among the entries.
    static std::string entryName(std::size_t index)
    {
        return "entry-" + std::to_string(index);
    }
    /// Publishes a configuration with the next version, which routes `/look/` if @p lookups is set.
    void publish(bool lookups);
    /// Publishes a configuration with the next version, whose list of teams is @p teams, as JSON; without one if it is empty.
    void publishTeams(std::string teams);
    /// The logs of all processes of entry @p index so far.
    std::string logOf(std::size_t index) const;
    /// Restarts entry @p index. Precondition: its process has ended.
    bool restart(std::size_t index, last_reason *reason);

    child_process &entry(std::size_t index)
    {
        return *m_entries.at(index).process;
    }
    /// The endpoint at which entry @p index serves callers.
    boost::asio::ip::tcp::endpoint callerEndpoint(std::size_t index) const;
    /// The endpoint at which entry @p index serves operators.
    boost::asio::ip::tcp::endpoint operatorsEndpoint(std::size_t index) const;
    /// Drops all that entry @p index sends to upstreams, or doesn't any more. Connections hang; answers that were sent before still arrive. With
    /// @p resetsOpen, open connections are reset. Precondition: hasOwnLinks is set.
    void cutFromUpstreams(std::size_t index, bool isCut, bool resetsOpen = false);
    /// As above, for the links to the upstream @p upstream only.
    void cutFromUpstream(std::size_t index, std::size_t upstream, bool isCut);
    fault_proxy &storeProxy(std::size_t index)
    {
        return *m_entries.at(index).proxy;
    }
    boost::asio::any_io_executor executor() const
    {
        return m_context.get_executor();
    }
    std::size_t entryCount() const noexcept
    {
        return m_entries.size();
    }
    standins::site_store &store()
    {
        return *m_store;
    }
    const std::vector<std::unique_ptr<standins::site_upstream>> &upstreams() const
    {
        return m_upstreams;
    }
    /// The number of times that upstreams executed request @p id.
    int runCountOf(const std::string &id) const;
    /// What all upstreams have seen.
    const standins::upstream_log &upstreamLog() const noexcept
    {
        return m_log;
    }

private:
    struct running_entry
    {
        std::unique_ptr<child_process> process;
        std::unique_ptr<fault_proxy> proxy;
        std::string settingsFile;
        std::string earlierLog; ///< Of the processes before the current one.
        std::map<std::string, std::uint16_t> ports; ///< Ports by the name of the listen setting.
    };

    relay_site(boost::asio::io_context &context, relay_site_settings settings);
    bool start(last_reason *reason);
    bool startStore(last_reason *reason);
    bool addUpstream(const std::string &service, const std::string &phase, const std::string &version, last_reason *reason);
    bool addEntry(std::size_t index, last_reason *reason);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    relay_site_settings m_settings;
    standins::upstream_log m_log;
    std::unique_ptr<standins::site_store> m_store;
    std::unique_ptr<net::http_server> m_storeServer;
    std::vector<std::unique_ptr<standins::site_upstream>> m_upstreams;
    std::vector<running_entry> m_entries;
    std::set<std::uint16_t> m_ports; ///< Ports of all entries. They are remembered because none is bound yet when the next one is chosen.
    std::string m_folder;
    std::string m_unready;
    std::mt19937 m_random{
        std::random_device{}()}; ///< Chooses ports. Its seed differs between runs, because concurrent runs on a machine must use different ports.
    std::uint64_t m_version = 0;
    std::uint64_t m_requests = 0;
};

} // namespace heatherroute::support
