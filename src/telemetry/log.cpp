#include "telemetry/log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace heatherroute
{
namespace
{

constexpr const char *kLoggerName = "heatherroute";
constexpr const char *kWriterName = "stream";
constexpr const char *kDefaultWriterName = "DefaultLogDispatchCallback";

std::atomic<log_level> currentLevel = log_level::Info;
std::atomic<log_format> currentFormat = log_format::KeyValue;
std::atomic<std::FILE *> currentOutput = nullptr; ///< Null selects standard error.
std::array<std::atomic<std::uint64_t>, 4> writtenLines{}; ///< By level.

/// Replaces the default writer of easylogging++, which writes to standard output and to files.
class stream_writer : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        // Each line is written with one call, so that lines of several threads do not interleave, and flushed, so that none stays in a buffer.
        const std::string text = data->logMessage()->message() + '\n';
        std::FILE *const chosen = currentOutput;
        std::FILE *const output = chosen == nullptr ? stderr : chosen;
        std::fwrite(text.data(), 1, text.size(), output);
        std::fflush(output);
    }
};

// writeLog() filters by level before it calls easylogging++, so all levels are enabled in the library.
void configureLibrary()
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::setDefaultConfigurations(configurations, true);
    el::Loggers::getLogger(kLoggerName)->configure(configurations);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(kDefaultWriterName);
    el::Helpers::installLogDispatchCallback<stream_writer>(kWriterName);
}

} // namespace

void configureLogging(const log_settings &settings)
{
    currentFormat = settings.format;
    currentOutput = settings.output == log_output::StandardOutput ? stdout : stderr;
    currentLevel = settings.level;
    configureLibrary();
}

void setLogLevel(log_level level) noexcept
{
    currentLevel = level;
}

log_level currentLogLevel() noexcept
{
    return currentLevel;
}

std::uint64_t writtenLogLines(log_level level) noexcept
{
    return writtenLines[static_cast<std::size_t>(level)].load(std::memory_order_relaxed);
}

void writeLog(const log_line &line)
{
    if (line.level < currentLevel) {
        return;
    }
    writtenLines.at(static_cast<std::size_t>(line.level)).fetch_add(1, std::memory_order_relaxed);
    const std::string text = formatLogLine(line, currentFormat, std::chrono::system_clock::now());
    switch (line.level) {
    case log_level::Debug:
        CLOG(DEBUG, kLoggerName) << text;
        break;
    case log_level::Info:
        CLOG(INFO, kLoggerName) << text;
        break;
    case log_level::Warning:
        CLOG(WARNING, kLoggerName) << text;
        break;
    case log_level::Error:
        CLOG(ERROR, kLoggerName) << text;
        break;
    }
}

} // namespace heatherroute
