#include <boost/json.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <ostream>

#include "heatherbench_commands.h"
#include "heatherbench_control_run.h"

namespace heatherroute::bench
{

namespace json = boost::json;

namespace
{

/// The parameters and results of one measurement.
struct control_row
{
    control_case benchCase;
    control_result result;
};

control_case makeCase(std::string name, std::size_t entries, std::size_t upstreams, double rate, std::size_t seconds, control_fault fault = {})
{
    control_case benchCase;
    benchCase.name = std::move(name);
    benchCase.entries = entries;
    benchCase.upstreams = upstreams;
    benchCase.rate = std::max(rate, 1e-3); // The measurement divides by the rate, also when there are no changes.
    benchCase.changes = static_cast<std::size_t>(rate * static_cast<double>(seconds));
    benchCase.idleSeconds = seconds;
    benchCase.fault = fault;
    return benchCase;
}

constexpr std::size_t kBaseEntries = 8;
constexpr std::size_t kBaseUpstreams = 13;
constexpr double kBaseRate = 5;

/// Returns the measurements to which lines are fitted; each series varies one parameter.
std::vector<control_case> sweep(std::size_t seconds, std::size_t maxEntries)
{
    std::vector<control_case> cases;
    for (const std::size_t entries : {4, 8, 16, 32, 64}) {
        if (entries <= maxEntries) {
            cases.push_back(makeCase("entries", entries, kBaseUpstreams, kBaseRate, seconds));
        }
    }
    for (const std::size_t entries : {4, 8, 16, 32, 64}) {
        if (entries <= maxEntries) {
            cases.push_back(makeCase("idle entries", entries, kBaseUpstreams, 0, seconds));
        }
    }
    for (const std::size_t upstreams : {13, 400, 1600, 6400}) {
        cases.push_back(makeCase("upstreams", kBaseEntries, upstreams, kBaseRate, seconds));
    }
    for (const std::size_t upstreams : {13, 400, 1600, 6400}) {
        cases.push_back(makeCase("idle upstreams", kBaseEntries, upstreams, 0, seconds));
    }
    for (const double rate : {0.0, 1.0, 5.0, 20.0, 80.0}) {
        cases.push_back(makeCase("rate", kBaseEntries, 400, rate, seconds));
    }
    return cases;
}

/// Returns one measurement without a fault and one for each fault.
std::vector<control_case> faultCases(std::size_t seconds, std::size_t entries)
{
    return {makeCase("log up", entries, kBaseUpstreams, kBaseRate, seconds),
            makeCase("log slow", entries, kBaseUpstreams, kBaseRate, seconds, control_fault::LogSlow),
            makeCase("log lost by a quarter", entries, kBaseUpstreams, kBaseRate, seconds, control_fault::LogLostByQuarter),
            makeCase("a tenth frozen", entries, kBaseUpstreams, kBaseRate, seconds, control_fault::Frozen)};
}

json::object toJson(const control_row &row)
{
    const control_result &result = row.result;
    return {{"case", row.benchCase.name},
            {"entries", row.benchCase.entries},
            {"upstreams", row.benchCase.upstreams},
            {"changes_per_s", row.benchCase.changes == 0 ? 0 : row.benchCase.rate},
            {"changes", result.published},
            {"in_force_p50_ms", result.p50Ms},
            {"in_force_p99_ms", result.p99Ms},
            {"in_force_worst_ms", result.worstMs},
            {"missing", result.missing},
            {"rejected", result.rejected},
            {"agreed", result.agreed},
            {"cpu_percent_mean", result.cpuPercentMean},
            {"cpu_percent_worst", result.cpuPercentWorst},
            {"resident_mb_worst", result.residentMbWorst},
            {"anonymous_mb_worst", result.anonymousMbWorst},
            {"log_bytes_per_entry_s", result.logBytesPerEntryS},
            {"log_connections_per_entry_s", result.logConnectionsPerEntryS},
            {"peer_bytes_per_entry_s", result.peerBytesPerEntryS},
            {"platform_cpu_percent", result.platformCpuPercent},
            {"seconds", result.seconds}};
}

void printHead(std::ostream &out)
{
    out << "case                    entries upstr  chg/s  p50 ms  p99 ms worst ms missing agreed  cpu %  worst  RSS MB anon MB log B/s conn/s peer B/s "
           "platform %\n";
}

void printRow(const control_row &row, std::ostream &out)
{
    const control_result &result = row.result;
    out << std::fixed << std::left << std::setw(23) << row.benchCase.name << std::right << std::setw(8) << row.benchCase.entries << std::setw(6)
        << row.benchCase.upstreams << std::setprecision(1) << std::setw(7) << (row.benchCase.changes == 0 ? 0 : row.benchCase.rate) << std::setprecision(0)
        << std::setw(8) << result.p50Ms << std::setw(8) << result.p99Ms << std::setw(9) << result.worstMs << std::setw(8) << result.missing << std::setw(7)
        << (result.agreed ? "yes" : "NO") << std::setprecision(2) << std::setw(7) << result.cpuPercentMean << std::setw(7) << result.cpuPercentWorst
        << std::setprecision(1) << std::setw(8) << result.residentMbWorst << std::setw(8) << result.anonymousMbWorst << std::setprecision(0) << std::setw(8)
        << result.logBytesPerEntryS << std::setprecision(2) << std::setw(7) << result.logConnectionsPerEntryS << std::setprecision(0) << std::setw(9)
        << result.peerBytesPerEntryS << std::setprecision(1) << std::setw(11) << result.platformCpuPercent << std::endl;
}

/// A straight line fitted by least squares.
struct fitted_line
{
    double intercept = 0;
    double slope = 0;
};

fitted_line fitLine(const std::vector<std::pair<double, double>> &points)
{
    double x = 0;
    double y = 0;
    for (const auto &[pointX, pointY] : points) {
        x += pointX / static_cast<double>(points.size());
        y += pointY / static_cast<double>(points.size());
    }
    double products = 0;
    double squares = 0;
    for (const auto &[pointX, pointY] : points) {
        products += (pointX - x) * (pointY - y);
        squares += (pointX - x) * (pointX - x);
    }
    const double slope = squares == 0 ? 0 : products / squares;
    return {y - slope * x, slope};
}

using row_value = double (*)(const control_row &row);

struct fitted_axis
{
    const char *caseName;
    const char *unit;
    row_value position;
};

constexpr std::array<fitted_axis, 5> kFittedAxes = {{
    {"entries", "entry", [](const control_row &row) { return static_cast<double>(row.benchCase.entries); }},
    {"idle entries", "entry", [](const control_row &row) { return static_cast<double>(row.benchCase.entries); }},
    {"upstreams", "upstream", [](const control_row &row) { return static_cast<double>(row.benchCase.upstreams); }},
    {"idle upstreams", "upstream", [](const control_row &row) { return static_cast<double>(row.benchCase.upstreams); }},
    {"rate", "change/s", [](const control_row &row) { return row.benchCase.changes == 0 ? 0 : row.benchCase.rate; }},
}};

struct fitted_measure
{
    const char *name;
    row_value value;
};

constexpr std::array<fitted_measure, 4> kFittedMeasures = {{
    {"cpu_percent", [](const control_row &row) { return row.result.cpuPercentMean; }},
    {"anonymous_mb", [](const control_row &row) { return row.result.anonymousMbWorst; }},
    {"log_bytes_per_entry_s", [](const control_row &row) { return row.result.logBytesPerEntryS; }},
    {"peer_bytes_per_entry_s", [](const control_row &row) { return row.result.peerBytesPerEntryS; }},
}};

json::array slopes(const std::vector<control_row> &rows)
{
    json::array all;
    for (const fitted_axis &axis : kFittedAxes) {
        for (const fitted_measure &measure : kFittedMeasures) {
            std::vector<std::pair<double, double>> points;
            for (const control_row &row : rows) {
                if (row.benchCase.name == axis.caseName) {
                    points.emplace_back(axis.position(row), measure.value(row));
                }
            }
            if (points.size() < 2) {
                continue;
            }
            const fitted_line line = fitLine(points);
            all.push_back(json::object{{"over", axis.caseName}, {"per", axis.unit}, {"of", measure.name}, {"at_zero", line.intercept}, {"slope", line.slope}});
        }
    }
    return all;
}

std::optional<control_fault> parseFault(const std::string &name)
{
    if (name == "none") {
        return control_fault::None;
    }
    if (name == "slow") {
        return control_fault::LogSlow;
    }
    if (name == "part") {
        return control_fault::LogLostByQuarter;
    }
    if (name == "frozen") {
        return control_fault::Frozen;
    }
    return std::nullopt;
}

std::vector<control_case> makeCases(const cxxopts::ParseResult &parsed)
{
    const auto seconds = parsed["seconds"].as<std::size_t>();
    const auto entries = parsed["entries"].as<std::size_t>();
    if (parsed.count("sweep") > 0) {
        return sweep(seconds, parsed["max-entries"].as<std::size_t>());
    }
    if (parsed.count("troubles") > 0) {
        return faultCases(seconds, entries);
    }
    const auto fault = parseFault(parsed["trouble"].as<std::string>());
    if (!fault || entries == 0) {
        return {};
    }
    control_case benchCase = makeCase("one", entries, parsed["upstreams"].as<std::size_t>(), parsed["rate"].as<double>(), seconds, *fault);
    benchCase.changes = parsed["changes"].as<std::size_t>();
    return {benchCase};
}

} // namespace

int runControlCommand(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench control",
                             "Time until a configuration change is in force on the last entry, and the cost of the control plane per entry.");
    auto add = options.add_options();
    add("h,help", "print this text");
    add("entries", "entries to start", cxxopts::value<std::size_t>()->default_value("8"));
    add("upstreams", "upstreams in the inventory; nothing listens at their addresses", cxxopts::value<std::size_t>()->default_value("13"));
    add("changes", "changes to publish, 0 for none", cxxopts::value<std::size_t>()->default_value("50"));
    add("rate", "changes per second", cxxopts::value<double>()->default_value("5"));
    add("seconds", "length of a measurement without changes, and of each measurement in a series", cxxopts::value<std::size_t>()->default_value("12"));
    add("trouble",
        "fault to inject: none, slow (the log responds late), part (a quarter of the entries loses the log), frozen (a tenth of the entries is paused)",
        cxxopts::value<std::string>()->default_value("none"));
    add("troubles", "run a series over all faults");
    add("sweep", "run series over entries, upstreams and rate, and fit lines to them");
    add("max-entries", "maximum number of entries in the series", cxxopts::value<std::size_t>()->default_value("32"));
    add("programs", "directory of the built programs", cxxopts::value<std::string>()->default_value("build"));
    add("json", "print one JSON document; the table goes to standard error");
    std::vector<const char *> argv;
    std::transform(arguments.begin(), arguments.end(), std::back_inserter(argv), [](const std::string &argument) { return argument.c_str(); });
    const cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
        out << options.help();
        return 0;
    }
    const std::vector<control_case> cases = makeCases(parsed);
    if (cases.empty()) {
        out << "heatherbench control: --trouble is unknown, or there are no entries to measure; see --help\n";
        return 1;
    }
    const bool asJson = parsed.count("json") > 0;
    std::ostream &table = asJson ? std::cerr : out;
    std::vector<control_row> rows;
    bool succeeded = true;
    printHead(table);
    for (const control_case &benchCase : cases) {
        last_reason reason;
        const auto result = runControl(benchCase, parsed["programs"].as<std::string>(), &reason);
        if (!result) {
            out << benchCase.name << ": " << reason.text() << '\n';
            return 1;
        }
        rows.push_back({benchCase, *result});
        succeeded = succeeded && result->agreed && result->missing == 0;
        printRow(rows.back(), table);
    }
    const json::array lines = slopes(rows);
    if (asJson) {
        json::array list;
        std::transform(rows.begin(), rows.end(), std::back_inserter(list), toJson);
        out << json::serialize(json::object{{"rows", std::move(list)}, {"slopes", lines}}) << '\n';
    }
    for (const json::value &line : lines) {
        table << json::serialize(line) << '\n';
    }
    return succeeded ? 0 : 1;
}

} // namespace heatherroute::bench
