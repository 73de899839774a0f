#pragma once

#include "heatherroute/settings.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::detail
{

/// What the entry does when a key is absent.
enum class key_presence {
    Required, ///< The file is refused.
    Defaulted, ///< The default is used.
    Optional, ///< The value stays unset.
};

/**
 * The description of one key of the settings.
 *
 * The reader, its messages and docs/SETTINGS.md are all made from it, so they can't differ.
 */
struct settings_key
{
    std::string path; ///< `group.name`, or `name` at the top.
    std::string type;
    std::string accepted; ///< The accepted values in words, with the range.
    std::string unit; ///< Empty for values without one.
    key_presence presence = key_presence::Required;
    std::string defaultText; ///< The default as YAML; for optional keys what applies instead, in words.
    std::string doc;
    bool isList = false; ///< Whether the value is a list; `assign` is then called for each item.
    /// Stores the node's value, or appends it in a list; returns false when it isn't accepted.
    std::function<bool(const YAML::Node &, entry_values &)> assign;
};

/// All keys, in the order of the documentation. Thread safe.
const std::vector<settings_key> &settingsTable();

/// The group part of @p path; empty at the top.
std::string_view groupOf(std::string_view path);

} // namespace heatherroute::detail
