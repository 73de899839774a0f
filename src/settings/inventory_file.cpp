#include "settings/inventory_file.h"

#include "settings/inventory_checks.h"
#include "settings/map_reader.h"
#include "settings/rule_reader.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{
namespace
{

using detail::integer_range;
using detail::located;
using detail::map_reader;
using detail::problem_list;

constexpr integer_range kSlotsRange = {1, 10'000};
constexpr integer_range kPiecesRange = {1, 10'000'000};
constexpr integer_range kPieceTokensRange = {1, 1'000'000};

void readEngineMemory(map_reader &reader, upstream &target)
{
    target.pieces = reader.integer("pieces", kPiecesRange);
    target.pieceTokens = reader.integer("piece_tokens", kPieceTokensRange);
    target.checksFence = reader.booleanOr("checks_fence", false);
}

void ignoreEngineMemory(map_reader &reader)
{
    for (const char *key : {"pieces", "piece_tokens", "checks_fence"}) {
        reader.ignore(key);
    }
}

upstream_state readState(map_reader &reader)
{
    if (!reader.optionalNode("state")) {
        return upstream_state::Active;
    }
    return reader.choice<upstream_state>("state", "active or leaving", parseUpstreamState).value_or(upstream_state::Active);
}

upstream readUpstream(map_reader &reader)
{
    upstream value;
    value.name = reader.name("name");
    value.address = reader.address("address");
    value.zone = reader.name("zone");
    value.half = reader.name("half");
    const std::optional<upstream_kind> kind = detail::readKind(reader);
    value.kind = kind.value_or(upstream_kind::PlainService);
    value.modelOrService = detail::readModelOrService(reader, kind);
    value.slots = reader.integer("slots", kSlotsRange);
    value.state = readState(reader);
    if (!kind) {
        ignoreEngineMemory(reader);
    } else if (*kind != upstream_kind::PlainService) {
        readEngineMemory(reader, value);
    }
    return value;
}

std::vector<located<upstream>> readUpstreams(map_reader &top, problem_list &problems)
{
    std::vector<located<upstream>> upstreams;
    const std::vector<YAML::Node> items = top.listItems("upstreams");
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string path = "upstreams[" + std::to_string(i) + "]";
        map_reader reader(items[i], path, problems);
        upstreams.push_back({readUpstream(reader), path, reader.line()});
        reader.reportUnknownKeys();
    }
    return upstreams;
}

inventory makeInventory(const std::vector<located<upstream>> &upstreams, const std::vector<located<rule>> &rules)
{
    inventory result;
    for (const auto &item : upstreams) {
        result.upstreams.push_back(item.value);
    }
    for (const auto &item : rules) {
        result.rules.push_back(item.value);
    }
    std::sort(result.upstreams.begin(), result.upstreams.end(), [](const upstream &a, const upstream &b) { return a.name < b.name; });
    std::sort(result.rules.begin(), result.rules.end(), [](const rule &a, const rule &b) { return ruleKey(a) < ruleKey(b); });
    return result;
}

std::optional<inventory> readDocument(const YAML::Node &document, problem_list &problems)
{
    map_reader top(document, "", problems);
    const std::vector<located<upstream>> upstreams = readUpstreams(top, problems);
    std::vector<located<rule>> rules;
    if (const std::optional<YAML::Node> node = top.optionalNode("rules")) {
        rules = detail::readRules(*node, problems);
    }
    top.reportUnknownKeys();
    detail::checkInventory(upstreams, rules, problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    return makeInventory(upstreams, rules);
}

} // namespace

std::optional<inventory> readInventory(std::string_view text, const std::string &fileName, std::vector<settings_problem> *problems)
{
    problem_list list(fileName);
    std::optional<inventory> result;
    if (const std::optional<YAML::Node> document = detail::loadDocument(text, list)) {
        result = readDocument(*document, list);
    }
    list.appendTo(problems);
    return result;
}

bool looksLikeInventory(std::string_view text)
{
    problem_list ignored("");
    const std::optional<YAML::Node> document = detail::loadDocument(text, ignored);
    if (!document || !document->IsMap()) {
        return false;
    }
    const auto entries = detail::mapEntries(*document, "", ignored);
    return std::any_of(entries.begin(), entries.end(), [](const auto &entry) { return entry.key == "upstreams" || entry.key == "rules"; });
}

} // namespace heatherroute
