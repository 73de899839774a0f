#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "heatherroute/last_reason.h"

#include <optional>

namespace heatherroute::bench
{

/// A fault that is injected into the fleet while changes are published.
enum class control_fault {
    None,
    LogSlow, ///< The log delays its responses during the whole measurement.
    LogLostByQuarter, ///< A quarter of the entries can't reach the log for half of the measurement.
    Frozen, ///< A tenth of the entries, at least one, is paused with SIGSTOP for half of the measurement.
};

/// Parameters of one measurement.
struct control_case
{
    std::string name;
    std::size_t entries = 8;
    std::size_t upstreams = 13;
    std::size_t changes = 40;
    double rate = 4; ///< Changes per second.
    std::size_t idleSeconds = 10; ///< Length of the measurement when `changes` is 0.
    control_fault fault = control_fault::None;
};

/**
 * Results of one measurement.
 *
 * The latency of a change is the time until it is in force on the last entry. It counts from the sending of the append, or, for
 * an entry that was paused then, from the time when that entry is resumed. Names with `Worst` are maxima over the entries.
 */
struct control_result
{
    double p50Ms = 0; ///< Median latency of the changes.
    double p99Ms = 0;
    double worstMs = 0; ///< Maximum latency of the changes.
    std::size_t published = 0; ///< Changes that the log accepted.
    std::size_t missing = 0; ///< Pairs of change and entry for which the entry logged no decision.
    std::size_t rejected = 0; ///< Pairs of change and entry for which the entry rejected the change.
    bool agreed = false; ///< All entries ended at the same log offset with the same digest.
    double cpuPercentMean = 0; ///< Percent of one core, mean over the entries.
    double cpuPercentWorst = 0;
    double residentMbWorst = 0;
    double anonymousMbWorst = 0;
    double logBytesPerEntryS = 0; ///< TCP payload between entry and platform, in both directions, per entry and second.
    double logConnectionsPerEntryS = 0;
    double peerBytesPerEntryS = 0; ///< Growth of the metrics whose names contain "peer" and "bytes", per entry and second.
    double platformCpuPercent = 0;
    double seconds = 0;
};

/// Runs @p benchCase with the programs in @p programs. Returns nullopt and sets @p reason when the temporary directory can't be
/// created, or when a process doesn't start and listen.
std::optional<control_result> runControl(const control_case &benchCase, const std::string &programs, last_reason *reason);

} // namespace heatherroute::bench
