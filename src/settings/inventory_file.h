#pragma once

#include "heatherroute/inventory.h"
#include "heatherroute/settings_problem.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute
{

/**
 * Reads an inventory from the YAML @p text. Operators write such files, and `heatherctl` checks and publishes them.
 *
 * docs/INVENTORY.md describes the format. Each file is checked on its own; whether it is consistent with the configuration in
 * force is decided when it is published.
 *
 * When there is any problem, returns an empty optional and appends all problems found to @p problems, ordered by line and with
 * @p fileName as their file; @p problems may be null. Thread safe.
 */
std::optional<inventory> readInventory(std::string_view text, const std::string &fileName, std::vector<settings_problem> *problems);

/// Whether @p text is an inventory rather than the settings of an entry: its top level has `upstreams` or `rules`. Thread safe.
bool looksLikeInventory(std::string_view text);

} // namespace heatherroute
