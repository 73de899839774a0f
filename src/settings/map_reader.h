#pragma once

#include "settings/yaml_reader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute::detail
{

/// The accepted range of a number.
struct integer_range
{
    std::uint32_t min = 0;
    std::uint32_t max = 0;
};

/**
 * Reads one mapping key by key and reports what is left over.
 *
 * Each reader adds a problem when the key is missing or its value isn't accepted, and then returns an empty value, so that
 * reading goes on and finds all faults. Not thread safe; the problem list must outlive it.
 */
class map_reader
{
public:
    map_reader(const YAML::Node &node, std::string path, problem_list &problems);

    /// A required name, as `parseName` accepts it.
    std::string name(const std::string &key);
    /// A required address, as `parseAddress` accepts it, with a port of at least 1.
    std::string address(const std::string &key);
    /// A required number.
    std::uint32_t integer(const std::string &key, integer_range range);
    /// A number, or @p fallback when the key is absent.
    std::uint32_t integerOr(const std::string &key, integer_range range, std::uint32_t fallback);
    /// `true` or `false`, or @p fallback when the key is absent.
    bool booleanOr(const std::string &key, bool fallback);
    /// The node of a key; empty when it is absent, which is no problem here.
    std::optional<YAML::Node> optionalNode(const std::string &key);
    /// The node of a required key.
    std::optional<YAML::Node> requiredNode(const std::string &key, const std::string &accepted);
    /// The items of a list; none when the key is absent.
    std::vector<YAML::Node> itemsOr(const std::string &key);

    /// A value that @p parse reads from the text of a required key; empty when missing or refused.
    template<typename Value>
    std::optional<Value> choice(const std::string &key, const std::string &accepted, const std::function<std::optional<Value>(std::string_view)> &parse)
    {
        const std::optional<YAML::Node> node = requiredNode(key, accepted);
        if (!node) {
            return std::nullopt;
        }
        const std::optional<std::string> text = parseText(*node);
        std::optional<Value> value = text ? parse(*text) : std::nullopt;
        if (!value) {
            refuse(*node, key, accepted);
        }
        return value;
    }

    /// Accepts @p key without reading it: whether it belongs here can't be told.
    void ignore(const std::string &key);
    /// Adds a problem with the value of @p key.
    void refuse(const YAML::Node &node, const std::string &key, const std::string &accepted);
    /// Adds a problem for each key that nothing has asked for. Call last.
    void finish();

    const std::string &path() const noexcept;
    int line() const noexcept;

private:
    std::string m_path;
    int m_line;
    problem_list &m_problems;
    std::map<std::string, yaml_entry> m_entries;
    std::vector<std::string> m_asked;
};

} // namespace heatherroute::detail
