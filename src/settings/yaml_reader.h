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

    /// Adds a problem at @p line, counted from 1.
    void add(int line, const std::string &key, const std::string &message);
    /// Adds a problem at the place of @p node.
    void add(const YAML::Node &node, const std::string &key, const std::string &message);

    bool empty() const noexcept;
    /// Appends all problems to @p target, ordered by line; does nothing when @p target is null.
    void appendTo(std::vector<settings_problem> *target) const;

private:
    std::string m_fileName;
    std::vector<settings_problem> m_problems;
};

/// The line of @p node, counted from 1.
int lineOf(const YAML::Node &node);

/// The path of @p key below @p parent.
std::string joinPath(const std::string &parent, const std::string &key);

/**
 * The one YAML document in @p text; empty after a syntax error, which is added to @p problems.
 *
 * A text of more than 16 MiB, one nested deeper than 32 levels and one that the parser can't get through are refused too, so that
 * no file can take the process's memory or time.
 */
std::optional<YAML::Node> loadDocument(std::string_view text, problem_list &problems);

/// One key of a mapping with its value.
struct yaml_entry
{
    std::string key;
    YAML::Node keyNode;
    YAML::Node value;
};

/**
 * The entries of the mapping @p node in the order of the file.
 *
 * yaml-cpp keeps repeated keys and finds only the first of them, so they are looked for here. Adds a problem for a node that
 * isn't a mapping, for a key that isn't plain text and for a repeated key; those entries are left out.
 */
std::vector<yaml_entry> mapEntries(const YAML::Node &node, const std::string &path, problem_list &problems);

/**
 * Parsers of scalars.
 *
 * Each returns an empty optional when the node isn't of the wanted form. Numbers are plain decimal digits: no quotes, no
 * sign, no other base, because what YAML readers make of those differs.
 */
std::optional<std::string> parseText(const YAML::Node &node);
std::optional<std::uint64_t> parseInteger(const YAML::Node &node, std::uint64_t min, std::uint64_t max);
/// A number with or without a fraction, in plain decimal digits.
std::optional<double> parseReal(const YAML::Node &node, double min, double max);
std::optional<bool> parseBoolean(const YAML::Node &node);
/// A name: letters, digits, `.`, `_`, `-`, at most 64 of them, first a letter or digit.
std::optional<std::string> parseName(const YAML::Node &node);
/// An address `IP:port` with a numeric IPv4 address or an IPv6 address in brackets, and a port of at least @p minPort.
std::optional<std::string> parseAddress(const YAML::Node &node, std::uint32_t minPort);

/// What `parseName` accepts, for messages.
constexpr std::string_view kNameAccepted = "a name of at most 64 letters, digits, '.', '_' or '-', the first a letter or digit";

/// What `parseInteger` accepts, for messages.
std::string integerAccepted(std::uint64_t min, std::uint64_t max);

/// What `parseReal` accepts, for messages.
std::string realAccepted(double min, double max);

/// What `parseAddress` accepts, for messages.
std::string addressAccepted(std::uint32_t minPort);

/// @p words joined by ", ".
std::string joinWords(const std::vector<std::string> &words);

} // namespace heatherroute::detail
