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

/// How a log line is written.
enum class log_format {
    KeyValue, ///< `key=value` pairs.
    Json, ///< One JSON object.
};

/// Where log lines go.
enum class log_output {
    StandardError,
    StandardOutput,
};

/// Local addresses as `IP:port`; port 0 lets the kernel choose one.
struct listen_settings
{
    std::string callers;
    std::string operators;
    std::string peers; ///< Both UDP and TCP.
    std::optional<std::string> readiness; ///< Where the platform asks whether the entry takes callers.
    std::optional<std::string> directory; ///< Where callers ask which entries to use.

    bool operator==(const listen_settings &) const = default;
};

/// Addresses given to others where they differ from the local ones; empty means the local one.
struct advertise_settings
{
    std::optional<std::string> callers;
    std::optional<std::string> peers;

    bool operator==(const advertise_settings &) const = default;
};

/// Where the platform's services are.
struct platform_settings
{
    std::string log;
    std::string vms;
    std::string configStream;

    bool operator==(const platform_settings &) const = default;
};

/// Bounds on what callers may send and hold.
struct limit_settings
{
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxHeaderBytes = 0;
    std::uint32_t maxRequests = 0;
    std::uint32_t maxRequestsPerConnection = 0;
    std::uint64_t maxBufferedBytesPerStream = 0;
    std::chrono::milliseconds headerTimeout{};
    std::chrono::milliseconds bodyTimeout{};
    std::chrono::milliseconds idleTimeout{};

    bool operator==(const limit_settings &) const = default;
};

/// The latency that placement aims at.
struct target_settings
{
    std::chrono::milliseconds firstToken{};
    std::chrono::milliseconds tokenInterval{};

    bool operator==(const target_settings &) const = default;
};

/// What the entry logs.
struct log_settings
{
    log_level level = log_level::Info; ///< The least severity of the lines written.
    log_format format = log_format::KeyValue;
    log_output output = log_output::StandardError;

    bool operator==(const log_settings &) const = default;
};

/// How entries notice that another one has died.
struct membership_timing
{
    std::chrono::milliseconds probeInterval{};
    std::chrono::milliseconds probeTimeout{};
    std::uint32_t indirectProbes = 0;
    std::chrono::milliseconds suspicionTimeout{};

    bool operator==(const membership_timing &) const = default;
};

/// How requests are relayed on a platform with a store of its own.
struct relay_settings
{
    double retryShare = 0; ///< Repeats per request of a service within the window.
    double retrySlack = 0; ///< Repeats of the whole fleet beside that within the window.
    double retryWindowS = 0;
    double stopGraceS = 0; ///< From the signal to stop until the platform ends the process.
    double leaseMs = 0; ///< How long the right to give orders lasts without renewal.
    double thawMs = 0; ///< How long orders may still arrive after their sender woke up.

    bool operator==(const relay_settings &) const = default;
};

/// How the entry follows the configuration stream.
struct config_settings
{
    std::chrono::milliseconds pollWait{};
    std::chrono::milliseconds cutOffAfter{};

    bool operator==(const config_settings &) const = default;
};

namespace detail
{

/// The values of `entry_settings` while they are read.
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
 * An entry keeps nothing between runs, so this file and the platform's log are all that it starts from. The value never
 * changes after `make`; it may be read from any thread. docs/SETTINGS.md describes each key.
 */
class entry_settings
{
public:
    /**
     * Reads settings from the YAML @p text.
     *
     * Returns an empty optional when anything is wrong, and appends every fault found to @p problems, ordered by line,
     * with @p fileName as their file; @p problems may be null. Thread safe.
     */
    static std::optional<entry_settings> make(std::string_view text, const std::string &fileName, std::vector<settings_problem> *problems);

    /// The unique name of the entry. Thread safe, as are all readers below.
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
    /// Where the entry listens.
    const listen_settings &listen() const noexcept
    {
        return m_values.listen;
    }
    /// What the entry tells others about where it listens.
    const advertise_settings &advertise() const noexcept
    {
        return m_values.advertise;
    }
    /// Where the platform's services are.
    const platform_settings &platform() const noexcept
    {
        return m_values.platform;
    }
    /// Addresses of peers that are asked first, as `IP:port`.
    const std::vector<std::string> &seeds() const noexcept
    {
        return m_values.seeds;
    }
    /// Bounds on what callers may send and hold.
    const limit_settings &limits() const noexcept
    {
        return m_values.limits;
    }
    /// The latency that placement aims at.
    const target_settings &targets() const noexcept
    {
        return m_values.targets;
    }
    /// How long a caller may keep the answer of `GET /v1/entry`.
    std::chrono::seconds entryAnswerLifetime() const noexcept
    {
        return m_values.entryAnswerLifetime;
    }
    /// How long a planned stop waits for requests in flight.
    std::chrono::seconds stopLimit() const noexcept
    {
        return m_values.stopLimit;
    }
    /// What the entry logs.
    const log_settings &log() const noexcept
    {
        return m_values.log;
    }
    /// How upstreams are chosen.
    placement_kind placement() const noexcept
    {
        return m_values.placement;
    }
    /// How entries notice that another one has died.
    const membership_timing &membership() const noexcept
    {
        return m_values.membership;
    }
    /// How the entry follows the configuration stream.
    const config_settings &config() const noexcept
    {
        return m_values.config;
    }
    /// How requests are relayed on a platform with a store of its own.
    const relay_settings &relay() const noexcept
    {
        return m_values.relay;
    }
    /// The seed of the entry's random choices; empty means that it is taken from the system.
    std::optional<std::uint64_t> seed() const noexcept
    {
        return m_values.seed;
    }

    bool operator==(const entry_settings &) const = default;

private:
    explicit entry_settings(detail::entry_values values);

    detail::entry_values m_values;
};

/// docs/SETTINGS.md as it should read: every key with its type, range, default and unit. Thread safe.
std::string settingsDocument();

/// The name used in settings, logs and dumps. Thread safe.
std::string_view toString(log_format value) noexcept;

} // namespace heatherroute
