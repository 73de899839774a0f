#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heatherroute
{

/**
 * The engine placement policies that can be selected in the settings.
 *
 * The settings and the placement code share this type, so that a name means the same policy in both.
 */
enum class placement_kind : std::uint8_t {
    Random, ///< A uniformly random upstream of the pool.
    RoundRobin, ///< Each upstream of the pool in turn.
    TwoChoices, ///< The less loaded of two random upstreams, according to load reports that lag behind.
    OwnerGrants, ///< The pair with the best predicted time to first token and token interval. Grants by owners are not implemented yet.
};

/// Returns the name used in the settings: `random`, `round_robin`, `two_choices`, `owner_grants`. Thread safe.
std::string_view toString(placement_kind value) noexcept;
/// Parses a name used in the settings; returns nothing for an unknown name. Thread safe.
std::optional<placement_kind> placementKindFrom(std::string_view name) noexcept;

} // namespace heatherroute
