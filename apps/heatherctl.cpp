#include "control/commands.h"
#include "heatherroute/settings.h"
#include "net/http_client.h"
#include "settings/inventory_file.h"

#include <cxxopts.hpp>

#include <array>
#include <cstddef>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using heatherroute::settings_problem;

using heatherroute::control::kExitInvalidFile;
using heatherroute::control::kExitSuccess;
using heatherroute::control::kExitUsage;

constexpr std::size_t kReadBytes = 65536;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("heatherctl", "Command-line tool for operators of heatherroute.");
    options.custom_help("COMMAND [ARGUMENT...] [OPTION...]");
    options.positional_help("");
    options.add_options()("h,help", "print this text")("version", "print the version");
    auto add = options.add_options("publish and entries");
    add("entries", "operator addresses of the entries, separated by commas", cxxopts::value<std::string>()->default_value(""));
    add("log", "address of the platform's log", cxxopts::value<std::string>()->default_value(""));
    add("stream", "name of the configuration stream", cxxopts::value<std::string>()->default_value("config"));
    add("half", "half whose inventory is published", cxxopts::value<std::string>()->default_value(""));
    add("operator", "name of the operator who publishes", cxxopts::value<std::string>()->default_value("operator"));
    add("publish-id",
        "id of the publication (default: random); give the same id again after an unknown outcome",
        cxxopts::value<std::string>()->default_value(""));
    add("format", "output format of dump: json or text", cxxopts::value<std::string>()->default_value("json"));
    add("timeout-s", "maximum wait for the outcome, in seconds", cxxopts::value<unsigned>()->default_value("30"));
    options.add_options("hidden")("command", "", cxxopts::value<std::string>())("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "arguments"});
    return options;
}

void printHelp(const cxxopts::Options &options)
{
    std::cout << options.help({"", "publish and entries"}) << R"(
Commands:
  check FILE     check an inventory or an entry's settings without contacting any other process;
                 prints every error as file:line: key: what is accepted, and exits with 2 if there is one
                 (a file with 'upstreams' or 'rules' at its top level is an inventory)
  publish FILE   publish the inventory of a half (--log, --half); prints the decision, then waits until
                 --entries have applied it
  status         print what each of --entries has applied and has in flight
  dump           print the state dump of each of --entries (--format json or text)
  drain          request a graceful shutdown of each of --entries
  where NAME     print the owner of the upstream NAME, as seen by each of --entries
  settings-doc   print the page that describes each setting

Exit codes: 0 done, 1 wrong usage, 2 errors found in the file, 3 publication rejected, 4 no answer in time, or an error
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
    std::array<char, kReadBytes> buffer{};
    while (file.read(buffer.data(), buffer.size()) || file.gcount() > 0) {
        text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
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
        return usageError("cannot read " + name);
    }
    const std::vector<settings_problem> problems = problemsOf(*text, name);
    for (const settings_problem &problem : problems) {
        std::cout << toString(problem) << '\n';
    }
    return problems.empty() ? kExitSuccess : kExitInvalidFile;
}

std::vector<std::string> entriesOf(const cxxopts::ParseResult &options)
{
    std::vector<std::string> entries;
    std::istringstream list(options["entries"].as<std::string>());
    std::string entry;
    while (std::getline(list, entry, ',')) {
        entries.push_back(entry);
    }
    return entries;
}

std::string newPublishId()
{
    std::random_device device;
    std::ostringstream id;
    id << std::hex << device() << device();
    return id.str();
}

int runPublish(const std::vector<std::string> &arguments, const cxxopts::ParseResult &options)
{
    const auto log = heatherroute::net::parseEndpoint(options["log"].as<std::string>());
    heatherroute::control::publish_options order;
    order.half = options["half"].as<std::string>();
    if (arguments.size() != 1 || !log || order.half.empty()) {
        return usageError("publish takes one file, --log IP:port and --half NAME");
    }
    const std::optional<std::string> text = readFile(arguments.front());
    if (!text) {
        return usageError("cannot read " + arguments.front());
    }
    std::vector<settings_problem> problems;
    auto inventory = heatherroute::readInventory(*text, arguments.front(), &problems);
    for (const settings_problem &problem : problems) {
        std::cout << toString(problem) << '\n';
    }
    if (!inventory) {
        return kExitInvalidFile;
    }
    const auto givenId = options["publish-id"].as<std::string>();
    order.location = {*log, options["stream"].as<std::string>()};
    order.wanted = std::move(*inventory);
    order.operatorName = options["operator"].as<std::string>();
    order.publishId = givenId.empty() ? newPublishId() : givenId;
    order.entries = entriesOf(options);
    order.limit = std::chrono::seconds(options["timeout-s"].as<unsigned>());
    return heatherroute::control::publish(order, std::cout);
}

int runDump(const std::vector<std::string> &entries, const std::string &format)
{
    using heatherroute::control::dump_format;
    if (format != "json" && format != "text") {
        return usageError("--format takes json or text");
    }
    return heatherroute::control::printDump(entries, format == "text" ? dump_format::Text : dump_format::Json, std::cout);
}

int runCommand(const std::string &command, const std::vector<std::string> &arguments, const cxxopts::ParseResult &options)
{
    const std::vector<std::string> entries = entriesOf(options);
    if (command == "check") {
        return runCheck(arguments);
    }
    if (command == "settings-doc") {
        std::cout << heatherroute::settingsDocument();
        return kExitSuccess;
    }
    if (command == "publish") {
        return runPublish(arguments, options);
    }
    if (entries.empty()) {
        return usageError(command + " takes --entries IP:port[,IP:port...]");
    }
    if (command == "status") {
        return heatherroute::control::printStatus(entries, std::cout);
    }
    if (command == "dump") {
        return runDump(entries, options["format"].as<std::string>());
    }
    if (command == "drain") {
        return heatherroute::control::drain(entries, std::cout);
    }
    if (command == "where" && arguments.size() == 1) {
        return heatherroute::control::printOwner(entries, arguments.front(), std::cout);
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
    return runCommand(result["command"].as<std::string>(), arguments, result);
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
