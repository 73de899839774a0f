#include "heatherroute/settings.h"
#include "settings/inventory_file.h"

#include <cxxopts.hpp>

#include <array>
#include <cstddef>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace
{

using heatherroute::settings_problem;

constexpr std::size_t kReadBytes = 65536;
constexpr int kExitSuccess = 0;
constexpr int kExitUsage = 1;
constexpr int kExitFaulty = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("heatherctl", "The operators' tool of heatherroute.");
    options.custom_help("COMMAND [ARGUMENT...] [OPTION...]");
    options.positional_help("");
    options.add_options()("h,help", "print this text")("version", "print the version");
    options.add_options("hidden")("command", "", cxxopts::value<std::string>())("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "arguments"});
    return options;
}

void printHelp(const cxxopts::Options &options)
{
    std::cout << options.help({""}) << R"(
Commands:
  check FILE     check an inventory or an entry's settings without contact to any other process;
                 prints every fault as file:line: key: what is accepted, and ends with 2 if there is one
                 (a file with 'upstreams' or 'rules' at its top is an inventory)
  settings-doc   print the page that describes each setting

Exit codes: 0 done, 1 wrong usage, 2 faults found
)";
}

int usageError(const std::string &message)
{
    std::cerr << "heatherctl: " << message << "; see heatherctl --help\n";
    return kExitUsage;
}

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::string text;
    std::array<char, kReadBytes> part{};
    while (file.read(part.data(), part.size()) || file.gcount() > 0) {
        text.append(part.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (file.bad()) {
        return std::nullopt;
    }
    return text;
}

std::vector<settings_problem> problemsOf(const std::string &text, const std::string &name)
{
    std::vector<settings_problem> problems;
    if (heatherroute::looksLikeInventory(text)) {
        heatherroute::readInventory(text, name, &problems);
    } else {
        heatherroute::entry_settings::make(text, name, &problems);
    }
    return problems;
}

int runCheck(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        return usageError("check takes one file");
    }
    const std::string &name = arguments.front();
    const std::optional<std::string> text = readFile(name);
    if (!text) {
        return usageError("can't read " + name);
    }
    const std::vector<settings_problem> problems = problemsOf(*text, name);
    for (const settings_problem &problem : problems) {
        std::cout << toString(problem) << '\n';
    }
    return problems.empty() ? kExitSuccess : kExitFaulty;
}

int runCommand(const std::string &command, const std::vector<std::string> &arguments)
{
    if (command == "check") {
        return runCheck(arguments);
    }
    if (command == "settings-doc") {
        std::cout << heatherroute::settingsDocument();
        return kExitSuccess;
    }
    return usageError("unknown command '" + command + "'");
}

int run(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const cxxopts::ParseResult result = options.parse(argc, argv);
    if (result.count("help") > 0) {
        printHelp(options);
        return kExitSuccess;
    }
    if (result.count("version") > 0) {
        std::cout << "heatherctl " << HEATHERROUTE_VERSION << '\n';
        return kExitSuccess;
    }
    if (result.count("command") == 0) {
        return usageError("no command given");
    }
    const auto arguments = result.count("arguments") > 0 ? result["arguments"].as<std::vector<std::string>>() : std::vector<std::string>();
    return runCommand(result["command"].as<std::string>(), arguments);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what());
    }
}
