#pragma once

#include <string>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/peer_message.h"

namespace heatherroute::bench
{

inline constexpr std::size_t kPlannedEntries = 340;

/// Returns the other entries of a fleet of the planned size.
inline std::vector<member> otherEntries()
{
    std::vector<member> others;
    for (std::size_t i = 1; i < kPlannedEntries; ++i) {
        member one;
        one.id = {"front-zone-" + std::to_string(i), i};
        one.peerAddress = "10.1.0." + std::to_string(i) + ":7660";
        others.push_back(one);
    }
    return others;
}

/// Returns the length of a message between entries, without the headers of IP and UDP.
inline double bytesOf(const peer_body &body)
{
    const auto packet = encodePeerMessage({{1, {"front-zone-1", 12'345'678'901'234}, 1'000'000}, body}, kMaxDatagramBytes, nullptr);
    return packet ? static_cast<double>(packet->size()) : 0.0;
}

} // namespace heatherroute::bench
