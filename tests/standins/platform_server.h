#pragma once

#include "standins/platform_model.h"
#include "standins/standin_server.h"

#include <string>

namespace heatherroute::standins
{

/// What the platform server adds to its models.
struct platform_options
{
    std::chrono::milliseconds vmLag{500};
    double weightsMbps = 100; ///< Megabits a second for each download.
    std::size_t weightsBytes = 1U << 20U; ///< Size of every model's weights.
};

/// The fault switches of the platform, as `POST /fault` sets them.
struct platform_faults
{
    bool outage = false; ///< The log answers 503.
    bool silentOutage = false; ///< The log never answers.
    bool vmOutage = false; ///< The VM list answers 503.
    std::chrono::milliseconds slow{0}; ///< Each call to the log takes so much longer.
    std::uint64_t loseEvery = 0; ///< Every n-th append takes effect, but its connection closes without an answer.
    std::uint64_t loseNext = 0; ///< So do the next so many.
};

/**
 * Serves the log, the VM list and the weight store over their models.
 *
 * Single-threaded on its io_context.
 */
class platform_server
{
public:
    platform_server(net::io_context &context, standin_server &server, const log_settings &log, const platform_options &options);

private:
    net::awaitable<void> append(const standin_request &request, standin_connection &connection);
    net::awaitable<void> read(const standin_request &request, standin_connection &connection);
    net::awaitable<bool> logWorks(standin_connection &connection);
    net::awaitable<void> weights(const standin_request &request, standin_connection &connection);
    net::awaitable<void> listVms(const standin_request &request, standin_connection &connection);
    net::awaitable<void> setVms(const standin_request &request, standin_connection &connection);
    net::awaitable<void> truncate(const standin_request &request, standin_connection &connection);
    bool losesAnswer();
    json::object records();
    void setFaults(const json::value &body);

    log_settings m_settings;
    platform_options m_options;
    platform_faults m_faults;
    log_model m_log;
    lagging_value<json::array> m_vms;
    notifier m_changed;
    std::uint64_t m_appends = 0;
    std::uint64_t m_limited = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_reads = 0;
};

} // namespace heatherroute::standins
