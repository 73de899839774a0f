#pragma once

#include <string>
#include <vector>

namespace heatherroute
{

/// @p rows as lines whose columns are aligned, two blanks apart. For output that people read. Thread safe.
std::string alignedTable(const std::vector<std::vector<std::string>> &rows);

} // namespace heatherroute
