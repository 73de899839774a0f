#pragma once

#include "heatherroute/peer_serialize.h"
#include "heatherroute/registration.h"

#include <compare>
#include <cstdint>
#include <vector>

/**
 * What entries that read the platform's store tell those that don't.
 *
 * Each call to the store is paid for, so a few entries read it often and tell the others what has changed. The news fit a
 * datagram each and are repeated for some seconds, so a lost one does no harm.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxNewsPerMessage = 4;
inline constexpr std::size_t kMaxRegistrationTextBytes = 64;

/// A change of one upstream.
struct upstream_news
{
    registration run;
    bool gone = false; ///< The store holds it no more, and it isn't expected back.
    /// An order sends it to this phase, or will within a second; its present one when the order was not accepted.
    std::optional<engine_phase> movingTo;

    auto operator<=>(const upstream_news &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeText(archive, run.id, kMaxRegistrationTextBytes);
        serializeText(archive, run.service, kMaxRegistrationTextBytes);
        serializeText(archive, run.address, kMaxRegistrationTextBytes);
        serializeText(archive, run.zone, kMaxRegistrationTextBytes);
        std::uint8_t draining = run.draining ? 1 : 0;
        std::uint8_t isGone = gone ? 1 : 0;
        archive(run.slots, draining, run.startedAt, run.sequence, isGone);
        serializePhase(archive, run.phase);
        serializePhase(archive, movingTo);
        run.draining = draining != 0;
        gone = isGone != 0;
    }

private:
    template<typename Archive>
    static void serializePhase(Archive &archive, std::optional<engine_phase> &value)
    {
        std::uint8_t phase = value ? static_cast<std::uint8_t>(*value) + 1 : 0;
        archive(phase);
        if (phase > static_cast<std::uint8_t>(engine_phase::Decode) + 1) {
            throw cereal::Exception("enumerator out of range");
        }
        value = phase == 0 ? std::nullopt : std::optional<engine_phase>(static_cast<engine_phase>(phase - 1));
    }
};

/// What the teller says of the right to give orders.
enum class lease_word : std::uint8_t {
    None,
    Held, ///< The teller holds it.
    GivenUp, ///< The teller held it and gives it up.
};

/// What a reader of the store, or the holder of the lease, knows now.
struct store_news
{
    std::uint64_t configVersion = 0;
    bool reads = true; ///< The teller follows the store, so those who hear it needn't.
    std::uint32_t readAgeMs = 0; ///< Since its last read.
    lease_word lease = lease_word::None;
    std::vector<upstream_news> changes; ///< Of the last seconds.

    auto operator<=>(const store_news &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t isReader = reads ? 1 : 0;
        auto word = static_cast<std::uint8_t>(lease);
        archive(configVersion, isReader, readAgeMs, word);
        if (word > static_cast<std::uint8_t>(lease_word::GivenUp)) {
            throw cereal::Exception("enumerator out of range");
        }
        reads = isReader != 0;
        lease = static_cast<lease_word>(word);
        serializeList(archive, changes, kMaxNewsPerMessage);
    }
};

} // namespace heatherroute
