#pragma once

#include "heatherroute/last_reason.h"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute::bench
{

/// CPU time and memory of a process.
struct process_usage
{
    std::chrono::nanoseconds cpu{}; ///< User and system time of the threads that are alive.
    std::uint64_t residentBytes = 0;
    std::uint64_t anonymousBytes = 0; ///< Resident memory without file-backed pages, which processes of one program share.
};

/// Reads the usage of process @p pid from /proc; returns nullopt when it has ended. Thread safe.
std::optional<process_usage> usageOf(pid_t pid);

/**
 * A child process of a measurement.
 *
 * Standard output and standard error go to files and not to pipes. A measurement reads them before and after the measured time,
 * so that reading doesn't disturb the process meanwhile. The destructor kills this process and waits for its end. Not thread safe.
 */
class bench_process
{
public:
    /// Starts @p program with @p arguments; output goes to `name.out` and `name.log` in @p folder. Returns null on failure.
    static std::unique_ptr<bench_process>
    make(const std::string &program, const std::vector<std::string> &arguments, const std::string &folder, const std::string &name, last_reason *reason);
    ~bench_process();
    bench_process(const bench_process &) = delete;
    bench_process &operator=(const bench_process &) = delete;

    /// Returns the words after `listening` on standard output; empty when that line doesn't appear within @p limit.
    std::vector<std::string> waitUntilListening(std::chrono::milliseconds limit);
    void signal(int signal);
    /// Returns nullopt when the process has ended.
    std::optional<process_usage> usage() const;
    /// Path of the file with the standard error of the process.
    const std::string &logPath() const noexcept
    {
        return m_logPath;
    }

private:
    bench_process(pid_t pid, std::string outputPath, std::string logPath);

    pid_t m_pid;
    std::string m_outputPath;
    std::string m_logPath;
};

} // namespace heatherroute::bench
