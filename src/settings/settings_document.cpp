#include "heatherroute/settings.h"

#include "settings/settings_table.h"

namespace heatherroute
{
namespace
{

constexpr std::string_view kIntroduction = R"(# Settings of an entry

An entry reads one YAML file when it starts. `heatherctl check FILE` checks such a file without starting an entry and prints
every problem as `file:line: key: what is accepted`. Unknown keys, duplicate keys, values of the wrong type and values out of
range are rejected. Changes require a restart, except for the log level.

This page is generated from the table that the reader uses: `heatherctl settings-doc > docs/SETTINGS.md`.
)";

std::string defaultCell(const detail::settings_key &key)
{
    switch (key.presence) {
    case detail::key_presence::Required:
        return "required";
    case detail::key_presence::Defaulted:
        return "`" + key.defaultText + "`";
    case detail::key_presence::Optional:
        return key.defaultText;
    }
    return "";
}

std::string tableRow(const detail::settings_key &key)
{
    const std::string name(key.path);
    return "| `" + name + "` | " + key.type + " | " + key.accepted + " | " + defaultCell(key) + " | " + key.unit + " | " + key.doc + " |\n";
}

std::string tableHead(std::string_view group)
{
    const std::string title = group.empty() ? "Top level" : "`" + std::string(group) + "`";
    return "\n## " + title + "\n\n| key | type | accepted | default | unit | meaning |\n|---|---|---|---|---|---|\n";
}

// The groups without duplicates in the order of the table, starting with the top level.
std::vector<std::string_view> groupsInOrder()
{
    std::vector<std::string_view> groups = {""};
    for (const detail::settings_key &key : detail::settingsTable()) {
        const std::string_view group = detail::groupOf(key.path);
        if (!group.empty() && group != groups.back()) {
            groups.push_back(group);
        }
    }
    return groups;
}

} // namespace

std::string settingsDocument()
{
    std::string text(kIntroduction);
    for (const std::string_view group : groupsInOrder()) {
        text += tableHead(group);
        for (const detail::settings_key &key : detail::settingsTable()) {
            if (detail::groupOf(key.path) == group) {
                text += tableRow(key);
            }
        }
    }
    return text;
}

} // namespace heatherroute
