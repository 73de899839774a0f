#include <cxxopts.hpp>

#include <malloc.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/entry_node.h"
#include "heatherroute/relay_node.h"
#include "heatherroute/settings.h"
#include "platform/dialect.h"
#include "platform/store_client.h"
#include "telemetry/log.h"

namespace
{

using heatherroute::entry_settings;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kMmapThresholdBytes = 128 * 1024;

std::optional<entry_settings> readSettings(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        std::cerr << "heatherrouted: cannot read " << name << '\n';
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    std::vector<heatherroute::settings_problem> problems;
    auto settings = entry_settings::make(text, name, &problems);
    for (const heatherroute::settings_problem &problem : problems) {
        std::cerr << toString(problem) << '\n';
    }
    return settings;
}

int serve(const entry_settings &settings)
{
    heatherroute::configureLogging(settings.log());
    heatherroute::last_reason reason;
    const auto node = heatherroute::entry_node::make(settings, &reason);
    if (!node) {
        std::cerr << "heatherrouted: " << reason.text() << '\n';
        return kExitFailure;
    }
    std::cout << "listening " << node->callerAddress() << " operators " << node->operatorAddress() << " peers " << node->peerAddress() << std::endl;
    return node->run();
}

/// Runs as a relay on a platform that has its own store.
int relay(const entry_settings &settings, const std::string &settingsFile)
{
    heatherroute::configureLogging(settings.log());
    heatherroute::last_reason reason;
    const auto store = heatherroute::net::parseEndpoint(settings.platform().log);
    if (!store) {
        std::cerr << "heatherrouted: platform.log must be IP:port\n";
        return kExitFailure;
    }
    const auto reloadSettings = [settingsFile](heatherroute::last_reason *reloadReason) {
        auto reloaded = readSettings(settingsFile);
        if (!reloaded) {
            heatherroute::setReason(reloadReason, "the settings file is invalid; its errors are on standard error");
        }
        return reloaded;
    };
    const auto node =
        heatherroute::relay_node::make(settings, reloadSettings, heatherroute::platform::makeDialect(), heatherroute::platform::makeStore(*store), &reason);
    if (!node) {
        std::cerr << "heatherrouted: " << reason.text() << '\n';
        return kExitFailure;
    }
    return node->run();
}

int run(int argc, char **argv)
{
    cxxopts::Options options("heatherrouted", "An entry of heatherroute: routes callers' requests to prefill and decode engines and plain services.");
    options.add_options()("h,help", "print this text")("version", "print the version")("settings", "the settings file (YAML)", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit")("relay", "relay opaque requests on a platform that has its own store");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return kExitSuccess;
    }
    if (arguments.count("version") > 0) {
        std::cout << "heatherrouted " << HEATHERROUTE_VERSION << '\n';
        return kExitSuccess;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "heatherrouted: --settings FILE is required; see --help\n";
        return kExitFailure;
    }
    const auto settings = readSettings(arguments["settings"].as<std::string>());
    if (!settings) {
        return kExitInvalidSettings;
    }
    if (arguments.count("check-settings") > 0) {
        return kExitSuccess;
    }
    return arguments.count("relay") > 0 ? relay(*settings, arguments["settings"].as<std::string>()) : serve(*settings);
}

} // namespace

int main(int argc, char **argv)
{
    // The allocator raises this threshold when a large block is freed, and keeps such blocks then; the memory of a VM is small.
    mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "heatherrouted: " << error.what() << '\n';
        return kExitFailure;
    }
}
