#pragma once

#include "heatherroute/config_currency.h"
#include "heatherroute/config_replica.h"
#include "heatherroute/peer_serialize.h"

#include <cstdint>
#include <optional>
#include <string>

/**
 * The messages by which entries tell each other of the configuration.
 *
 * A question and its answer fit a datagram each; what a transfer carries goes in parts, each of which fits a frame.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxPartBytes = 60'000;
inline constexpr std::uint32_t kMaxParts = 512;

/// Asks for the receiver's position.
struct config_question
{
    std::uint64_t number = 0; ///< Repeated in the answer.

    auto operator<=>(const config_question &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number);
    }
};

/// Answers a config_question.
struct config_answer
{
    std::uint64_t number = 0;
    peer_summary summary;

    auto operator<=>(const config_answer &) const = default;

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
        // An age from the future would make a proof of what was never asked.
        age = microseconds >= 0 ? std::optional(duration(microseconds)) : std::nullopt;
    }
};

/// Asks for what the receiver can pass on.
struct config_pull
{
    std::uint64_t number = 0; ///< Repeated in each part of the answer.
    log_offset from = 0;
    bool whole = false;

    auto operator<=>(const config_pull &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t flag = whole ? 1 : 0;
        archive(number, from, flag);
        whole = flag != 0;
    }
};

/// One part of the answer to a config_pull; parts are sent in order on one connection.
struct config_part
{
    std::uint64_t number = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0; ///< Of parts; at most kMaxParts.
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
