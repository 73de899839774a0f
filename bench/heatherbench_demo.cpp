#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <iomanip>
#include <ostream>

#include "heatherbench_client.h"
#include "heatherbench_commands.h"
#include "heatherbench_options.h"
#include "standins/expected_text.h"

namespace heatherroute::bench
{

namespace asio = boost::asio;

namespace
{

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;

/// A set of similar completions that are sent concurrently.
struct scenario
{
    std::string title;
    std::string model;
    std::uint32_t promptWords = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t count = 0;
    std::string priority;
};

std::string makePrompt(const scenario &kind, std::uint32_t index)
{
    std::string prompt = kind.title + " " + std::to_string(index);
    for (std::uint32_t word = 0; word < kind.promptWords; ++word) {
        prompt += " w" + std::to_string((word * 7 + index) % 997);
    }
    return prompt;
}

/// Counts and first-token times of one scenario.
struct scenario_counts
{
    std::uint32_t correct = 0;
    std::uint32_t incorrect = 0;
    std::uint32_t refused = 0;
    std::vector<std::chrono::microseconds> firstTokens;
};

asio::awaitable<void> runCompletion(const scenario &kind, std::uint32_t index, asio::ip::tcp::endpoint entry, scenario_counts &counts, std::ostream &out)
{
    completion_request request;
    request.entry = entry;
    request.model = kind.model;
    request.prompt = makePrompt(kind, index);
    request.maxTokens = kind.maxTokens;
    request.priority = kind.priority;
    const standins::expected_answer expected(request.model, request.prompt, request.maxTokens);
    const completion_result result = co_await complete(std::move(request));
    if (result.status >= 400 && result.verdict == "not_run") {
        ++counts.refused;
        co_return;
    }
    if (result.complete && result.text == expected.text()) {
        ++counts.correct;
        counts.firstTokens.push_back(result.firstToken);
        co_return;
    }
    ++counts.incorrect;
    out << "  incorrect answer: " << kind.title << " " << index << ": status " << result.status << " code '" << result.code << "', " << result.text.size()
        << " of " << expected.text().size() << " bytes\n";
}

bool runScenario(const scenario &kind, const std::vector<asio::ip::tcp::endpoint> &entries, std::ostream &out)
{
    asio::io_context context(1);
    scenario_counts counts;
    for (std::uint32_t index = 0; index < kind.count; ++index) {
        asio::co_spawn(context, runCompletion(kind, index, entries[index % entries.size()], counts, out), asio::detached);
    }
    context.run();
    const auto asMs = [](std::chrono::microseconds value) { return static_cast<double>(value.count()) / 1'000; };
    out << std::fixed << std::setprecision(1) << "  " << kind.title << ": " << counts.correct << " complete and correct, " << counts.refused
        << " rejected without running, " << counts.incorrect << " incorrect; first token " << asMs(percentile(counts.firstTokens, kMedian)) << " ms median, "
        << asMs(percentile(counts.firstTokens, kP95)) << " ms 95th percentile\n";
    return counts.incorrect == 0 && counts.correct > 0;
}

bool runService(const std::string &title,
                const std::vector<asio::ip::tcp::endpoint> &entries,
                const std::string &method,
                const std::string &target,
                const std::string &key,
                std::ostream &out)
{
    asio::io_context context(1);
    net::http_result result;
    asio::co_spawn(context,
                   callService(entries.front(), method, target, method == "GET" ? "" : "{\"slot\":\"10:30\"}", key),
                   [&result](const std::exception_ptr &, net::http_result ended) { result = std::move(ended); });
    context.run();
    const bool ok = result.answer && result.answer->status == 200;
    out << "  " << title << ": " << (result.answer ? std::to_string(result.answer->status) + " " + result.answer->body : result.failure.reason) << '\n';
    return ok;
}

} // namespace

int runDemo(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench demo", "Sends sample requests of both users through running entries and checks the answers byte by byte.");
    options.add_options()("h,help", "print this text")(
        "da-nang", "callers' addresses of the entries in this half, as IP:port[,IP:port...]", cxxopts::value<std::string>())(
        "red-pericial", "callers' addresses of the entries in this half, as IP:port[,IP:port...]", cxxopts::value<std::string>());
    const cxxopts::ParseResult parsed = parseArguments(options, arguments);
    if (parsed.count("help") > 0) {
        out << options.help();
        return 0;
    }
    const auto daNang = parseEndpoints(parsed["da-nang"].as<std::string>());
    const auto redPericial = parseEndpoints(parsed["red-pericial"].as<std::string>());
    if (!daNang || !redPericial || daNang->empty() || redPericial->empty()) {
        out << "--da-nang and --red-pericial must each list entries as IP:port[,IP:port...]\n";
        return 1;
    }
    bool ok = true;
    out << "Da Nang\n";
    ok = runScenario({"audit notes", "audit", 3'000, 24, 24, "batch"}, *daNang, out) && ok;
    ok = runService("status check", *daNang, "GET", "/svc/shop-portal/status", "", out) && ok;
    ok = runService("follow-up review booked", *daNang, "POST", "/svc/shop-portal/reviews", "review-1", out) && ok;
    out << "Red Pericial\n";
    ok = runScenario({"summaries", "assistant", 400, 80, 100, "interactive"}, *redPericial, out) && ok;
    ok = runService("expert search", *redPericial, "GET", "/svc/directory/experts?state=Jalisco", "", out) && ok;
    ok = runService("hearing booked", *redPericial, "POST", "/svc/directory/bookings", "hearing-7", out) && ok;
    return ok ? 0 : 1;
}

} // namespace heatherroute::bench
