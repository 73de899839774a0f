#pragma once

#include "heatherroute/peer_serialize.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * Messages about the software versions that began streams.
 *
 * A stream may go on only at the version that began it, at whichever entry its caller comes back. Each message fits one datagram and may be
 * lost, late or repeated.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxOriginTextBytes = 64;
inline constexpr std::size_t kMaxOriginsPerBatch = 7; ///< With texts of any length they fit one datagram.

/// The software version of the upstreams that may go on with a stream.
struct stream_origin
{
    std::uint64_t stream = 0; ///< Hash of the id of the caller's attempt that began the stream.
    std::uint32_t revision = 1; ///< Increases if the attempt changes to another version, which it may do before its first event.
    std::uint32_t lifeMs = 0; ///< For how much longer the caller may come back.
    std::string service;
    std::string version;

    auto operator<=>(const stream_origin &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(stream, revision, lifeMs);
        serializeText(archive, service, kMaxOriginTextBytes);
        serializeText(archive, version, kMaxOriginTextBytes);
    }
};

/// Asks the receiver to remember an origin and to acknowledge that.
struct stream_origin_report
{
    std::uint32_t number = 0; ///< Copied into the acknowledgement; 0 if none is wanted.
    stream_origin origin;

    auto operator<=>(const stream_origin_report &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, origin);
    }
};

/// Acknowledges a stream_origin_report.
struct stream_origin_ack
{
    std::uint32_t number = 0;

    auto operator<=>(const stream_origin_ack &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number);
    }
};

/// Asks for the origin of a stream.
struct stream_origin_query
{
    std::uint32_t number = 0; ///< Copied into the reply.
    std::uint64_t stream = 0;
    std::uint32_t windowMs = 0; ///< How long ago the stream can have begun.
    std::string service;

    auto operator<=>(const stream_origin_query &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, stream, windowMs);
        serializeText(archive, service, kMaxOriginTextBytes);
    }
};

/// Answers a stream_origin_query.
struct stream_origin_reply
{
    std::uint32_t number = 0;
    bool isKnown = false;
    stream_origin origin; ///< Meaningful only if it is known.

    auto operator<=>(const stream_origin_reply &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t known = isKnown ? 1 : 0;
        archive(number, known, origin);
        isKnown = known != 0;
    }
};

/// Asks the receiver to record the origins of streams that have begun. It isn't acknowledged.
struct stream_origin_batch
{
    std::vector<stream_origin> origins;

    auto operator<=>(const stream_origin_batch &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeList(archive, origins, kMaxOriginsPerBatch);
    }
};

/// Asks the receiver to record an origin at once, and to acknowledge it when the store holds the record.
struct origin_record_request
{
    std::uint32_t number = 0; ///< Copied into the acknowledgement.
    stream_origin origin;

    auto operator<=>(const origin_record_request &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, origin);
    }
};

/// Acknowledges an origin_record_request.
struct origin_record_ack
{
    std::uint32_t number = 0;
    std::uint64_t stream = 0; ///< An entry that has restarted uses the numbers of requests anew.

    auto operator<=>(const origin_record_ack &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, stream);
    }
};

/// Any message about the origins of streams.
using stream_origin_message = std::
    variant<stream_origin_report, stream_origin_ack, stream_origin_query, stream_origin_reply, stream_origin_batch, origin_record_request, origin_record_ack>;

} // namespace heatherroute
