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
 * Reads inventory files, which operators write and `heatherctl` checks and publishes.
 *
 * docs/INVENTORY.md describes the form. A file is checked by itself: whether it fits what is in force is decided when it is
 * published.
 */

/**
 * Reads an inventory from the YAML @p text.
 *
 * Returns an empty optional when anything is wrong, and appends every fault found to @p problems, ordered by line, with
 * @p fileName as their file; @p problems may be null. Thread safe.
 */
std::optional<inventory> readInventory(std::string_view text, const std::string &fileName, std::vector<settings_problem> *problems);

/// Whether @p text is meant as an inventory: its top level has `upstreams` or `rules`. Thread safe.
bool looksLikeInventory(std::string_view text);

} // namespace heatherroute
