#pragma once

#include "heatherroute/peer_serialize.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

/**
 * Messages between an entry and the coordinator of a team's quota.
 *
 * Every message fits one datagram and may be lost, late or repeated.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxTeamNameBytes = 64;

/// Asks the coordinator of @c team to charge the cost of one request to the team's quota.
struct quota_request
{
    std::uint32_t number = 0; ///< Copied into the reply.
    std::string team;
    std::uint32_t cost = 0;
    std::uint64_t configVersion = 0; ///< Of the configuration that the limits below come from.
    double perSecond = 0.0;
    double burst = 0.0;

    auto operator<=>(const quota_request &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, cost, configVersion, perSecond, burst);
        serializeText(archive, team, kMaxTeamNameBytes);
    }
};

/// Answers a quota_request.
struct quota_reply
{
    std::uint32_t number = 0;
    bool granted = false;
    std::uint32_t waitMs = 0; ///< If not granted: time until the cost would fit.

    auto operator<=>(const quota_reply &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t isGranted = granted ? 1 : 0;
        archive(number, isGranted, waitMs);
        granted = isGranted != 0;
    }
};

/// Returns what was charged for a request that didn't run.
struct quota_refund
{
    std::string team;
    std::uint32_t cost = 0;
    std::uint32_t number = 0; ///< Of the quota_request, so that a repeated message counts once.

    auto operator<=>(const quota_refund &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(cost, number);
        serializeText(archive, team, kMaxTeamNameBytes);
    }
};

/// Any message about quotas.
using team_quota_message = std::variant<quota_request, quota_reply, quota_refund>;

} // namespace heatherroute
