#include "heatherroute/settings.h"

#include "heatherroute/assert.h"
#include "settings/settings_names.h"
#include "settings/settings_table.h"
#include "settings/yaml_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace heatherroute
{
namespace
{

using detail::entry_values;
using detail::joinPath;
using detail::key_presence;
using detail::problem_list;
using detail::settings_key;
using detail::yaml_entry;

/// The keys found in a file. Keys are identified by their paths.
struct found_keys
{
    std::map<std::string, YAML::Node> values;
    std::map<std::string, int> groupLines; ///< The line of each group's key.
    std::set<std::string> invalid; ///< Paths of the keys whose values were invalid.
};

const settings_key *findKey(const std::string &path)
{
    const auto &table = detail::settingsTable();
    const auto key = std::find_if(table.begin(), table.end(), [&path](const settings_key &k) { return k.path == path; });
    return key == table.end() ? nullptr : &*key;
}

bool isGroup(const std::string &name)
{
    const auto &table = detail::settingsTable();
    return std::any_of(table.begin(), table.end(), [&name](const settings_key &k) { return detail::groupOf(k.path) == name; });
}

// The names of the keys accepted in `group`, or at the top level, where groups count as keys, when it is empty.
std::string acceptedNames(const std::string &group)
{
    std::vector<std::string> names;
    for (const settings_key &key : detail::settingsTable()) {
        const std::string keyGroup(detail::groupOf(key.path));
        if (!group.empty() && keyGroup != group) {
            continue;
        }
        const std::string topName = keyGroup.empty() ? key.path : keyGroup;
        const std::string name = group.empty() ? topName : key.path.substr(group.size() + 1);
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            names.push_back(name);
        }
    }
    return detail::joinWords(names);
}

void collectKeys(const YAML::Node &node, const std::string &group, found_keys &found, problem_list &problems)
{
    for (const yaml_entry &entry : detail::mapEntries(node, group, problems)) {
        const std::string path = joinPath(group, entry.key);
        if (group.empty() && isGroup(entry.key)) {
            found.groupLines.emplace(entry.key, detail::lineOf(entry.keyNode));
            collectKeys(entry.value, entry.key, found, problems);
        } else if (findKey(path) != nullptr) {
            found.values.emplace(path, entry.value);
        } else {
            problems.add(entry.keyNode, path, "unknown key; accepted here: " + acceptedNames(group));
        }
    }
}

// Stores the value of a key. Returns the nodes that are invalid; empty when all were stored.
std::vector<YAML::Node> assignValue(const settings_key &key, const YAML::Node &node, entry_values &values)
{
    if (!key.isList) {
        return key.assign(node, values) ? std::vector<YAML::Node>() : std::vector<YAML::Node>{node};
    }
    if (!node.IsSequence()) {
        return {node};
    }
    std::vector<YAML::Node> faulty;
    for (const YAML::Node &item : node) {
        if (!key.assign(item, values)) {
            faulty.push_back(item);
        }
    }
    return faulty;
}

void assignDefault(const settings_key &key, entry_values &values)
{
    const bool accepted = assignValue(key, YAML::Load(key.defaultText), values).empty();
    HR_ASSERT(accepted);
}

void reportMissing(const settings_key &key, const found_keys &found, problem_list &problems)
{
    const auto group = found.groupLines.find(std::string(detail::groupOf(key.path)));
    const int line = group == found.groupLines.end() ? 1 : group->second;
    problems.add(line, key.path, "missing; accepted: " + key.accepted);
}

void assignFound(const settings_key &key, found_keys &found, entry_values &values, problem_list &problems)
{
    const std::vector<YAML::Node> faulty = assignValue(key, found.values.at(key.path), values);
    for (const YAML::Node &node : faulty) {
        problems.add(node, key.path, "invalid value; accepted: " + key.accepted);
    }
    if (!faulty.empty()) {
        found.invalid.insert(key.path);
    }
}

void assignKey(const settings_key &key, found_keys &found, entry_values &values, problem_list &problems)
{
    if (found.values.count(key.path) > 0) {
        assignFound(key, found, values, problems);
    } else if (key.presence == key_presence::Required) {
        reportMissing(key, found, problems);
    } else if (key.presence == key_presence::Defaulted) {
        assignDefault(key, values);
    }
}

int lineOfKey(const found_keys &found, const std::string &path)
{
    const auto entry = found.values.find(path);
    return entry == found.values.end() ? 1 : detail::lineOf(entry->second);
}

/// Reports a violated relation between two keys, unless the value of one of them was already invalid.
class relation_checker
{
public:
    relation_checker(const found_keys &found, problem_list &problems)
        : m_found(found)
        , m_problems(problems)
    { }

    void require(bool holds, const std::string &path, const std::string &relation, const std::string &otherPath)
    {
        const bool refused = m_found.invalid.count(path) + m_found.invalid.count(otherPath) > 0;
        if (!holds && !refused) {
            // An absent key counts as line 1, so this is the line of the key that is present, or of the later one when both are.
            const int line = std::max(lineOfKey(m_found, path), lineOfKey(m_found, otherPath));
            m_problems.add(line, path, "must be " + relation + " " + otherPath);
        }
    }

private:
    const found_keys &m_found;
    problem_list &m_problems;
};

void checkRelations(const entry_values &values, const found_keys &found, problem_list &problems)
{
    const membership_timing &membership = values.membership;
    relation_checker checker(found, problems);
    checker.require(membership.probeTimeout < membership.probeInterval, "membership.probe_timeout_ms", "less than", "membership.probe_interval_ms");
    checker.require(membership.suspicionTimeout >= membership.probeInterval, "membership.suspicion_timeout_ms", "at least", "membership.probe_interval_ms");
    checker.require(values.config.cutOffAfter > values.config.pollWait, "config.cut_off_after_ms", "more than", "config.poll_wait_ms");
}

} // namespace

entry_settings::entry_settings(detail::entry_values values)
    : m_values(std::move(values))
{ }

std::optional<entry_settings> entry_settings::make(std::string_view text, const std::string &fileName, std::vector<settings_problem> *problems)
{
    problem_list list(fileName);
    entry_values values;
    if (const std::optional<YAML::Node> document = detail::loadDocument(text, list)) {
        found_keys found;
        collectKeys(*document, "", found, list);
        for (const settings_key &key : detail::settingsTable()) {
            assignKey(key, found, values, list);
        }
        checkRelations(values, found, list);
    }
    list.appendTo(problems);
    if (!list.empty()) {
        return std::nullopt;
    }
    return entry_settings(std::move(values));
}

std::string_view toString(placement_kind value) noexcept
{
    return detail::kPlacementNames.nameOf(value);
}

std::optional<placement_kind> placementKindFrom(std::string_view name) noexcept
{
    return detail::kPlacementNames.find(name);
}

std::string_view toString(log_level value) noexcept
{
    return detail::kLogLevelNames.nameOf(value);
}

std::string_view toString(log_format value) noexcept
{
    return detail::kLogFormatNames.nameOf(value);
}

std::optional<log_level> parseLogLevel(std::string_view text) noexcept
{
    return detail::kLogLevelNames.find(text);
}

} // namespace heatherroute
