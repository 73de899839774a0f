#include "heatherbench_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace heatherroute::bench
{

namespace
{

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::uint64_t kBytesPerKilobyte = 1024;
constexpr mode_t kFileMode = 0600;

/// Sums the CPU time of all threads from schedstat. The clock ticks of /proc/PID/stat are too coarse for a mostly idle process.
std::chrono::nanoseconds cpuOfThreads(const std::filesystem::path &process)
{
    std::chrono::nanoseconds total{};
    std::error_code error;
    for (const auto &thread : std::filesystem::directory_iterator(process / "task", error)) {
        std::ifstream file(thread.path() / "schedstat");
        std::int64_t onCore = 0;
        file >> onCore;
        total += std::chrono::nanoseconds(onCore);
    }
    return total;
}

} // namespace

std::unique_ptr<bench_process> bench_process::make(
    const std::string &program, const std::vector<std::string> &arguments, const std::string &folder, const std::string &name, last_reason *reason)
{
    const std::string outputPath = folder + "/" + name + ".out";
    const std::string logPath = folder + "/" + name + ".log";
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        setReason(reason, "cannot start " + program + ": " + std::strerror(error));
        return nullptr;
    }
    return std::unique_ptr<bench_process>(new bench_process(pid, outputPath, logPath));
}

bench_process::bench_process(pid_t pid, std::string outputPath, std::string logPath)
    : m_pid(pid)
    , m_outputPath(std::move(outputPath))
    , m_logPath(std::move(logPath))
{ }

bench_process::~bench_process()
{
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

std::vector<std::string> bench_process::waitUntilListening(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        std::ifstream file(m_outputPath);
        std::string line;
        while (std::getline(file, line)) {
            std::istringstream stream(line);
            std::string word;
            stream >> word;
            if (word != "listening" || file.eof()) {
                continue;
            }
            std::vector<std::string> words;
            while (stream >> word) {
                words.push_back(word);
            }
            return words;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    return {};
}

void bench_process::signal(int signal)
{
    // Only the destructor reaps the process, so the kernel can't have reused its id.
    kill(m_pid, signal);
}

std::optional<process_usage> bench_process::usage() const
{
    return usageOf(m_pid);
}

std::optional<process_usage> usageOf(pid_t pid)
{
    const std::filesystem::path process = "/proc/" + std::to_string(pid);
    std::ifstream status(process / "status");
    process_usage usage;
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> usage.residentBytes;
        } else if (word == "RssAnon:") {
            status >> usage.anonymousBytes;
        }
    }
    if (usage.residentBytes == 0) {
        return std::nullopt;
    }
    usage.residentBytes *= kBytesPerKilobyte;
    usage.anonymousBytes *= kBytesPerKilobyte;
    usage.cpu = cpuOfThreads(process);
    return usage;
}

} // namespace heatherroute::bench
