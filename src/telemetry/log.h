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
 * The log belongs to the whole process, as standard error does, so these are functions and not a type. No file is ever
 * written: VMs keep nothing. Writing waits while standard error can't take the line, so a thread that must not wait hands its
 * lines to one that may.
 */

/// Sets format and level. Call once, before other threads start.
void configureLogging(const log_settings &settings);

/// Changes the least severity that is written. Thread safe.
void setLogLevel(log_level level) noexcept;

/// The least severity that is written. Thread safe.
log_level currentLogLevel() noexcept;

/// Writes @p line when its severity is high enough. Thread safe.
void writeLog(const log_line &line);

/// The number of lines of @p level written so far. Thread safe.
std::uint64_t writtenLogLines(log_level level) noexcept;

/// @p line as one line of text without its end; @p time becomes the field `time`, in UTC. Thread safe.
std::string formatLogLine(const log_line &line, log_format format, std::chrono::system_clock::time_point time);

} // namespace heatherroute
