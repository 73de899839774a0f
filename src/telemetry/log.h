#pragma once

#include "heatherroute/log_line.h"
#include "heatherroute/settings.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace heatherroute
{

/**
 * Writes log lines to standard error or standard output through easylogging++.
 *
 * The log is shared by the whole process, as standard error is, so the interface consists of functions instead of a class.
 * No log files are written, because VMs have no persistent storage. Writing blocks while the output stream is not writable, so
 * a thread that must not block passes its lines to another thread.
 */

/// Sets the format, the output stream and the level. Call once, before other threads start.
void configureLogging(const log_settings &settings);

/// Sets the minimum severity of the lines that are written. Thread safe.
void setLogLevel(log_level level) noexcept;

/// The minimum severity of the lines that are written. Thread safe.
log_level currentLogLevel() noexcept;

/// Writes @p line unless its severity is below the minimum. Thread safe.
void writeLog(const log_line &line);

/// The number of lines of @p level written so far. Thread safe.
std::uint64_t writtenLogLines(log_level level) noexcept;

/// Formats @p line as a single line of text without a line break; @p time becomes the field `time` in UTC. Thread safe.
std::string formatLogLine(const log_line &line, log_format format, std::chrono::system_clock::time_point time);

} // namespace heatherroute
