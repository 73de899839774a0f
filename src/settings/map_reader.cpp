#include "settings/map_reader.h"

#include <algorithm>
#include <utility>

namespace heatherroute::detail
{

map_reader::map_reader(const YAML::Node &node, std::string path, problem_list &problems)
    : m_path(std::move(path))
    , m_line(lineOf(node))
    , m_problems(problems)
{
    for (const yaml_entry &entry : mapEntries(node, m_path, problems)) {
        m_entries.emplace(entry.key, entry);
    }
}

std::string map_reader::name(const std::string &key)
{
    const std::string accepted(kNameAccepted);
    const std::optional<YAML::Node> node = requiredNode(key, accepted);
    if (!node) {
        return "";
    }
    const std::optional<std::string> value = parseName(*node);
    if (!value) {
        reportInvalid(*node, key, accepted);
    }
    return value.value_or("");
}

std::string map_reader::address(const std::string &key)
{
    constexpr std::uint32_t kMinPort = 1;
    const std::string accepted = addressAccepted(kMinPort);
    const std::optional<YAML::Node> node = requiredNode(key, accepted);
    if (!node) {
        return "";
    }
    const std::optional<std::string> value = parseAddress(*node, kMinPort);
    if (!value) {
        reportInvalid(*node, key, accepted);
    }
    return value.value_or("");
}

std::uint32_t map_reader::integer(const std::string &key, integer_range range)
{
    if (!requiredNode(key, integerAccepted(range.min, range.max))) {
        return 0;
    }
    return integerOr(key, range, 0);
}

std::uint32_t map_reader::integerOr(const std::string &key, integer_range range, std::uint32_t fallback)
{
    const std::optional<YAML::Node> node = optionalNode(key);
    if (!node) {
        return fallback;
    }
    const std::optional<std::uint64_t> value = parseInteger(*node, range.min, range.max);
    if (!value) {
        reportInvalid(*node, key, integerAccepted(range.min, range.max));
    }
    return static_cast<std::uint32_t>(value.value_or(0));
}

bool map_reader::booleanOr(const std::string &key, bool fallback)
{
    const std::optional<YAML::Node> node = optionalNode(key);
    if (!node) {
        return fallback;
    }
    const std::optional<bool> value = parseBoolean(*node);
    if (!value) {
        reportInvalid(*node, key, "true or false");
    }
    return value.value_or(fallback);
}

std::optional<YAML::Node> map_reader::optionalNode(const std::string &key)
{
    ignore(key);
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return std::nullopt;
    }
    return entry->second.value;
}

std::optional<YAML::Node> map_reader::requiredNode(const std::string &key, const std::string &accepted)
{
    std::optional<YAML::Node> node = optionalNode(key);
    if (!node) {
        m_problems.add(m_line, joinPath(m_path, key), "missing; accepted: " + accepted);
    }
    return node;
}

std::vector<YAML::Node> map_reader::listItems(const std::string &key)
{
    std::vector<YAML::Node> items;
    const std::optional<YAML::Node> node = optionalNode(key);
    if (!node) {
        return items;
    }
    if (!node->IsSequence()) {
        reportInvalid(*node, key, "a list");
        return items;
    }
    for (const YAML::Node &item : *node) {
        items.push_back(item);
    }
    return items;
}

void map_reader::ignore(const std::string &key)
{
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
        m_knownKeys.push_back(key);
    }
}

void map_reader::reportInvalid(const YAML::Node &node, const std::string &key, const std::string &accepted)
{
    m_problems.add(node, joinPath(m_path, key), "invalid value; accepted: " + accepted);
}

void map_reader::reportUnknownKeys()
{
    for (const auto &[key, entry] : m_entries) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
            m_problems.add(entry.keyNode, joinPath(m_path, key), "unknown key; accepted here: " + joinWords(m_knownKeys));
        }
    }
}

const std::string &map_reader::path() const noexcept
{
    return m_path;
}

int map_reader::line() const noexcept
{
    return m_line;
}

} // namespace heatherroute::detail
