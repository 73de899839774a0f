#pragma once

#include "heatherroute/config_freshness.h"
#include "heatherroute/config_replica.h"
#include "heatherroute/peer_serialize.h"

#include <cstdint>
#include <optional>
#include <string>

/**
 * The messages by which entries exchange configuration state.
 *
 * A query and its reply each fit a datagram. A transfer is split into parts, each of which fits a frame.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxPartBytes = 60'000;
inline constexpr std::uint32_t kMaxParts = 512;

/// Queries the receiver's position on the log.
struct config_query
{
    std::uint64_t number = 0; ///< Copied into the reply.

    auto operator<=>(const config_query &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number);
    }
};

/// Reply to a config_query.
struct config_reply
{
    std::uint64_t number = 0;
    peer_summary summary;

    auto operator<=>(const config_reply &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t established = summary.isEstablished ? 1 : 0;
        archive(number, established, summary.next, summary.digest);
        summary.isEstablished = established != 0;
        serializeAge(archive, summary.logProofAge);
        archive(summary.snapshotNext);
        serializeAge(archive, summary.snapshotAge);
    }

private:
    template<typename Archive>
    static void serializeAge(Archive &archive, std::optional<duration> &age)
    {
        std::int64_t microseconds = age ? age->count() : -1;
        archive(microseconds);
        // Any negative number stands for an empty age. If a forged one were used as an age, it would date a freshness proof after
        // its query.
        age = microseconds >= 0 ? std::optional(duration(microseconds)) : std::nullopt;
    }
};

/// Requests records or the full state from the receiver.
struct config_pull
{
    std::uint64_t number = 0; ///< Copied into each part of the reply.
    log_offset from = 0; ///< Offset of the first record wanted.
    bool fullState = false;

    auto operator<=>(const config_pull &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t flag = fullState ? 1 : 0;
        archive(number, from, flag);
        fullState = flag != 0;
    }
};

/// One part of the reply to a config_pull; parts are sent in order on one connection.
struct config_part
{
    std::uint64_t number = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0; ///< Number of parts; at most kMaxParts.
    std::string bytes; ///< At most kMaxPartBytes.

    auto operator<=>(const config_part &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, index, count);
        if (count > kMaxParts || index >= count) {
            throw cereal::Exception("part out of range");
        }
        serializeText(archive, bytes, kMaxPartBytes);
    }
};

} // namespace heatherroute
