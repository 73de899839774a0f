#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace heatherroute::detail
{

/**
 * Maps the values of an enumeration to their names and back.
 *
 * Precondition: the enumerators are numbered from 0 without gaps. Thread safe.
 */
template<typename Enum, std::size_t Count>
struct enum_names
{
    std::array<std::string_view, Count> names; ///< The names in the order of the enumerators.

    constexpr std::string_view nameOf(Enum value) const noexcept
    {
        return names[static_cast<std::size_t>(value)];
    }

    constexpr std::optional<Enum> find(std::string_view text) const noexcept
    {
        for (std::size_t i = 0; i < Count; ++i) {
            if (names[i] == text) {
                return static_cast<Enum>(i);
            }
        }
        return std::nullopt;
    }
};

} // namespace heatherroute::detail
