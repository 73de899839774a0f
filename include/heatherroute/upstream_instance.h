#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherroute
{

/// One run of an upstream, from its start to its end.
struct upstream_instance
{
    std::string id;
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 when unknown.

    auto operator<=>(const upstream_instance &) const = default;
};

} // namespace heatherroute
