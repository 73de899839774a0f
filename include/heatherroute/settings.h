#pragma once

#include "heatherroute/log_line.h"
#include "heatherroute/placement_kind.h"
#include "heatherroute/settings_problem.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute
{

/// The format of a log line.
enum class log_format {
    KeyValue, ///< `key=value` pairs.
    Json, ///< One JSON object.
};

/// The stream that log lines are written to.
enum class log_output {
    StandardError,
    StandardOutput,
};

/// Local addresses to listen on as `IP:port`; with port 0 the kernel chooses a port.
struct listen_settings
{
    std::string callers;
    std::string operators;
    std::string peers; ///< For both UDP and TCP.
    std::optional<std::string> readiness; ///< Serves the platform's readiness checks.
    std::optional<std::string> directory; ///< Tells callers which entries to use.
    std::optional<std::string> entries; ///< Takes requests that other entries pass on.

    bool operator==(const listen_settings &) const = default;
};

/// Addresses that the entry advertises; when one is empty, the local address is advertised.
struct advertise_settings
{
    std::optional<std::string> callers;
    std::optional<std::string> peers;

    bool operator==(const advertise_settings &) const = default;
};

/// Addresses of the platform's services.
struct platform_settings
{
    std::string log;
    std::string vms;
    std::string configStream; ///< The stream of the log that carries the configuration.

    bool operator==(const platform_settings &) const = default;
};

/// Limits on the requests and connections of callers.
struct limit_settings
{
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxHeaderBytes = 0;
    std::uint32_t maxRequests = 0;
    std::uint32_t maxRequestsPerConnection = 0;
    std::uint64_t maxBufferedBytesPerStream = 0;
    std::optional<std::uint64_t> memoryMb; ///< Memory of the VM; empty for what the system reports.
    std::optional<std::uint64_t> maxDescriptors; ///< That the process may open; empty for what the system reports.
    std::chrono::milliseconds headerTimeout{};
    std::chrono::milliseconds bodyTimeout{};
    std::chrono::milliseconds bodyProgressTimeout{};
    std::chrono::milliseconds idleTimeout{};

    bool operator==(const limit_settings &) const = default;
};

/// Latency targets of placement.
struct target_settings
{
    std::chrono::milliseconds firstToken{};
    std::chrono::milliseconds tokenInterval{};

    bool operator==(const target_settings &) const = default;
};

/// Logging options.
struct log_settings
{
    log_level level = log_level::Info; ///< The minimum severity of the lines that are written.
    log_format format = log_format::KeyValue;
    log_output output = log_output::StandardError;

    bool operator==(const log_settings &) const = default;
};

/// Timing of the failure detection among entries.
struct membership_timing
{
    std::chrono::milliseconds probeInterval{};
    std::chrono::milliseconds probeTimeout{};
    std::uint32_t indirectProbes = 0; ///< The number of entries asked to probe a peer that did not reply.
    std::chrono::milliseconds suspicionTimeout{}; ///< A suspected peer counts as dead after this time.

    bool operator==(const membership_timing &) const = default;
};

/// Options for relaying requests on a platform that provides its own store.
struct relay_settings
{
    double retryShare = 0; ///< Retries allowed per request to a service within the window.
    double retrySlack = 0; ///< Additional retries allowed within the window, over the whole fleet.
    double retryWindowS = 0; ///< The length of the window of the retry budget.
    double stopGraceS = 0; ///< Time from the stop signal until the platform ends the process.
    double leaseMs = 0; ///< Duration of the lease that allows giving orders to engines, unless it is renewed.
    double thawMs = 0; ///< An order may arrive up to this long after its sender resumed from a pause or its link recovered.
    double revokeMs = 0; ///< Time from the store's acknowledgement after which a removed API key must not be served; 0 without a bound.
    double quotaWindowS = 0; ///< The length of the sliding window in which the quotas of teams are judged.
    double quotaOver = 0; ///< Fraction by which a team's use in a window may exceed its quota.
    double quotaSlack = 0; ///< Units by which a team's use in a window may exceed its quota in addition.
    std::uint32_t sharedPlacementEntries = 0; ///< Number of entries from which a coordinator assigns engines; 0 for never.

    bool operator==(const relay_settings &) const = default;
};

/// Options for reading the configuration stream.
struct config_settings
{
    std::chrono::milliseconds pollWait{}; ///< Maximum wait of one read.
    std::chrono::milliseconds cutOffAfter{}; ///< An entry that could not confirm for this long that its configuration is current refuses new work.

    bool operator==(const config_settings &) const = default;
};

namespace detail
{

/// The values of `entry_settings`, filled in while the file is read.
struct entry_values
{
    std::string name;
    std::string half;
    std::string zone;
    std::string region;
    listen_settings listen;
    advertise_settings advertise;
    platform_settings platform;
    std::vector<std::string> seeds;
    limit_settings limits;
    target_settings targets;
    std::chrono::seconds entryAnswerLifetime{};
    std::chrono::seconds stopLimit{};
    log_settings log;
    placement_kind placement = placement_kind::OwnerGrants;
    membership_timing membership;
    config_settings config;
    relay_settings relay;
    std::optional<std::uint64_t> seed;

    bool operator==(const entry_values &) const = default;
};

} // namespace detail

/**
 * The settings of one entry, read from its YAML file.
 *
 * An entry keeps no state between restarts: it starts from this file and the platform's log alone. The value is immutable
 * after `make` and may be read from any thread. docs/SETTINGS.md describes each key.
 */
class entry_settings
{
public:
    /**
     * Reads settings from the YAML @p text.
     *
     * When there is any problem, returns an empty optional and appends all problems found to @p problems, ordered by line
     * and with @p fileName as their file; @p problems may be null. Thread safe.
     */
    static std::optional<entry_settings> make(std::string_view text, const std::string &fileName, std::vector<settings_problem> *problems);

    /// The unique name of the entry. Thread safe, as are all accessors below.
    const std::string &name() const noexcept
    {
        return m_values.name;
    }
    /// The half of the fleet that the entry serves.
    const std::string &half() const noexcept
    {
        return m_values.half;
    }
    /// The availability zone of the entry's VM.
    const std::string &zone() const noexcept
    {
        return m_values.zone;
    }
    /// The region of that availability zone.
    const std::string &region() const noexcept
    {
        return m_values.region;
    }
    /// The addresses that the entry listens on.
    const listen_settings &listen() const noexcept
    {
        return m_values.listen;
    }
    /// The addresses that the entry advertises.
    const advertise_settings &advertise() const noexcept
    {
        return m_values.advertise;
    }
    /// The addresses of the platform's services.
    const platform_settings &platform() const noexcept
    {
        return m_values.platform;
    }
    /// Addresses (`IP:port`) of the peers that the entry contacts first to join the group.
    const std::vector<std::string> &seeds() const noexcept
    {
        return m_values.seeds;
    }
    /// Limits on the requests and connections of callers.
    const limit_settings &limits() const noexcept
    {
        return m_values.limits;
    }
    /// Latency targets of placement.
    const target_settings &targets() const noexcept
    {
        return m_values.targets;
    }
    /// How long a caller may cache the response to `GET /v1/entry`.
    std::chrono::seconds entryAnswerLifetime() const noexcept
    {
        return m_values.entryAnswerLifetime;
    }
    /// How long a graceful shutdown waits for requests in flight.
    std::chrono::seconds stopLimit() const noexcept
    {
        return m_values.stopLimit;
    }
    /// Logging options.
    const log_settings &log() const noexcept
    {
        return m_values.log;
    }
    /// The placement policy, which selects upstreams.
    placement_kind placement() const noexcept
    {
        return m_values.placement;
    }
    /// Timing of the failure detection among entries.
    const membership_timing &membership() const noexcept
    {
        return m_values.membership;
    }
    /// Options for reading the configuration stream.
    const config_settings &config() const noexcept
    {
        return m_values.config;
    }
    /// Options for relaying requests on a platform that provides its own store.
    const relay_settings &relay() const noexcept
    {
        return m_values.relay;
    }
    /// The seed of the entry's random choices; when empty, the system provides one.
    std::optional<std::uint64_t> seed() const noexcept
    {
        return m_values.seed;
    }

    bool operator==(const entry_settings &) const = default;

private:
    explicit entry_settings(detail::entry_values values);

    detail::entry_values m_values;
};

/// The expected content of docs/SETTINGS.md: every key with its type, range, default and unit. Thread safe.
std::string settingsDocument();

/// The name of @p value in settings, logs and dumps. Thread safe.
std::string_view toString(log_format value) noexcept;

} // namespace heatherroute
