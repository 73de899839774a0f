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

/// What the kernel says of a process.
struct process_usage
{
    std::chrono::nanoseconds cpu{}; ///< User and system time of all threads that run.
    std::uint64_t residentBytes = 0;
    std::uint64_t anonymousBytes = 0; ///< Resident without pages of files, which processes of one program share.
};

/// What the kernel says of process @p pid; empty when it has ended. Thread safe.
std::optional<process_usage> usageOf(pid_t pid);

/**
 * A program of the project that a measurement has started.
 *
 * Output and log go to files, so that a measurement reads them when it is over and the process isn't disturbed meanwhile.
 * The destructor kills exactly this process and waits for its end. Not thread safe.
 */
class bench_process
{
public:
    /// Starts @p program with @p arguments; files are named `name.out` and `name.log` in @p folder. Null on failure.
    static std::unique_ptr<bench_process>
    make(const std::string &program, const std::vector<std::string> &arguments, const std::string &folder, const std::string &name, last_reason *reason);
    ~bench_process();
    bench_process(const bench_process &) = delete;
    bench_process &operator=(const bench_process &) = delete;

    /// The words after `listening` on standard output; empty if they don't come within @p limit.
    std::vector<std::string> waitUntilListening(std::chrono::milliseconds limit);
    /// Sends @p signal.
    void signal(int signal);
    /// Empty when the process has ended.
    std::optional<process_usage> usage() const;
    /// The file with its standard error.
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
