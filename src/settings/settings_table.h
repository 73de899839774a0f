#pragma once

#include "heatherroute/settings.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::detail
{

/// How an absent key is handled.
enum class key_presence {
    Required, ///< The file is rejected.
    Defaulted, ///< The default is used.
    Optional, ///< The value remains unset.
};

/**
 * The description of one key of the settings.
 *
 * The reader, its messages and docs/SETTINGS.md are all generated from it, so they cannot differ.
 */
struct settings_key
{
    std::string path; ///< `group.name`, or `name` at the top level.
    std::string type;
    std::string accepted; ///< A description of the accepted values, including the range.
    std::string unit; ///< Empty for values without a unit.
    key_presence presence = key_presence::Required;
    std::string defaultText; ///< The default as YAML; for an optional key, a description of what applies when it is absent.
    std::string doc; ///< The meaning of the key, for the documentation.
    bool isList = false; ///< Whether the value is a list; `assign` is then called for each item.
    /// Stores the value of the node, or appends it to a list; returns false when the value is invalid.
    std::function<bool(const YAML::Node &, entry_values &)> assign;
};

/// All keys, in the order of the documentation. Thread safe.
const std::vector<settings_key> &settingsTable();

/// The group in @p path; empty for a key at the top level.
std::string_view groupOf(std::string_view path);

} // namespace heatherroute::detail
