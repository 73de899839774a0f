#pragma once

#include "support/process.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace heatherroute::support
{

/// A running program of the build and the addresses that it listens on. The addresses are empty if it did not start.
struct running_program
{
    std::unique_ptr<child_process> process;
    std::string address;
    std::string operators; ///< Operators' address; only set for an entry.
};

/// Starts the program @p name of the build, discards its standard error and waits until it listens.
inline running_program startProgram(const std::string &name, const std::vector<std::string> &arguments)
{
    running_program program;
    program.process = child_process::make(std::string(HEATHERROUTE_BIN_DIR) + "/" + name, arguments, nullptr, true);
    if (program.process) {
        const auto words = program.process->waitUntilListening();
        program.address = words.empty() ? std::string() : words[0];
        program.operators = words.size() > 2 ? words[2] : std::string();
    }
    return program;
}

/// A file in the temporary folder. The destructor removes it.
class temporary_file
{
public:
    temporary_file(const std::string &name, const std::string &text)
        : m_path(std::filesystem::temp_directory_path() / ("heatherroute_" + std::to_string(::getpid()) + "_" + name))
    {
        std::ofstream(m_path) << text;
    }

    ~temporary_file()
    {
        std::error_code ignored;
        std::filesystem::remove(m_path, ignored);
    }

    temporary_file(const temporary_file &) = delete;
    temporary_file &operator=(const temporary_file &) = delete;

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

/// Starts an entry of half `h` that uses @p platform (`IP:port`), with additional @p settings (YAML lines). The settings file is removed before
/// this returns.
inline running_program startEntry(const std::string &platform, const std::string &settings)
{
    const temporary_file file("entry.yaml",
                              "name: e1\nhalf: h\nzone: z\nregion: r\nlisten: {callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", peers: "
                              "\"127.0.0.1:0\"}\nplatform: {log: \""
                                  + platform + "\", vms: \"" + platform + "\"}\n" + settings);
    return startProgram("heatherrouted", {"--settings", file.path()});
}

/// The exit code and the standard output of a finished tool.
struct tool_result
{
    int exitCode = -1;
    std::string output;
};

/// Runs heatherctl and waits up to 40 s for its exit; the exit code is -1 if it did not start or did not end in time.
inline tool_result runHeatherctl(const std::vector<std::string> &arguments)
{
    tool_result result;
    const auto process = child_process::make(std::string(HEATHERROUTE_BIN_DIR) + "/heatherctl", arguments, nullptr);
    if (process) {
        result.exitCode = process->waitForEnd(std::chrono::seconds(40)).value_or(-1);
        result.output = process->output();
    }
    return result;
}

} // namespace heatherroute::support
