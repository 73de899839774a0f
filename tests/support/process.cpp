#include "support/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

namespace heatherroute::support
{

namespace
{

constexpr std::chrono::milliseconds kPollInterval{2};
constexpr int kSignalExitBase = 128;

} // namespace

std::unique_ptr<child_process>
child_process::make(const std::string &program, const std::vector<std::string> &arguments, last_reason *reason, bool quiet, std::vector<std::string> variables)
{
    file_pointer output(std::tmpfile());
    if (!output) {
        setReason(reason, std::string("cannot create a temporary file: ") + std::strerror(errno));
        return nullptr;
    }
    std::vector<char *> words{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, fileno(output.get()), STDOUT_FILENO);
    if (quiet) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    }
    // A listening socket that the child inherits stays open after this process has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    // Resets the signal mask and handlers, so that the child inherits no blocked or ignored signals.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    sigset_t all;
    sigfillset(&all);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
    // This variable makes glibc overwrite freed memory, so that a use after free becomes visible.
    char perturb[] = "MALLOC_PERTURB_=165";
    std::vector<char *> environment{perturb};
    for (std::string &variable : variables) {
        environment.push_back(variable.data());
    }
    for (char **variable = environ; *variable != nullptr; ++variable) {
        environment.push_back(*variable);
    }
    environment.push_back(nullptr);
    pid_t pid = 0;
    const int error = posix_spawnp(&pid, program.c_str(), &actions, &attributes, words.data(), environment.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        setReason(reason, "cannot start " + program + ": " + std::strerror(error));
        return nullptr;
    }
    return std::unique_ptr<child_process>(new child_process(pid, std::move(output)));
}

child_process::child_process(pid_t pid, file_pointer output)
    : m_pid(pid)
    , m_output(std::move(output))
{ }

child_process::~child_process()
{
    if (!m_exitCode) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

std::optional<std::string> child_process::waitForLine(const std::string &prefix, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (true) {
        const bool ended = waitForEnd(std::chrono::milliseconds(0)).has_value();
        std::istringstream lines(output());
        std::string line;
        while (std::getline(lines, line)) {
            const bool isComplete = !lines.eof();
            if (isComplete && line.compare(0, prefix.size(), prefix) == 0) {
                return line.substr(prefix.size());
            }
        }
        if (ended || std::chrono::steady_clock::now() >= until) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
}

std::vector<std::string> child_process::waitUntilListening(std::chrono::milliseconds limit)
{
    std::vector<std::string> words;
    std::istringstream line(waitForLine("listening ", limit).value_or(std::string()));
    std::string word;
    while (line >> word) {
        words.push_back(word);
    }
    return words;
}

std::string child_process::output() const
{
    constexpr std::size_t kChunkBytes = 65536;
    std::string text;
    std::string chunk(kChunkBytes, '\0');
    ssize_t size = 0;
    while ((size = pread(fileno(m_output.get()), chunk.data(), chunk.size(), static_cast<off_t>(text.size()))) > 0) {
        text.append(chunk, 0, static_cast<std::size_t>(size));
    }
    return text;
}

std::size_t child_process::peakMemoryBytes() const
{
    constexpr std::size_t kKiB = 1024;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string name;
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        std::size_t value = 0;
        if (words >> name >> value && name == "VmHWM:") {
            return value * kKiB;
        }
    }
    return 0;
}

void child_process::signal(int signal)
{
    if (!m_exitCode) {
        kill(m_pid, signal);
    }
}

std::optional<int> child_process::waitForEnd(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!m_exitCode) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exitCode = WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= until) {
            break;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    return m_exitCode;
}

} // namespace heatherroute::support
