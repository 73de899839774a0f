#pragma once

#include <string>
#include <vector>

namespace heatherroute
{

/// Formats @p rows as lines of text with aligned columns, separated by two spaces. For human-readable output. Thread safe.
std::string alignedTable(const std::vector<std::vector<std::string>> &rows);

} // namespace heatherroute
