#pragma once

#include "heatherroute/peer_serialize.h"
#include "heatherroute/registration.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * Messages between an entry and the coordinator of an engine pool, which assigns the engines for all entries.
 *
 * Every message fits one datagram and may be lost, late or repeated.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxPlacementTextBytes = 64;
inline constexpr std::size_t kMaxRefusingEngines = 8;
inline constexpr std::size_t kMaxReportedPlacements = 10;

/// Asks the coordinator of the pool (service and phase) for an engine.
struct engine_placement_request
{
    std::uint64_t number = 0; ///< Copied into the reply; identifies the placement, together with the sender.
    std::string service;
    engine_phase phase = engine_phase::Decode;
    std::uint32_t tokens = 0; ///< Memory of a decode; prompt of a prefill.
    std::uint32_t priority = 0; ///< 0 is served first.
    std::uint32_t maxWaitMs = 0; ///< How long the sender waits for an engine that becomes free.
    std::vector<std::string> refusing; ///< Ids of engines that refused this request, or could not be connected to.

    auto operator<=>(const engine_placement_request &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, tokens, priority, maxWaitMs);
        serializeText(archive, service, kMaxPlacementTextBytes);
        serializeEnum(archive, phase, engine_phase::Decode);
        auto count = static_cast<std::uint8_t>(refusing.size());
        archive(count);
        if (count > kMaxRefusingEngines) {
            throw cereal::Exception("container exceeds its limit");
        }
        refusing.resize(count);
        for (std::string &id : refusing) {
            serializeText(archive, id, kMaxPlacementTextBytes);
        }
    }
};

/// Answers a engine_placement_request.
struct placement_reply
{
    std::uint64_t number = 0;
    std::string engine; ///< Empty when no engine has room.
    std::uint32_t waitMs = 0; ///< Without an engine: time after which room is expected.

    auto operator<=>(const placement_reply &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, waitMs);
        serializeText(archive, engine, kMaxPlacementTextBytes);
    }
};

/// A placement in progress.
struct reported_placement
{
    std::uint64_t number = 0;
    std::string engine;
    std::uint32_t tokens = 0;

    auto operator<=>(const reported_placement &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, tokens);
        serializeText(archive, engine, kMaxPlacementTextBytes);
    }
};

/// Tells the coordinator of a pool which placements of the sender have ended, and which go on. Sent when one ends and now and then.
struct placement_report
{
    std::string service;
    engine_phase phase = engine_phase::Decode;
    std::vector<std::uint64_t> ended;
    std::vector<reported_placement> current; ///< All, unless there are more than fit.

    auto operator<=>(const placement_report &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeText(archive, service, kMaxPlacementTextBytes);
        serializeEnum(archive, phase, engine_phase::Decode);
        serializeNumbers(archive, ended, kMaxReportedPlacements);
        serializeList(archive, current, kMaxReportedPlacements);
    }
};

/// Any message about placements of engines.
using engine_placement_message = std::variant<engine_placement_request, placement_reply, placement_report>;

} // namespace heatherroute
