#pragma once

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "control/config_reader.h"
#include "heatherroute/inventory.h"

namespace heatherroute::control
{

/// Exit codes of the operators' tool.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitUsage = 1;
inline constexpr int kExitFaulty = 2; ///< Faults found in a file.
inline constexpr int kExitRejected = 3; ///< Another operator got there first, or the change does not fit.
inline constexpr int kExitUnreachable = 4; ///< Something gave no answer in time, or answered with an error.

/// What `heatherctl publish` is asked to do.
struct publish_order
{
    stream_location location;
    inventory wanted;
    std::string half;
    std::string operatorName;
    std::string publishId; ///< The same id may be published again; it takes effect once.
    std::vector<std::string> entries; ///< Operators' addresses of the entries to wait for, `IP:port`.
    std::chrono::milliseconds limit{30'000}; ///< Longest wait for the decision and for the entries.
};

/// Publishes, prints the offset and the decision, then waits until it is in force on each entry and prints how long that took.
int publish(const publish_order &order, std::ostream &out);

/// Prints a line for each entry: its revision, age of what it knows, requests in flight.
int printStatus(const std::vector<std::string> &entries, std::ostream &out);

/// How a state dump is printed.
enum class dump_format {
    Json, ///< One line per entry.
    Text, ///< To read.
};

/// Prints the state dump of each entry.
int printDump(const std::vector<std::string> &entries, dump_format format, std::ostream &out);

/// Asks each entry for a graceful shutdown.
int drain(const std::vector<std::string> &entries, std::ostream &out);

/// Prints who owns upstream @p name, as each entry sees it.
int printOwner(const std::vector<std::string> &entries, const std::string &name, std::ostream &out);

} // namespace heatherroute::control
