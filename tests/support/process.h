#pragma once

#include "heatherroute/last_reason.h"

#include <sys/types.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute::support
{

/**
 * A child process that a test or benchmark started.
 *
 * Its standard output goes to an unnamed temporary file, so that the process never blocks on a slow reader. Standard error
 * is inherited, or discarded if `quiet` is set. The destructor kills the process and waits for its end. Not thread safe.
 */
class child_process
{
public:
    /// Starts @p program with @p arguments; a name without a slash is searched in PATH. Null with @p reason on failure.
    /// @p variables are added to its environment, as NAME=VALUE.
    static std::unique_ptr<child_process> make(const std::string &program,
                                               const std::vector<std::string> &arguments,
                                               last_reason *reason,
                                               bool quiet = false,
                                               std::vector<std::string> variables = {});
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Waits for the first complete output line that starts with @p prefix and returns the rest of that line; empty if the process ends or
    /// @p limit passes before.
    std::optional<std::string> waitForLine(const std::string &prefix, std::chrono::milliseconds limit);
    /// Waits for the line `listening ...` and returns its further words, the address first. Empty if the process isn't ready within @p limit.
    std::vector<std::string> waitUntilListening(std::chrono::milliseconds limit = std::chrono::seconds(10));
    /// The whole standard output so far.
    std::string output() const;
    /// Sends @p signal unless the process is known to have ended.
    void signal(int signal);
    /// Waits for the end of the process and returns its exit code, or 128 + signal if a signal ended it; empty if it still runs after @p limit.
    std::optional<int> waitForEnd(std::chrono::milliseconds limit);
    /// The peak of the resident memory; 0 when the process has ended.
    std::size_t peakMemoryBytes() const;
    /// The process id, also after the end of the process.
    pid_t pid() const noexcept
    {
        return m_pid;
    }

private:
    struct file_closer
    {
        void operator()(std::FILE *file) const noexcept
        {
            std::fclose(file);
        }
    };
    using file_pointer = std::unique_ptr<std::FILE, file_closer>;

    child_process(pid_t pid, file_pointer output);

    pid_t m_pid;
    file_pointer m_output;
    std::optional<int> m_exitCode;
};

} // namespace heatherroute::support
