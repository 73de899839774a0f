#pragma once

#include "heatherroute/peer_serialize.h"
#include "heatherroute/upstream_instance.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

/**
 * Messages about upstreams that limit the requests they take from all entries together.
 *
 * Every message fits one datagram and may be lost, late or repeated.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxLimitReportsPerMessage = 12;
inline constexpr std::size_t kMaxLimitedInstanceIdBytes = 64;

/// What an entry knows about the limit of an upstream.
struct limit_report
{
    upstream_instance instance;
    bool isLimited = false; ///< False once an answer named no limit.
    double perSecond = 0.0; ///< Requests a second that the upstream takes from all entries; 0 without a limit.
    std::uint32_t ageMs = 0; ///< Time since the request was sent whose answer said so.

    auto operator<=>(const limit_report &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t limited = isLimited ? 1 : 0;
        archive(instance.startedAt, limited, perSecond, ageMs);
        serializeText(archive, instance.id, kMaxLimitedInstanceIdBytes);
        isLimited = limited != 0;
    }
};

/// Limits that have changed, or of which the receiver may not know.
struct limit_reports
{
    std::vector<limit_report> reports;

    auto operator<=>(const limit_reports &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeList(archive, reports, kMaxLimitReportsPerMessage);
    }
};

/// Asks the coordinator of an upstream for permits.
struct permit_request
{
    std::uint32_t number = 0; ///< Copied into the reply.
    std::uint32_t permits = 1;
    limit_report limit; ///< What the sender knows about the upstream.

    auto operator<=>(const permit_request &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, permits, limit);
    }
};

/// Answers a permit_request.
struct permit_reply
{
    std::uint32_t number = 0;
    std::uint32_t granted = 0; ///< All requested permits, or none.
    std::uint32_t waitMs = 0; ///< When none were granted: time until another request is worthwhile.
    limit_report limit; ///< What the coordinator knows about the upstream.

    auto operator<=>(const permit_reply &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, granted, waitMs, limit);
    }
};

/// Any message about limits.
using rate_limit_message = std::variant<limit_reports, permit_request, permit_reply>;

} // namespace heatherroute
