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

/// A measurement and what it found.
struct control_row
{
    control_case wanted;
    control_result found;
};

control_case makeCase(std::string name, std::size_t entries, std::size_t upstreams, double rate, std::size_t seconds, control_trouble trouble = {})
{
    control_case one;
    one.name = std::move(name);
    one.entries = entries;
    one.upstreams = upstreams;
    one.rate = std::max(rate, 1e-3);
    one.changes = static_cast<std::size_t>(rate * static_cast<double>(seconds));
    one.idleSeconds = seconds;
    one.trouble = trouble;
    return one;
}

constexpr std::size_t kBaseEntries = 8;
constexpr std::size_t kBaseUpstreams = 13;
constexpr double kBaseRate = 5;

/// The measurements from which slopes are taken: each varies one thing.
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

/// What goes wrong while changes are published.
std::vector<control_case> troubles(std::size_t seconds, std::size_t entries)
{
    return {makeCase("log up", entries, kBaseUpstreams, kBaseRate, seconds),
            makeCase("log slow", entries, kBaseUpstreams, kBaseRate, seconds, control_trouble::LogSlow),
            makeCase("log lost by a quarter", entries, kBaseUpstreams, kBaseRate, seconds, control_trouble::LogLostByPart),
            makeCase("a tenth frozen", entries, kBaseUpstreams, kBaseRate, seconds, control_trouble::Frozen)};
}

json::object toJson(const control_row &row)
{
    const control_result &found = row.found;
    return {{"case", row.wanted.name},
            {"entries", row.wanted.entries},
            {"upstreams", row.wanted.upstreams},
            {"changes_per_s", row.wanted.changes == 0 ? 0 : row.wanted.rate},
            {"changes", found.published},
            {"in_force_p50_ms", found.p50Ms},
            {"in_force_p99_ms", found.p99Ms},
            {"in_force_worst_ms", found.worstMs},
            {"missing", found.missing},
            {"rejected", found.rejected},
            {"agreed", found.agreed},
            {"cpu_percent_mean", found.cpuPercentMean},
            {"cpu_percent_worst", found.cpuPercentWorst},
            {"resident_mb_worst", found.residentMbWorst},
            {"anonymous_mb_worst", found.anonymousMbWorst},
            {"log_bytes_per_entry_s", found.logBytesPerEntryS},
            {"log_connections_per_entry_s", found.logConnectionsPerEntryS},
            {"peer_bytes_per_entry_s", found.peerBytesPerEntryS},
            {"platform_cpu_percent", found.platformCpuPercent},
            {"seconds", found.seconds}};
}

void printHead(std::ostream &out)
{
    out << "case                    entries upstr  chg/s  p50 ms  p99 ms worst ms missing agreed  cpu %  worst  RSS MB anon MB log B/s conn/s peer B/s "
           "platform %\n";
}

void printRow(const control_row &row, std::ostream &out)
{
    const control_result &found = row.found;
    out << std::fixed << std::left << std::setw(23) << row.wanted.name << std::right << std::setw(8) << row.wanted.entries << std::setw(6)
        << row.wanted.upstreams << std::setprecision(1) << std::setw(7) << (row.wanted.changes == 0 ? 0 : row.wanted.rate) << std::setprecision(0)
        << std::setw(8) << found.p50Ms << std::setw(8) << found.p99Ms << std::setw(9) << found.worstMs << std::setw(8) << found.missing << std::setw(7)
        << (found.agreed ? "yes" : "NO") << std::setprecision(2) << std::setw(7) << found.cpuPercentMean << std::setw(7) << found.cpuPercentWorst
        << std::setprecision(1) << std::setw(8) << found.residentMbWorst << std::setw(8) << found.anonymousMbWorst << std::setprecision(0) << std::setw(8)
        << found.logBytesPerEntryS << std::setprecision(2) << std::setw(7) << found.logConnectionsPerEntryS << std::setprecision(0) << std::setw(9)
        << found.peerBytesPerEntryS << std::setprecision(1) << std::setw(11) << found.platformCpuPercent << std::endl;
}

/// A straight line through points, by least squares.
struct fitted_line
{
    double atZero = 0;
    double slope = 0;
};

fitted_line fit(const std::vector<std::pair<double, double>> &points)
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

constexpr std::array<fitted_axis, 5> kAxes = {{
    {"entries", "entry", [](const control_row &row) { return static_cast<double>(row.wanted.entries); }},
    {"idle entries", "entry", [](const control_row &row) { return static_cast<double>(row.wanted.entries); }},
    {"upstreams", "upstream", [](const control_row &row) { return static_cast<double>(row.wanted.upstreams); }},
    {"idle upstreams", "upstream", [](const control_row &row) { return static_cast<double>(row.wanted.upstreams); }},
    {"rate", "change/s", [](const control_row &row) { return row.wanted.changes == 0 ? 0 : row.wanted.rate; }},
}};

struct fitted_measure
{
    const char *name;
    row_value value;
};

constexpr std::array<fitted_measure, 4> kMeasures = {{
    {"cpu_percent", [](const control_row &row) { return row.found.cpuPercentMean; }},
    {"anonymous_mb", [](const control_row &row) { return row.found.anonymousMbWorst; }},
    {"log_bytes_per_entry_s", [](const control_row &row) { return row.found.logBytesPerEntryS; }},
    {"peer_bytes_per_entry_s", [](const control_row &row) { return row.found.peerBytesPerEntryS; }},
}};

json::array slopes(const std::vector<control_row> &rows)
{
    json::array all;
    for (const fitted_axis &axis : kAxes) {
        for (const fitted_measure &measure : kMeasures) {
            std::vector<std::pair<double, double>> points;
            for (const control_row &row : rows) {
                if (row.wanted.name == axis.caseName) {
                    points.emplace_back(axis.position(row), measure.value(row));
                }
            }
            if (points.size() < 2) {
                continue;
            }
            const fitted_line line = fit(points);
            all.push_back(json::object{{"over", axis.caseName}, {"per", axis.unit}, {"of", measure.name}, {"at_zero", line.atZero}, {"slope", line.slope}});
        }
    }
    return all;
}

std::optional<control_trouble> troubleOf(const std::string &name)
{
    if (name == "none") {
        return control_trouble::None;
    }
    if (name == "slow") {
        return control_trouble::LogSlow;
    }
    if (name == "part") {
        return control_trouble::LogLostByPart;
    }
    if (name == "frozen") {
        return control_trouble::Frozen;
    }
    return std::nullopt;
}

std::vector<control_case> casesOf(const cxxopts::ParseResult &parsed)
{
    const auto seconds = parsed["seconds"].as<std::size_t>();
    const auto entries = parsed["entries"].as<std::size_t>();
    if (parsed.count("sweep") > 0) {
        return sweep(seconds, parsed["max-entries"].as<std::size_t>());
    }
    if (parsed.count("troubles") > 0) {
        return troubles(seconds, entries);
    }
    const auto trouble = troubleOf(parsed["trouble"].as<std::string>());
    if (!trouble || entries == 0) {
        return {};
    }
    control_case one = makeCase("one", entries, parsed["upstreams"].as<std::size_t>(), parsed["rate"].as<double>(), seconds, *trouble);
    one.changes = parsed["changes"].as<std::size_t>();
    return {one};
}

} // namespace

int runControlCommand(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench control", "Time until a change is in force on the last entry, and what control costs an entry.");
    auto add = options.add_options();
    add("h,help", "print this text");
    add("entries", "entries to start", cxxopts::value<std::size_t>()->default_value("8"));
    add("upstreams", "upstreams in the inventory; nothing listens at their addresses", cxxopts::value<std::size_t>()->default_value("13"));
    add("changes", "changes to publish, 0 for none", cxxopts::value<std::size_t>()->default_value("50"));
    add("rate", "changes a second", cxxopts::value<double>()->default_value("5"));
    add("seconds", "length of a measurement without changes, and of each one of a series", cxxopts::value<std::size_t>()->default_value("12"));
    add("trouble", "none, slow (log), part (a quarter loses the log), frozen (a tenth stands still)", cxxopts::value<std::string>()->default_value("none"));
    add("troubles", "all of these in turn");
    add("sweep", "a series over entries, upstreams and rate, with slopes");
    add("max-entries", "the most entries of the series", cxxopts::value<std::size_t>()->default_value("32"));
    add("programs", "folder of the built programs", cxxopts::value<std::string>()->default_value("build"));
    add("json", "print one JSON document; the table goes to standard error");
    std::vector<const char *> words;
    std::transform(arguments.begin(), arguments.end(), std::back_inserter(words), [](const std::string &one) { return one.c_str(); });
    const cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
    if (parsed.count("help") > 0) {
        out << options.help();
        return 0;
    }
    const std::vector<control_case> cases = casesOf(parsed);
    if (cases.empty()) {
        out << "nothing to measure; see --help\n";
        return 1;
    }
    const bool asJson = parsed.count("json") > 0;
    std::ostream &table = asJson ? std::cerr : out;
    std::vector<control_row> rows;
    bool isWhole = true;
    printHead(table);
    for (const control_case &wanted : cases) {
        last_reason reason;
        const auto found = runControl(wanted, parsed["programs"].as<std::string>(), &reason);
        if (!found) {
            out << wanted.name << ": " << reason.text() << '\n';
            return 1;
        }
        rows.push_back({wanted, *found});
        isWhole = isWhole && found->agreed && found->missing == 0;
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
    return isWhole ? 0 : 1;
}

} // namespace heatherroute::bench
