#include "telemetry/text_table.h"

#include <algorithm>
#include <cstddef>

namespace heatherroute
{

std::string alignedTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool isLast = i + 1 == row.size();
            text += isLast ? row[i] : row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        text += "\n";
    }
    return text;
}

} // namespace heatherroute
