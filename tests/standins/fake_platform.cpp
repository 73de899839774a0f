// A stand-in for the platform's log, VM list and weight store. docs/PROTOCOLS.md describes its protocol.
#include "standins/platform_server.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <string>

int main(int argc, char **argv)
{
    using namespace heatherroute;
    using namespace heatherroute::standins;
    cxxopts::Options options("fake_platform", "Stand-in for the platform's log, VM list and weight store");
    auto add = options.add_options();
    add("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("retention-records", "records kept in each stream", cxxopts::value<std::size_t>()->default_value("100000"));
    add("retention-ms", "max age of the records that are kept", cxxopts::value<std::int64_t>()->default_value("86400000"));
    add("appends-per-second", "max appends per second over all streams; 0 for no limit", cxxopts::value<std::size_t>()->default_value("400"));
    add("records-per-append", "max records in one append", cxxopts::value<std::size_t>()->default_value("1000"));
    add("vm-lag-ms", "age of the reported VM list", cxxopts::value<std::int64_t>()->default_value("500"));
    add("weights-mbps", "rate of each download in megabits per second", cxxopts::value<double>()->default_value("100"));
    add("weights-bytes", "size of the weights of each model in bytes", cxxopts::value<std::size_t>()->default_value("1048576"));
    try {
        const auto parsed = options.parse(argc, argv);
        log_settings log;
        log.retentionRecords = parsed["retention-records"].as<std::size_t>();
        log.retentionAge = std::chrono::milliseconds(parsed["retention-ms"].as<std::int64_t>());
        log.appendsPerSecond = parsed["appends-per-second"].as<std::size_t>();
        log.recordsPerAppend = parsed["records-per-append"].as<std::size_t>();
        platform_options platform;
        platform.vmLag = std::chrono::milliseconds(parsed["vm-lag-ms"].as<std::int64_t>());
        platform.weightsMbps = parsed["weights-mbps"].as<double>();
        platform.weightsBytes = parsed["weights-bytes"].as<std::size_t>();
        net::io_context context(1);
        standin_server server(context);
        platform_server service(context, server, log, platform);
        last_reason reason;
        if (!server.run(parsed["listen"].as<std::string>(), &reason)) {
            std::fprintf(stderr, "%s\n", reason.text().c_str());
            return 1;
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}
