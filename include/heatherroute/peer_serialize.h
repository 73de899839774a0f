#pragma once

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

/**
 * Bounded containers for cereal archives.
 *
 * cereal reads the size of a container from the input and allocates it before it reads the content, so a few forged bytes
 * could cause an allocation of any size. These functions check a two-byte length against a limit first, and lists grow
 * element by element, so that memory use is bounded by the bytes received. All throw cereal::Exception, which the codec
 * turns into a peer_drop reason. Thread safe on distinct archives.
 */

namespace heatherroute
{

namespace detail
{

/// Reads or writes a length; throws when it is over @p limit.
template<typename Archive>
std::size_t serializeLength(Archive &archive, std::size_t current, std::size_t limit)
{
    auto length = static_cast<std::uint16_t>(current);
    if constexpr (Archive::is_saving::value) {
        if (current > limit) {
            throw cereal::Exception("container exceeds its limit");
        }
    }
    archive(length);
    if (length > limit) {
        throw cereal::Exception("container exceeds its limit");
    }
    return length;
}

} // namespace detail

/// Reads or writes @p text. Precondition: @p limitBytes is at most 65,535.
template<typename Archive>
void serializeText(Archive &archive, std::string &text, std::size_t limitBytes)
{
    const std::size_t length = detail::serializeLength(archive, text.size(), limitBytes);
    if constexpr (Archive::is_loading::value) {
        text.resize(length);
    }
    archive(cereal::binary_data(text.data(), length));
}

/// Reads or writes @p items, each by its own serialize function. Precondition: @p limitItems is at most 65,535.
template<typename Archive, typename Item>
void serializeList(Archive &archive, std::vector<Item> &items, std::size_t limitItems)
{
    const std::size_t length = detail::serializeLength(archive, items.size(), limitItems);
    if constexpr (Archive::is_loading::value) {
        items.clear();
        for (std::size_t i = 0; i < length; ++i) {
            Item item{};
            archive(item);
            items.push_back(std::move(item));
        }
    } else {
        for (Item &item : items) {
            archive(item);
        }
    }
}

/// Reads or writes @p numbers. Precondition: @p limitItems is at most 65,535.
template<typename Archive>
void serializeNumbers(Archive &archive, std::vector<std::uint64_t> &numbers, std::size_t limitItems)
{
    numbers.resize(detail::serializeLength(archive, numbers.size(), limitItems));
    for (std::uint64_t &number : numbers) {
        archive(number);
    }
}

/// Reads or writes an enumeration; throws on a value over @p last.
template<typename Archive, typename Enum>
void serializeEnum(Archive &archive, Enum &value, Enum last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number > static_cast<std::uint8_t>(last)) {
        throw cereal::Exception("enumerator out of range");
    }
    value = static_cast<Enum>(number);
}

} // namespace heatherroute
