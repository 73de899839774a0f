#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherroute
{

inline constexpr std::size_t kMaxSummaryVersions = 64;

/// A place in the store's log of registrations.
struct registrations_position
{
    std::uint64_t era = 0; ///< Of the store, 0 if it sends none.
    std::uint64_t offset = 0; ///< Of the next record.

    auto operator<=>(const registrations_position &) const = default;
};

/// A software version that upstreams of a service have been registered with.
struct seen_version
{
    std::string service;
    std::string version; ///< Empty when unknown.
    std::uint32_t ageMs = 0; ///< How long before the summary one of them was last known to be registered.

    auto operator<=>(const seen_version &) const = default;
};

/// What an entry knew of the software versions that serve, when it had read the registrations up to a position.
struct version_summary
{
    registrations_position position;
    std::uint32_t currentMs = 0; ///< For how long before the summary the entry had known all registrations without a gap.
    std::vector<seen_version> versions; ///< All that were registered within that time; at most kMaxSummaryVersions.

    auto operator<=>(const version_summary &) const = default;
};

} // namespace heatherroute
