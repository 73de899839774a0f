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
 * A program of the project that a test or bench has started.
 *
 * Its standard output goes to an unnamed temporary file, so that it never blocks on a reader; standard error is
 * inherited, or dropped when quiet. The destructor kills the process and waits for its end. Not thread safe.
 */
class child_process
{
public:
    /// Starts @p program with @p arguments; a name without a slash is looked up as the system does. Null on failure.
    static std::unique_ptr<child_process> make(const std::string &program, const std::vector<std::string> &arguments, last_reason *reason, bool quiet = false);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// The rest of the first line of output that starts with @p prefix; empty if it doesn't come within @p limit.
    std::optional<std::string> waitForLine(const std::string &prefix, std::chrono::milliseconds limit);
    /// The words of the line `listening ...`: the address first. Empty if the process doesn't get ready in time.
    std::vector<std::string> waitUntilListening(std::chrono::milliseconds limit = std::chrono::seconds(10));
    /// All of its standard output so far.
    std::string output() const;
    /// Sends @p signal, unless the process has ended.
    void signal(int signal);
    /// The exit code once it has ended, 128 + signal if a signal ended it; empty if it still runs after @p limit.
    std::optional<int> waitForEnd(std::chrono::milliseconds limit);
    /// Its id, also after its end.
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
