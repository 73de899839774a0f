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

/// Sizes of a relay_site.
struct relay_site_settings
{
    std::string program; ///< The path of `heatherrouted`.
    std::size_t entries = 3;
    std::size_t prefillEngines = 1;
    std::size_t decodeEngines = 2;
    std::size_t services = 2;
    double stopGraceS = 8; ///< From the signal to stop until an entry cuts what still runs.
    bool quiet = true; ///< Drop the entries' log.
};

/// What one caller's request met.
struct caller_result
{
    std::string id;
    std::string path;
    unsigned status = 0; ///< 0 when the connection ended without a whole answer.
    bool whole = false; ///< The answer is complete and belongs to the request.
    std::string fault; ///< What the answer breaks of the promises; empty when nothing.
};

/// The kinds of request that a relay_site routes.
inline constexpr const char *kLookupPath = "/look/1";
inline constexpr const char *kBookingPath = "/book/1";
inline constexpr const char *kStreamPath = "/gen/1";

/**
 * A small site for tests and the soak: a stand-in store and upstreams in this process, entries as processes of their own.
 *
 * Each entry reaches the store through a proxy of its own. Not thread safe: use it on the thread that runs the io_context.
 */
class relay_site
{
public:
    /// Starts all; null with @p reason set when something can't start.
    static std::unique_ptr<relay_site> make(boost::asio::io_context &context, relay_site_settings settings, last_reason *reason);
    ~relay_site();
    relay_site(const relay_site &) = delete;
    relay_site &operator=(const relay_site &) = delete;

    /// Waits until every entry is ready; false when one ends or it takes longer than @p limit.
    boost::asio::awaitable<bool> waitUntilReady(std::chrono::milliseconds limit);
    /// Why the last waitUntilReady() failed.
    const std::string &unready() const noexcept
    {
        return m_unready;
    }
    /// Whether entry @p index says that it is ready.
    boost::asio::awaitable<bool> isReady(std::size_t index);
    /// Sends a request to entry @p index and judges the answer.
    boost::asio::awaitable<caller_result> call(std::size_t index, std::string path, std::chrono::milliseconds timeLeft);
    /// Publishes a configuration with one more version; @p lookups tells whether `/look/` is routed.
    void publish(bool lookups);
    /// Starts entry @p index again after its end. Precondition: it has ended.
    bool restart(std::size_t index, last_reason *reason);

    child_process &entry(std::size_t index)
    {
        return *m_entries.at(index).process;
    }
    /// Where callers connect to entry @p index.
    boost::asio::ip::tcp::endpoint callerEndpoint(std::size_t index) const;
    fault_proxy &storeProxy(std::size_t index)
    {
        return *m_entries.at(index).proxy;
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
    /// How often the request of that id ran.
    int runsOf(const std::string &id) const;

private:
    struct running_entry
    {
        std::unique_ptr<child_process> process;
        std::unique_ptr<fault_proxy> proxy;
        std::string settingsFile;
        std::map<std::string, std::uint16_t> ports; ///< By the name of the setting.
    };

    relay_site(boost::asio::io_context &context, relay_site_settings settings);
    bool start(last_reason *reason);
    bool startStore(last_reason *reason);
    bool addUpstream(const std::string &service, const std::string &phase, last_reason *reason);
    bool addEntry(std::size_t index, last_reason *reason);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    relay_site_settings m_settings;
    standins::run_counts m_runs;
    std::unique_ptr<standins::site_store> m_store;
    std::unique_ptr<net::http_server> m_storeServer;
    std::vector<std::unique_ptr<standins::site_upstream>> m_upstreams;
    std::vector<running_entry> m_entries;
    std::set<std::uint16_t> m_ports; ///< Of all entries; none is bound yet when the next is drawn.
    std::string m_folder;
    std::string m_unready;
    std::mt19937 m_random{std::random_device{}()}; ///< Of ports; other runs on the machine must get other ones.
    std::uint64_t m_version = 0;
    std::uint64_t m_requests = 0;
};

} // namespace heatherroute::support
