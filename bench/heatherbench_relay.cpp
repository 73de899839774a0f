#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <ostream>

#include "heatherbench_client.h"
#include "heatherbench_commands.h"
#include "heatherbench_options.h"
#include "heatherbench_process.h"

namespace heatherroute::bench
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;

/// Endpoints and size of the measurement.
struct relay_setup
{
    asio::ip::tcp::endpoint entry;
    asio::ip::tcp::endpoint prefill;
    asio::ip::tcp::endpoint decode;
    std::string model;
    std::uint32_t rounds = 0;
    std::uint32_t streams = 0;
    std::uint32_t maxTokens = 0;
    int entryPid = 0;
};

/// Samples of the streams through the entry, or of the direct streams.
struct relay_samples
{
    std::vector<std::chrono::microseconds> firstToken;
    std::vector<std::chrono::microseconds> interval;
    std::uint64_t tokens = 0;
    std::uint32_t failed = 0;

    void add(const completion_result &result)
    {
        if (!result.complete) {
            ++failed;
            return;
        }
        firstToken.push_back(result.firstToken);
        interval.insert(interval.end(), result.intervals.begin(), result.intervals.end());
        tokens += result.tokens;
    }
};

completion_request makeRequest(const relay_setup &setup, std::uint32_t round)
{
    completion_request request;
    request.entry = setup.entry;
    request.model = setup.model;
    request.prompt = "relay " + std::to_string(round) + " measures the way through an entry";
    request.maxTokens = setup.maxTokens;
    return request;
}

/// Alternates direct streams and streams through the entry, so that other load on the machine affects both alike.
asio::awaitable<void> measure(const relay_setup &setup, std::uint32_t first, relay_samples &throughEntry, relay_samples &direct)
{
    for (std::uint32_t round = first; round < first + setup.rounds; ++round) {
        const completion_request request = makeRequest(setup, round);
        direct.add(co_await completeDirectly(setup.prefill, setup.decode, "relay-" + std::to_string(round), request));
        throughEntry.add(co_await complete(request));
    }
}

json::object summaryOf(const relay_samples &samples)
{
    return {{"first_token_us_p50", percentile(samples.firstToken, kMedian).count()},
            {"first_token_us_p95", percentile(samples.firstToken, kP95).count()},
            {"interval_us_p50", percentile(samples.interval, kMedian).count()},
            {"interval_us_p95", percentile(samples.interval, kP95).count()},
            {"tokens", samples.tokens},
            {"failed", samples.failed}};
}

} // namespace

int runRelay(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench relay", "Latency and CPU time that an entry adds per token, compared with a direct stream.");
    auto add = options.add_options();
    add("h,help", "print this text");
    add("json", "print JSON (the only output format)");
    add("entry", "callers' address of the entry", cxxopts::value<std::string>());
    add("entry-pid", "process id of the entry, for its CPU time", cxxopts::value<int>()->default_value("0"));
    add("prefill", "address of a prefill engine", cxxopts::value<std::string>());
    add("decode", "address of a decode engine", cxxopts::value<std::string>());
    add("model", "model of the engines", cxxopts::value<std::string>()->default_value("assistant"));
    add("rounds", "pairs of a direct stream and one through the entry, one after another", cxxopts::value<std::uint32_t>()->default_value("40"));
    add("streams", "series of such pairs that run concurrently", cxxopts::value<std::uint32_t>()->default_value("1"));
    add("max-tokens", "maximum number of tokens of a stream", cxxopts::value<std::uint32_t>()->default_value("64"));
    const cxxopts::ParseResult parsed = parseArguments(options, arguments);
    if (parsed.count("help") > 0) {
        out << options.help();
        return 0;
    }
    const auto entry = net::parseEndpoint(parsed["entry"].as<std::string>());
    const auto prefill = net::parseEndpoint(parsed["prefill"].as<std::string>());
    const auto decode = net::parseEndpoint(parsed["decode"].as<std::string>());
    if (!entry || !prefill || !decode) {
        out << "--entry, --prefill and --decode must be IP:port\n";
        return 1;
    }
    const relay_setup setup{*entry,
                            *prefill,
                            *decode,
                            parsed["model"].as<std::string>(),
                            parsed["rounds"].as<std::uint32_t>(),
                            parsed["streams"].as<std::uint32_t>(),
                            parsed["max-tokens"].as<std::uint32_t>(),
                            parsed["entry-pid"].as<int>()};
    relay_samples throughEntry;
    relay_samples direct;
    const auto before = usageOf(setup.entryPid);
    const auto start = bench_clock::now();
    asio::io_context context(1);
    for (std::uint32_t stream = 0; stream < setup.streams; ++stream) {
        asio::co_spawn(context, measure(setup, stream * setup.rounds, throughEntry, direct), asio::detached);
    }
    context.run();
    const auto after = usageOf(setup.entryPid);
    json::object report{{"through_entry", summaryOf(throughEntry)}, {"direct", summaryOf(direct)}};
    report["seconds"] = std::chrono::duration<double>(bench_clock::now() - start).count();
    if (before && after && throughEntry.tokens > 0) {
        const std::chrono::duration<double, std::micro> cpu = after->cpu - before->cpu;
        report["entry_cpu_us_per_token"] = cpu.count() / static_cast<double>(throughEntry.tokens);
    }
    out << json::serialize(report) << '\n';
    return throughEntry.failed + direct.failed == 0 ? 0 : 1;
}

} // namespace heatherroute::bench
