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

/// The accepted range of an integer, both ends included.
struct integer_range
{
    std::uint32_t min = 0;
    std::uint32_t max = 0;
};

/**
 * Reads a YAML mapping key by key and reports unknown keys.
 *
 * When a required key is missing or a value is invalid, the methods add a problem and return an empty value (0 for an integer,
 * the fallback for a boolean), so that reading continues and finds all problems. Not thread safe; the problem list must outlive
 * the reader.
 */
class map_reader
{
public:
    map_reader(const YAML::Node &node, std::string path, problem_list &problems);

    /// Reads a required name that `parseName` accepts.
    std::string name(const std::string &key);
    /// Reads a required address that `parseAddress` accepts, with a port of at least 1.
    std::string address(const std::string &key);
    /// Reads a required integer.
    std::uint32_t integer(const std::string &key, integer_range range);
    /// Reads an integer; returns @p fallback when the key is absent.
    std::uint32_t integerOr(const std::string &key, integer_range range, std::uint32_t fallback);
    /// Reads `true` or `false`; returns @p fallback when the key is absent.
    bool booleanOr(const std::string &key, bool fallback);
    /// The node of an optional key; empty when the key is absent.
    std::optional<YAML::Node> optionalNode(const std::string &key);
    /// The node of a required key; @p accepted describes the accepted values in the message when the key is missing.
    std::optional<YAML::Node> requiredNode(const std::string &key, const std::string &accepted);
    /// The items of an optional list; empty when the key is absent.
    std::vector<YAML::Node> listItems(const std::string &key);

    /// Reads a required key whose text is converted by @p parse; returns empty when the key is missing or its value is invalid.
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
            reportInvalid(*node, key, accepted);
        }
        return value;
    }

    /// Accepts @p key without reading it. For keys whose validity depends on another value that is itself invalid.
    void ignore(const std::string &key);
    /// Adds a problem: the value @p node of @p key is invalid, and @p accepted describes the accepted values.
    void reportInvalid(const YAML::Node &node, const std::string &key, const std::string &accepted);
    /// Adds a problem for each key of the mapping that was neither read nor ignored. Call this last.
    void reportUnknownKeys();

    const std::string &path() const noexcept;
    int line() const noexcept;

private:
    std::string m_path;
    int m_line;
    problem_list &m_problems;
    std::map<std::string, yaml_entry> m_entries;
    std::vector<std::string> m_knownKeys;
};

} // namespace heatherroute::detail
