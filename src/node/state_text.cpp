#include "node/state_text.h"

#include <boost/json.hpp>

#include <vector>

#include "telemetry/log.h"
#include "telemetry/metrics_registry.h"
#include "telemetry/text_table.h"

namespace heatherroute::node
{

namespace json = boost::json;

namespace
{

std::string scalarText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

json::object parseObject(const std::string &document)
{
    json::error_code error;
    json::value value = json::parse(document, error);
    return error || !value.is_object() ? json::object{} : std::move(value.get_object());
}

bool isTable(const json::value &value)
{
    const json::array *rows = value.if_array();
    return rows != nullptr && !rows->empty() && rows->front().is_object();
}

std::string tableText(const json::array &rows)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto &member : rows.front().get_object()) {
        lines.front().emplace_back(member.key());
    }
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        for (const std::string &column : lines.front()) {
            const json::value *cell = row.is_object() ? row.get_object().if_contains(column) : nullptr;
            line.push_back(cell == nullptr ? "-" : scalarText(*cell));
        }
        lines.push_back(std::move(line));
    }
    return alignedTable(lines);
}

void addScalars(const json::object &object, const std::string &prefix, std::vector<std::vector<std::string>> &lines)
{
    for (const auto &member : object) {
        const std::string name = prefix + std::string(member.key());
        if (member.value().is_object()) {
            addScalars(member.value().get_object(), name + ".", lines);
        } else if (!isTable(member.value())) {
            lines.push_back({name, scalarText(member.value())});
        }
    }
}

double numberOf(const json::value *value)
{
    if (value == nullptr) {
        return 0;
    }
    if (value->is_bool()) {
        return value->get_bool() ? 1 : 0;
    }
    return value->is_number() ? value->to_number<double>() : 0;
}

void addGauge(metrics_registry &registry, const std::string &name, const std::string &help, const json::value *value)
{
    if (value != nullptr && !value->is_null()) {
        registry.gauge(name, help).value = numberOf(value);
    }
}

void addLogLineCounters(metrics_registry &registry)
{
    for (const log_level level : {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error}) {
        registry.counter("heatherroute_log_lines_total", "Log lines written", {{"level", std::string(toString(level))}}).value = writtenLogLines(level);
    }
}

} // namespace

std::string stateText(const std::string &document)
{
    const json::object state = parseObject(document);
    std::vector<std::vector<std::string>> lines;
    addScalars(state, "", lines);
    std::string text = alignedTable(lines);
    for (const auto &member : state) {
        if (isTable(member.value())) {
            text += "\n" + std::string(member.key()) + "\n" + tableText(member.value().get_array());
        }
    }
    return text;
}

metrics_snapshot stateMetrics(const std::string &document)
{
    const json::object state = parseObject(document);
    metrics_registry registry;
    addGauge(registry, "heatherroute_generations", "Generations in flight", state.if_contains("generations"));
    addGauge(registry, "heatherroute_service_calls", "Calls to plain services in flight", state.if_contains("service_calls"));
    addGauge(registry, "heatherroute_unconfirmed_cancels", "Cancels that no engine has confirmed", state.if_contains("unconfirmed_cancels"));
    addGauge(registry, "heatherroute_stopping", "1 while the entry stops", state.if_contains("stopping"));
    const json::value *member = state.if_contains("configuration");
    const json::object configuration = member != nullptr && member->is_object() ? member->get_object() : json::object{};
    addGauge(registry, "heatherroute_config_next_offset", "First offset of the configuration not applied", configuration.if_contains("next"));
    addGauge(registry, "heatherroute_config_cut_off", "1 while the entry cannot tell its configuration", configuration.if_contains("cut_off"));
    if (const json::value *age = configuration.if_contains("freshness_ms")) {
        constexpr double kMillisecondsPerSecond = 1000;
        registry.gauge("heatherroute_config_age_seconds", "Age of what is known of the configuration").value = numberOf(age) / kMillisecondsPerSecond;
    }
    addLogLineCounters(registry);
    return registry.snapshot();
}

} // namespace heatherroute::node
