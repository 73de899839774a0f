#pragma once

#include "standins/platform_model.h"
#include "standins/standin_server.h"

#include <string>

namespace heatherroute::standins
{

/// Options of the platform that the server implements on top of its models.
struct platform_options
{
    std::chrono::milliseconds vmLag{500}; ///< Age of the VM list that readers see.
    double weightsMbps = 100; ///< Rate of each download in megabits per second.
    std::size_t weightsBytes = 1U << 20U; ///< Size of the weights of each model.
};

/// The fault switches of the platform, set by `POST /fault`.
struct platform_faults
{
    bool outage = false; ///< The log answers 503.
    bool silentOutage = false; ///< The log never answers.
    bool vmOutage = false; ///< The VM list answers 503.
    std::chrono::milliseconds logDelay{0}; ///< Delay of each call to the log; a long poll is delayed again whenever it wakes up.
    std::uint64_t loseEvery = 0; ///< Every n-th append takes effect, but its connection is closed without an answer; zero for none.
    std::uint64_t loseNext = 0; ///< The next n appends take effect, but their connections are closed without an answer.
};

/**
 * Serves the log, the VM list and the weight store of the platform over HTTP.
 *
 * Not thread safe; runs on the single thread of its io_context.
 */
class platform_server
{
public:
    platform_server(net::io_context &context, standin_server &server, const log_settings &log, const platform_options &options);

private:
    net::awaitable<void> append(const standin_request &request, standin_connection &connection);
    net::awaitable<void> read(const standin_request &request, standin_connection &connection);
    /// Applies the delay and the outages of the log. Returns false after it has answered with an error.
    net::awaitable<bool> applyLogFaults(standin_connection &connection);
    net::awaitable<void> weights(const standin_request &request, standin_connection &connection);
    net::awaitable<void> listVms(const standin_request &request, standin_connection &connection);
    net::awaitable<void> setVms(const standin_request &request, standin_connection &connection);
    net::awaitable<void> truncate(const standin_request &request, standin_connection &connection);
    /// Whether the answer to the current append must be lost. Each call counts down loseNext.
    bool shouldLoseAnswer();
    json::object records();
    void setFaults(const json::value &body);

    log_settings m_settings;
    platform_options m_options;
    platform_faults m_faults;
    log_model m_log;
    lagging_value<json::array> m_vms;
    notifier m_changed;
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendsLimited = 0;
    std::uint64_t m_answersLost = 0;
    std::uint64_t m_reads = 0;
};

} // namespace heatherroute::standins
