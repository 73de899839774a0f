#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heatherroute
{

/**
 * The policies by which an entry chooses engines, as the settings name them.
 *
 * The settings and the placement share it, so that a name means the same policy everywhere.
 */
enum class placement_kind : std::uint8_t {
    Random, ///< Any upstream of the pool.
    RoundRobin, ///< Each upstream in turn.
    TwoChoices, ///< The less loaded of two random ones, by lagging load reports.
    OwnerGrants, ///< The pair with the best predicted first token and pace. The choice by grants of owners is still to come.
};

/// The name in the settings: `random`, `round_robin`, `two_choices`, `owner_grants`. Thread safe.
std::string_view toString(placement_kind value) noexcept;
/// Reads a name of the settings; empty for an unknown one. Thread safe.
std::optional<placement_kind> placementKindFrom(std::string_view name) noexcept;

} // namespace heatherroute
