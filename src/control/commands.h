#pragma once

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "control/config_reader.h"
#include "heatherroute/inventory.h"

namespace heatherroute::control
{

/// Exit codes of heatherctl.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitUsage = 1;
inline constexpr int kExitInvalidFile = 2; ///< A file has problems.
inline constexpr int kExitRejected = 3; ///< The change was rejected: another publication came first, or the change is invalid.
inline constexpr int kExitUnreachable = 4; ///< The log service or an entry did not respond in time, or returned an error.

/// The arguments of `heatherctl publish`.
struct publish_options
{
    stream_location location;
    inventory wanted; ///< Everything that the half should have.
    std::string half;
    std::string operatorName;
    std::string publishId; ///< Makes retries idempotent: publications with the same id take effect once.
    std::vector<std::string> entries; ///< The operators' addresses (`IP:port`) of the entries to wait for.
    /// Maximum time to wait for the decision, and maximum time from the start of the publication until it is in force on the entries.
    std::chrono::milliseconds limit{30'000};
};

/// Publishes the inventory and prints the offset and the decision, then waits until the change is in force on each entry and prints how long
/// that took. Returns an exit code, as do all functions below.
int publish(const publish_options &order, std::ostream &out);

/// Prints a table with one line per entry: its configuration revision, the age of its configuration, and its requests in flight.
int printStatus(const std::vector<std::string> &entries, std::ostream &out);

/// The output format of a state dump.
enum class dump_format {
    Json, ///< One line per entry.
    Text, ///< Human-readable text.
};

/// Prints the state dump of each entry.
int printDump(const std::vector<std::string> &entries, dump_format format, std::ostream &out);

/// Requests a graceful shutdown of each entry and prints the responses.
int drain(const std::vector<std::string> &entries, std::ostream &out);

/// Prints which entry owns upstream @p name, according to each entry.
int printOwner(const std::vector<std::string> &entries, const std::string &name, std::ostream &out);

} // namespace heatherroute::control
