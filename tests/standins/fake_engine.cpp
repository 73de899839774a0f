// A stand-in for a model engine. docs/PROTOCOLS.md describes its protocol.
#include "standins/engine_server.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <string>

namespace
{

using namespace heatherroute;
using namespace heatherroute::standins;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("fake_engine", "Stand-in for a model engine");
    auto add = options.add_options();
    add("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("role", "prefill or decode", cxxopts::value<std::string>()->default_value("decode"));
    add("model", "name of the model", cxxopts::value<std::string>()->default_value("model"));
    add("zone", "availability zone", cxxopts::value<std::string>()->default_value(""));
    add("slots", "max requests that decode at the same time", cxxopts::value<std::size_t>()->default_value("20"));
    add("pieces", "number of memory pieces", cxxopts::value<std::size_t>()->default_value("100"));
    add("piece-tokens", "tokens in a memory piece", cxxopts::value<std::size_t>()->default_value("2048"));
    add("token-ms", "duration of one decode step with one request", cxxopts::value<double>()->default_value("20"));
    add("batch-slowdown", "fraction of a step that each further request adds", cxxopts::value<double>()->default_value("0.03"));
    add("prefill-us-per-token", "prefill time per token in microseconds", cxxopts::value<double>()->default_value("100"));
    add("kv-ttl-ms", "lifetime of a KV cache after its prefill", cxxopts::value<std::int64_t>()->default_value("800"));
    add("link-mbps", "rate of the KV link in megabits per second", cxxopts::value<double>()->default_value("10000"));
    add("kv-bytes-per-token", "size of the KV cache per token in bytes", cxxopts::value<double>()->default_value("100000"));
    add("cache-tokens", "size of the prefix cache in tokens", cxxopts::value<std::size_t>()->default_value("65536"));
    add("detach-ms", "how long a request continues after its stream closed", cxxopts::value<std::int64_t>()->default_value("1000"));
    add("transfer-stall-ms", "a transfer is aborted after this time without progress", cxxopts::value<std::int64_t>()->default_value("500"));
    add("load-lag-ms", "age of the reported load", cxxopts::value<std::int64_t>()->default_value("200"));
    add("event-delay-ms", "age at which cache events are published", cxxopts::value<std::int64_t>()->default_value("200"));
    add("event-gap-every", "every n-th cache event is not published; 0 publishes all", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("check-fence", "reject orders with a stale fencing token", cxxopts::value<bool>()->default_value("true"));
    add("help", "print this help");
    return options;
}

std::chrono::milliseconds msOf(const cxxopts::ParseResult &parsed, const char *name)
{
    return std::chrono::milliseconds(parsed[name].as<std::int64_t>());
}

engine_settings settingsOf(const cxxopts::ParseResult &parsed)
{
    constexpr double kUsPerMs = 1000;
    engine_settings settings;
    settings.role = parsed["role"].as<std::string>();
    settings.model = parsed["model"].as<std::string>();
    settings.zone = parsed["zone"].as<std::string>();
    settings.slots = parsed["slots"].as<std::size_t>();
    settings.pieces = parsed["pieces"].as<std::size_t>();
    settings.pieceTokens = parsed["piece-tokens"].as<std::size_t>();
    settings.tokenUs = parsed["token-ms"].as<double>() * kUsPerMs;
    settings.batchSlowdown = parsed["batch-slowdown"].as<double>();
    settings.prefillUsPerToken = parsed["prefill-us-per-token"].as<double>();
    settings.kvTtl = msOf(parsed, "kv-ttl-ms");
    settings.linkMbps = parsed["link-mbps"].as<double>();
    settings.kvBytesPerToken = parsed["kv-bytes-per-token"].as<double>();
    settings.cacheTokens = parsed["cache-tokens"].as<std::size_t>();
    settings.detachTimeout = msOf(parsed, "detach-ms");
    return settings;
}

engine_options optionsOf(const cxxopts::ParseResult &parsed)
{
    engine_options options;
    options.loadLag = msOf(parsed, "load-lag-ms");
    options.eventDelay = msOf(parsed, "event-delay-ms");
    options.eventGapEvery = parsed["event-gap-every"].as<std::uint64_t>();
    options.transferStall = msOf(parsed, "transfer-stall-ms");
    options.checkFence = parsed["check-fence"].as<bool>();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = describeOptions();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            std::puts(options.help().c_str());
            return 0;
        }
        net::io_context context(1);
        standin_server server(context);
        engine_server engine(context, server, settingsOf(parsed), optionsOf(parsed));
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
