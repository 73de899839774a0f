#pragma once

#include "heatherroute/settings_problem.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::detail
{

/**
 * Collects the problems of one file.
 *
 * Not thread safe.
 */
class problem_list
{
public:
    explicit problem_list(std::string fileName);

    /// Adds a problem at @p line, which starts at 1.
    void add(int line, const std::string &key, const std::string &message);
    /// Adds a problem at the location of @p node.
    void add(const YAML::Node &node, const std::string &key, const std::string &message);

    bool empty() const noexcept;
    /// Appends all problems to @p target, ordered by line; does nothing when @p target is null.
    void appendTo(std::vector<settings_problem> *target) const;

private:
    std::string m_fileName;
    std::vector<settings_problem> m_problems;
};

/// The line number of @p node, starting at 1.
int lineOf(const YAML::Node &node);

/// The path of @p key in @p parent, joined by a dot; @p key alone when @p parent is empty.
std::string joinPath(const std::string &parent, const std::string &key);

/**
 * Parses the single YAML document in @p text; on failure returns empty and adds a problem to @p problems.
 *
 * A text that is larger than 16 MiB, nested deeper than 32 levels or on which the parser makes no progress is rejected as well,
 * so that no file can exhaust the memory or the time of the process.
 */
std::optional<YAML::Node> loadDocument(std::string_view text, problem_list &problems);

/// A key of a mapping and its value.
struct yaml_entry
{
    std::string key;
    YAML::Node keyNode;
    YAML::Node value;
};

/**
 * The entries of the mapping @p node in the order of the file.
 *
 * yaml-cpp accepts duplicate keys and looks up only the first of them, so this function detects them. It adds a problem for a
 * node that is not a mapping, for a key that is not a scalar and for a duplicate key, and omits those entries.
 */
std::vector<yaml_entry> mapEntries(const YAML::Node &node, const std::string &path, problem_list &problems);

/**
 * Parsers of scalars.
 *
 * Each returns an empty optional when the node does not have the expected form. Numbers consist of decimal digits without
 * quotes, sign or base prefix, because YAML parsers interpret those differently.
 */
std::optional<std::string> parseText(const YAML::Node &node);
std::optional<std::uint64_t> parseInteger(const YAML::Node &node, std::uint64_t min, std::uint64_t max);
/// Parses a decimal number with an optional fraction and without an exponent.
std::optional<double> parseReal(const YAML::Node &node, double min, double max);
std::optional<bool> parseBoolean(const YAML::Node &node);
/// Parses a name: at most 64 letters, digits, `.`, `_` or `-`, starting with a letter or digit.
std::optional<std::string> parseName(const YAML::Node &node);
/// Parses an address `IP:port` with a numeric IPv4 address or an IPv6 address in brackets, and a port of at least @p minPort.
std::optional<std::string> parseAddress(const YAML::Node &node, std::uint32_t minPort);

/// Describes what `parseName` accepts, for messages.
constexpr std::string_view kNameAccepted = "a name of at most 64 letters, digits, '.', '_' or '-', the first a letter or digit";

/// Describes what `parseInteger` accepts, for messages.
std::string integerAccepted(std::uint64_t min, std::uint64_t max);

/// Describes what `parseReal` accepts, for messages.
std::string realAccepted(double min, double max);

/// Describes what `parseAddress` accepts, for messages.
std::string addressAccepted(std::uint32_t minPort);

/// @p words joined by ", ".
std::string joinWords(const std::vector<std::string> &words);

} // namespace heatherroute::detail
