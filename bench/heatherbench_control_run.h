#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "heatherroute/last_reason.h"

#include <optional>

namespace heatherroute::bench
{

/// What is done to the fleet while changes are published.
enum class control_trouble {
    None,
    LogSlow, ///< The log answers late.
    LogLostByPart, ///< A quarter of the entries loses the log for half of the time.
    Frozen, ///< A tenth of the entries, at least one, stands still for half of the time.
};

/// One measurement.
struct control_case
{
    std::string name;
    std::size_t entries = 8;
    std::size_t upstreams = 13;
    std::size_t changes = 40;
    double rate = 4; ///< Changes a second.
    std::size_t idleSeconds = 10; ///< Length of the measurement without changes.
    control_trouble trouble = control_trouble::None;
};

/// What one measurement found. Times are from sending the append, or from resuming for an entry that stood still.
struct control_result
{
    double p50Ms = 0; ///< Until in force on the last entry.
    double p99Ms = 0;
    double worstMs = 0;
    std::size_t published = 0; ///< Changes that the log took.
    std::size_t missing = 0; ///< Pairs of change and entry that were not seen to come into force.
    std::size_t rejected = 0; ///< Pairs of change and entry that were decided on and not accepted.
    bool agreed = false; ///< All entries ended at the same position with the same digest.
    double cpuPercentMean = 0; ///< Of a core, per entry.
    double cpuPercentWorst = 0;
    double residentMbWorst = 0;
    double anonymousMbWorst = 0;
    double logBytesPerEntryS = 0; ///< Carried by TCP between entry and platform, both ways, without headers.
    double logConnectionsPerEntryS = 0;
    double peerBytesPerEntryS = 0; ///< Summed from the entries' metrics that name bytes between peers.
    double platformCpuPercent = 0;
    double seconds = 0;
};

/// Runs @p wanted with the programs in @p programs. Empty on failure to start.
std::optional<control_result> runControl(const control_case &wanted, const std::string &programs, last_reason *reason);

} // namespace heatherroute::bench
