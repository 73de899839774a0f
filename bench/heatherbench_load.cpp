#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <random>
#include <sstream>
#include <stdexcept>

#include "heatherbench_client.h"
#include "heatherbench_commands.h"
#include "standins/expected_text.h"
#include "support/process.h"

namespace heatherroute::bench
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kPrefillUsPerToken = 50;
constexpr double kTokenMs = 20;
constexpr double kBatchSlowdown = 0.03; ///< Fraction of kTokenMs that each further running request adds to a decode step.
constexpr unsigned kSlots = 20;
constexpr std::chrono::microseconds kFirstTokenTarget{890'000};
constexpr std::chrono::microseconds kIntervalTarget{42'000};
constexpr std::chrono::milliseconds kWarmUp{1'500};
constexpr std::size_t kSampleSize = 2'000;

/// A workload modelled on one user: a mix of requests and the engines of one half that serve it.
struct mix
{
    std::string name;
    std::string half;
    std::string model;
    unsigned prefills = 0;
    unsigned decodes = 0;
};

const mix kMixes[] = {
    {"long_prompts", "da-nang", "audit", 4, 5},
    {"short_and_long_answers", "red-pericial", "assistant", 3, 6},
};

/// One request of the arrival process.
struct arrival
{
    std::chrono::microseconds at{};
    std::size_t entry = 0;
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Number of tokens in the expected answer.
};

/// Parameters that are the same for all cells of a run. A cell is a combination of mix, load and policy.
struct load_setup
{
    std::string programFolder; ///< Directory of the built programs.
    std::string workFolder; ///< Directory for settings and inventories.
    unsigned entries = 3;
    unsigned seconds = 10;
    std::uint64_t seed = 1;
};

/// Returns a random sample, uniform between 0 and 1, without 0 so that its logarithm is finite.
double uniformSample(std::mt19937_64 &random)
{
    return (static_cast<double>(random() >> 11U) + 0.5) / 9007199254740992.0;
}

arrival makeArrival(const mix &kind, std::mt19937_64 &random, std::size_t index)
{
    arrival request;
    const bool isShort = random() % 2 == 0;
    if (kind.model == "audit") {
        request.promptTokens = 2'000 + static_cast<std::uint32_t>(random() % 2'000);
        request.maxTokens = isShort ? 16 : 32;
    } else {
        request.promptTokens = isShort ? 30 : 300;
        request.maxTokens = isShort ? 8 : 80;
    }
    request.prompt = "request" + std::to_string(random()) + "-" + std::to_string(index);
    for (std::uint32_t word = 1; word < request.promptTokens; ++word) {
        request.prompt += " w" + std::to_string(word % 97);
    }
    request.expectedTokens = static_cast<std::uint32_t>(standins::expected_answer(kind.model, request.prompt, request.maxTokens).tokens());
    return request;
}

/// Returns the requests per second that the stand-ins can serve: the minimum of the rate of all prefill engines and the rate of
/// all decode slots at the step time of a fully loaded engine.
double estimateCapacity(const mix &kind, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    double prompt = 0;
    double output = 0;
    for (std::size_t i = 0; i < kSampleSize; ++i) {
        const arrival request = makeArrival(kind, random, i);
        prompt += request.promptTokens;
        output += request.expectedTokens;
    }
    const double step = kTokenMs / 1e3 * (1 + kBatchSlowdown * (kSlots - 1));
    const double prefill = kind.prefills / (prompt / kSampleSize * kPrefillUsPerToken / 1e6);
    const double decode = kind.decodes * kSlots / (output / kSampleSize * step);
    return std::min(prefill, decode);
}

std::vector<arrival> makeArrivals(const mix &kind, const load_setup &setup, double rate)
{
    std::mt19937_64 random(setup.seed);
    std::vector<arrival> arrivals;
    double at = -std::log(uniformSample(random)) / rate;
    while (at < setup.seconds) {
        arrival request = makeArrival(kind, random, arrivals.size());
        request.at = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
        request.entry = random() % setup.entries;
        arrivals.push_back(std::move(request));
        at += -std::log(uniformSample(random)) / rate;
    }
    return arrivals;
}

std::string makeSettings(const std::string &name, const std::string &half, const std::string &zone, const std::string &platform, const std::string &policy)
{
    std::ostringstream text;
    text << "name: " << name << "\nhalf: " << half << "\nzone: " << zone << "\nregion: region\n"
         << "listen: {callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}\n"
         << "platform: {log: \"" << platform << "\", vms: \"" << platform << "\"}\nplacement: {policy: " << policy << "}\n";
    return text.str();
}

/// The processes of one cell. The constructor throws std::runtime_error when one doesn't start or the inventory can't be published. The
/// destructor ends them.
class cell_processes
{
public:
    cell_processes(const load_setup &setup, const mix &kind, const std::string &policy)
        : m_setup(setup)
    {
        const std::string platform = start("fake_platform", {}).front();
        std::string inventory = "upstreams:\n";
        for (unsigned i = 0; i < kind.prefills + kind.decodes; ++i) {
            inventory += startEngine(kind, i < kind.prefills ? "prefill" : "decode", i);
        }
        std::string operators;
        for (unsigned i = 0; i < setup.entries; ++i) {
            const std::string name = kind.half + "-" + std::to_string(i);
            const std::string file = writeFile(name + ".yaml", makeSettings(name, kind.half, "zone-" + std::to_string(i), platform, policy));
            const auto listening = start("heatherrouted", {"--settings", file});
            entries.push_back(*net::parseEndpoint(listening.at(0)));
            operators += i == 0 ? "" : ",";
            operators += listening.at(2);
        }
        const std::string file = writeFile("inventory.yaml", inventory);
        last_reason reason;
        const auto publish =
            support::child_process::make(setup.programFolder + "/heatherctl",
                                         {"publish", file, "--log", platform, "--half", kind.half, "--operator", "bench", "--entries", operators},
                                         &reason,
                                         true);
        if (!publish || publish->waitForEnd(std::chrono::seconds(20)) != 0) {
            throw std::runtime_error("heatherctl failed to publish the inventory");
        }
    }

    std::vector<asio::ip::tcp::endpoint> entries;
    std::vector<asio::ip::tcp::endpoint> prefills;

private:
    std::vector<std::string> start(const std::string &program, const std::vector<std::string> &arguments)
    {
        last_reason reason;
        auto child = support::child_process::make(m_setup.programFolder + "/" + program, arguments, &reason, true);
        auto words = child ? child->waitUntilListening() : std::vector<std::string>{};
        if (words.empty()) {
            throw std::runtime_error(program + " did not start: " + reason.text());
        }
        m_children.push_back(std::move(child));
        return words;
    }

    std::string startEngine(const mix &kind, const std::string &role, unsigned number)
    {
        const std::string zone = "zone-" + std::to_string(number % m_setup.entries);
        const std::string address = start("fake_engine",
                                          {"--role",
                                           role,
                                           "--model",
                                           kind.model,
                                           "--zone",
                                           zone,
                                           "--slots",
                                           std::to_string(kSlots),
                                           "--pieces",
                                           "96",
                                           "--token-ms",
                                           std::to_string(kTokenMs),
                                           "--batch-slowdown",
                                           std::to_string(kBatchSlowdown),
                                           "--prefill-us-per-token",
                                           std::to_string(kPrefillUsPerToken),
                                           "--kv-bytes-per-token",
                                           "20000"})
                                        .front();
        if (role == "prefill") {
            prefills.push_back(*net::parseEndpoint(address));
        }
        return "  - {name: " + role + "-" + std::to_string(number) + ", address: \"" + address + "\", zone: " + zone + ", half: " + kind.half
               + ", kind: " + role + "_engine, model: " + kind.model + ", slots: " + std::to_string(kSlots) + ", pieces: 96, piece_tokens: 2048}\n";
    }

    std::string writeFile(const std::string &name, const std::string &text)
    {
        std::string path = m_setup.workFolder + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    const load_setup &m_setup;
    std::vector<std::unique_ptr<support::child_process>> m_children;
};

/// Counts and times of one cell.
struct cell_counts
{
    std::uint32_t good = 0;
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    std::vector<std::chrono::microseconds> firstTokens;
    std::vector<std::chrono::microseconds> intervalP95s; ///< 95th percentile of the token intervals of each request.
    std::vector<std::chrono::microseconds> startDelays; ///< Delays of the client itself in sending requests.
};

asio::awaitable<void> sendArrival(const mix &kind, const arrival &request, asio::ip::tcp::endpoint entry, bench_clock::time_point start, cell_counts &counts)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, start + request.at);
    co_await timer.async_wait(asio::use_awaitable);
    counts.startDelays.push_back(std::chrono::duration_cast<std::chrono::microseconds>(bench_clock::now() - start - request.at));
    completion_request completion;
    completion.entry = entry;
    completion.model = kind.model;
    completion.prompt = request.prompt;
    completion.maxTokens = request.maxTokens;
    completion.deadline = std::chrono::seconds(20);
    const completion_result result = co_await complete(std::move(completion));
    if (!result.complete) {
        ++(result.verdict == "not_run" ? counts.refused : counts.failed);
        co_return;
    }
    ++counts.admitted;
    const auto intervalP95 = percentile(result.intervals, kP95);
    counts.firstTokens.push_back(result.firstToken);
    counts.intervalP95s.push_back(intervalP95);
    counts.good += result.firstToken <= kFirstTokenTarget && intervalP95 <= kIntervalTarget ? 1 : 0;
}

/// Returns the fraction of computed prompt tokens whose KV cache no decode engine fetched.
double wastedFraction(const std::vector<asio::ip::tcp::endpoint> &prefills)
{
    double computed = 0;
    double wasted = 0;
    for (const auto &endpoint : prefills) {
        net::http_call call;
        call.endpoint = endpoint;
        call.method = "GET";
        call.target = "/records";
        asio::io_context context(1);
        net::http_result result;
        asio::co_spawn(
            context, net::performCall(std::move(call)), [&result](const std::exception_ptr &, net::http_result ended) { result = std::move(ended); });
        context.run();
        if (!result.answer) {
            throw std::runtime_error("a prefill engine did not respond to GET /records");
        }
        const json::value records = json::parse(result.answer->body);
        for (const json::value &prefill : records.at("prefills").as_array()) {
            const double tokens = prefill.at("computed_tokens").to_number<double>();
            computed += tokens;
            wasted += prefill.at("wasted").as_bool() ? tokens : 0;
        }
    }
    return computed > 0 ? wasted / computed : 0;
}

json::object runCell(const load_setup &setup, const mix &kind, const std::string &policy, unsigned percent)
{
    const double capacity = estimateCapacity(kind, setup.seed);
    const std::vector<arrival> arrivals = makeArrivals(kind, setup, capacity * percent / 100);
    cell_processes processes(setup, kind, policy);
    cell_counts counts;
    asio::io_context context(1);
    const auto start = bench_clock::now() + kWarmUp;
    for (const arrival &request : arrivals) {
        asio::co_spawn(context, sendArrival(kind, request, processes.entries[request.entry], start, counts), asio::detached);
    }
    context.run();
    const auto ms = [](std::chrono::microseconds value) { return static_cast<double>(value.count()) / 1e3; };
    return {{"mix", kind.name},
            {"policy", policy},
            {"load_percent", percent},
            {"capacity_per_s", capacity},
            {"arrivals", arrivals.size()},
            {"goodput_per_s", static_cast<double>(counts.good) / setup.seconds},
            {"good_share_of_admitted", counts.admitted == 0 ? 0.0 : static_cast<double>(counts.good) / counts.admitted},
            {"admitted", counts.admitted},
            {"refused", counts.refused},
            {"failed", counts.failed},
            {"wasted_prefill_share", wastedFraction(processes.prefills)},
            {"first_token_p50_ms", ms(percentile(counts.firstTokens, kMedian))},
            {"first_token_p95_ms", ms(percentile(counts.firstTokens, kP95))},
            {"pace_p50_ms", ms(percentile(counts.intervalP95s, kMedian))},
            {"pace_p95_ms", ms(percentile(counts.intervalP95s, kP95))},
            {"client_late_p95_ms", ms(percentile(counts.startDelays, kP95))}};
}

void print(const json::object &cell, bool asJson, std::ostream &out)
{
    if (asJson) {
        out << json::serialize(cell) << std::endl;
        return;
    }
    for (const auto &member : cell) {
        out << member.key() << '=' << json::serialize(member.value()) << ' ';
    }
    out << std::endl;
}

} // namespace

int runLoad(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench load", "Goodput of each placement policy on real processes under an open-loop arrival process.");
    auto add = options.add_options();
    add("h,help", "print this text");
    add("json", "print one JSON object per cell");
    add("programs", "directory of the built programs", cxxopts::value<std::string>()->default_value("build"));
    add("policies", "placement policies to compare", cxxopts::value<std::vector<std::string>>()->default_value("random,round_robin,two_choices,owner_grants"));
    add("mixes",
        "workloads to run: long_prompts, short_and_long_answers",
        cxxopts::value<std::vector<std::string>>()->default_value("long_prompts,short_and_long_answers"));
    add("loads", "offered loads in percent of the estimated capacity", cxxopts::value<std::vector<unsigned>>()->default_value("50,80,95,110,150"));
    add("seconds", "duration of the arrivals in a cell", cxxopts::value<unsigned>()->default_value("10"));
    add("entries", "number of entries", cxxopts::value<unsigned>()->default_value("3"));
    add("seed", "random seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    std::vector<const char *> argv;
    argv.reserve(arguments.size());
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
        out << options.help();
        return 0;
    }
    std::string folder = (std::filesystem::temp_directory_path() / "heatherbench-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    const load_setup setup{parsed["programs"].as<std::string>(),
                           folder,
                           std::max(1U, parsed["entries"].as<unsigned>()),
                           std::max(1U, parsed["seconds"].as<unsigned>()),
                           parsed["seed"].as<std::uint64_t>()};
    const auto names = parsed["mixes"].as<std::vector<std::string>>();
    for (const mix &kind : kMixes) {
        if (std::find(names.begin(), names.end(), kind.name) == names.end()) {
            continue;
        }
        for (const unsigned percent : parsed["loads"].as<std::vector<unsigned>>()) {
            for (const std::string &policy : parsed["policies"].as<std::vector<std::string>>()) {
                print(runCell(setup, kind, policy, percent), parsed.count("json") > 0, out);
            }
        }
    }
    std::filesystem::remove_all(folder);
    return 0;
}

} // namespace heatherroute::bench
