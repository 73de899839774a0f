#pragma once

#include "heatherroute/peer_serialize.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherroute
{

inline constexpr std::size_t kMaxCutOffPools = 12;
inline constexpr std::size_t kMaxPoolNameBytes = 80;
inline constexpr std::size_t kMaxEntryAddressBytes = 64;

/// Tells another entry where this one takes requests that another entry passes on, and which pools of upstreams it doesn't reach. It may be lost,
/// late or repeated.
struct entry_reach
{
    std::uint64_t incarnation = 0; ///< Of the sender's process.
    std::uint32_t number = 0; ///< Rises with each change of the content.
    std::string address; ///< `IP:port`; empty when the sender takes no such requests.
    std::vector<std::string> cutOffPools; ///< The first ones by name.

    auto operator<=>(const entry_reach &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, number);
        serializeText(archive, address, kMaxEntryAddressBytes);
        auto count = static_cast<std::uint8_t>(cutOffPools.size());
        archive(count);
        if (count > kMaxCutOffPools) {
            throw cereal::Exception("container exceeds its limit");
        }
        cutOffPools.resize(count);
        for (std::string &pool : cutOffPools) {
            serializeText(archive, pool, kMaxPoolNameBytes);
        }
    }
};

} // namespace heatherroute
