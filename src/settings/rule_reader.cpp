#include "settings/rule_reader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heatherroute::detail
{
namespace
{

constexpr integer_range kWeightRange = {1, 1000};
constexpr integer_range kConcurrentRange = {1, 1'000'000};
constexpr integer_range kTokensRange = {1, 10'000'000};
constexpr integer_range kFloorRange = {1, 100'000};
constexpr std::uint32_t kNoLimit = 0;
constexpr std::array<std::string_view, 7> kMethods = {"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
constexpr const char *kMethodsAccepted = "a list without duplicates of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT";
constexpr const char *kPathAccepted = "a path that starts with '/', of letters, digits and '/', '.', '_', '-'";

bool isMethod(const std::string &text)
{
    return std::find(kMethods.begin(), kMethods.end(), text) != kMethods.end();
}

bool isPath(const std::string &text)
{
    constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789/._-";
    return !text.empty() && text.front() == '/' && text.find_first_not_of(kAllowed) == std::string::npos;
}

// Reads a list without duplicates, whose items `accept` parses, and sorts it.
std::vector<std::string>
readWords(map_reader &reader, const std::string &key, const std::string &accepted, const std::function<std::optional<std::string>(const YAML::Node &)> &accept)
{
    std::vector<std::string> words;
    for (const YAML::Node &item : reader.listItems(key)) {
        const std::optional<std::string> word = accept(item);
        if (!word || std::find(words.begin(), words.end(), *word) != words.end()) {
            reader.reportInvalid(item, key, accepted);
            continue;
        }
        words.push_back(*word);
    }
    std::sort(words.begin(), words.end());
    return words;
}

std::optional<std::string> acceptMethod(const YAML::Node &node)
{
    std::optional<std::string> text = parseText(node);
    return text && isMethod(*text) ? text : std::nullopt;
}

std::optional<std::string> parsePath(std::string_view text)
{
    std::string path(text);
    return isPath(path) ? std::optional<std::string>(std::move(path)) : std::nullopt;
}

rule readTeam(map_reader &reader)
{
    team_rule team;
    team.name = reader.name("name");
    team.weight = reader.integerOr("weight", kWeightRange, 1);
    team.maxConcurrent = reader.integerOr("max_concurrent", kConcurrentRange, kNoLimit);
    return team;
}

rule readModel(map_reader &reader)
{
    model_rule model;
    model.model = reader.name("model");
    model.maxPromptTokens = reader.integerOr("max_prompt_tokens", kTokensRange, kNoLimit);
    model.maxOutputTokens = reader.integerOr("max_output_tokens", kTokensRange, kNoLimit);
    if (reader.optionalNode("version")) {
        model.version = reader.name("version");
    }
    const std::string accepted = "a list without duplicates, each " + std::string(kNameAccepted);
    model.adapters = readWords(reader, "adapters", accepted, parseName);
    return model;
}

rule readRoute(map_reader &reader)
{
    service_route route;
    route.service = reader.name("service");
    route.pathPrefix = reader.choice<std::string>("path_prefix", kPathAccepted, parsePath).value_or("");
    route.idempotentMethods = readWords(reader, "idempotent_methods", kMethodsAccepted, acceptMethod);
    return route;
}

rule readFloor(map_reader &reader)
{
    capacity_floor floor;
    floor.half = reader.name("half");
    const std::optional<upstream_kind> kind = readKind(reader);
    floor.kind = kind.value_or(upstream_kind::PlainService);
    floor.modelOrService = readModelOrService(reader, kind);
    floor.minActive = reader.integer("min_active", kFloorRange);
    return floor;
}

rule readPriority(map_reader &reader)
{
    priority_default priority;
    const bool isService = reader.optionalNode("service").has_value();
    priority.modelOrService = reader.name(isService ? "service" : "model");
    priority.priority = reader.choice<priority_class>("priority", "interactive or batch", parsePriorityClass).value_or(priority_class::Interactive);
    return priority;
}

/// A section of the file: the key of a list of rules of one kind, and the function that reads one of these rules.
struct rule_section
{
    const char *key;
    rule (*read)(map_reader &);
};

constexpr std::array<rule_section, 5> kSections = {{
    {"teams", readTeam},
    {"models", readModel},
    {"service_routes", readRoute},
    {"capacity_floors", readFloor},
    {"priority_defaults", readPriority},
}};

} // namespace

std::optional<upstream_kind> readKind(map_reader &reader)
{
    return reader.choice<upstream_kind>("kind", "one of prefill_engine, decode_engine, plain_service", parseUpstreamKind);
}

std::string readModelOrService(map_reader &reader, std::optional<upstream_kind> kind)
{
    if (!kind) {
        reader.ignore("model");
        reader.ignore("service");
        return "";
    }
    return reader.name(*kind == upstream_kind::PlainService ? "service" : "model");
}

std::vector<located<rule>> readRules(const YAML::Node &node, problem_list &problems)
{
    std::vector<located<rule>> rules;
    map_reader sections(node, "rules", problems);
    for (const rule_section &section : kSections) {
        const std::vector<YAML::Node> items = sections.listItems(section.key);
        for (std::size_t i = 0; i < items.size(); ++i) {
            const std::string path = "rules." + std::string(section.key) + "[" + std::to_string(i) + "]";
            map_reader reader(items[i], path, problems);
            rules.push_back({section.read(reader), path, reader.line()});
            reader.reportUnknownKeys();
        }
    }
    sections.reportUnknownKeys();
    return rules;
}

} // namespace heatherroute::detail
