#pragma once

#include "heatherroute/peer_serialize.h"
#include "heatherroute/registration.h"

#include <compare>
#include <cstdint>
#include <vector>

/**
 * Gossip by which entries that read the platform's store inform those that don't.
 *
 * Each call to the store costs money, so a few entries read it often and send the changes to the others. Each message fits
 * into one datagram and is sent again for some seconds, so a lost one does no harm.
 */

namespace heatherroute
{

inline constexpr std::size_t kMaxChangesPerMessage = 4;
inline constexpr std::size_t kMaxRegistrationTextBytes = 64;

/// A change of one upstream's registration.
struct upstream_update
{
    registration run;
    bool gone = false; ///< The store no longer holds the registration, and the upstream is not expected to return.
    /// The phase to which the engine was ordered, or will be within a second; its current phase when the order was not accepted.
    std::optional<engine_phase> movingTo;

    auto operator<=>(const upstream_update &) const = default;

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

/// The sender's claim about the lease, which is the right to give orders to engines.
enum class lease_claim : std::uint8_t {
    None,
    Held, ///< The sender holds the lease.
    Released, ///< The sender held the lease and releases it.
};

/// The current knowledge of an entry that reads the store or holds the lease.
struct store_update
{
    std::uint64_t configVersion = 0;
    bool readsStore = true; ///< The sender reads the store regularly, so the receivers need not.
    std::uint32_t readAgeMs = 0; ///< Time since the sender's last read.
    lease_claim lease = lease_claim::None;
    std::vector<upstream_update> changes; ///< Changes of the last seconds.

    auto operator<=>(const store_update &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        std::uint8_t isReader = readsStore ? 1 : 0;
        auto claim = static_cast<std::uint8_t>(lease);
        archive(configVersion, isReader, readAgeMs, claim);
        if (claim > static_cast<std::uint8_t>(lease_claim::Released)) {
            throw cereal::Exception("enumerator out of range");
        }
        readsStore = isReader != 0;
        lease = static_cast<lease_claim>(claim);
        serializeList(archive, changes, kMaxChangesPerMessage);
    }
};

/// An update with the era of the store that the sender has read. Only entries of earlier builds send it and store_update by itself.
struct store_update_of_era
{
    std::uint64_t era = 0;
    store_update update;

    auto operator<=>(const store_update_of_era &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(era);
        update.serialize(archive);
    }
};

/// An update with the era of the store that the sender has read, and the software versions of the upstreams in it.
struct versioned_store_update
{
    std::uint64_t era = 0; ///< 0 when unknown.
    store_update update;

    auto operator<=>(const versioned_store_update &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(era);
        update.serialize(archive);
        for (upstream_update &change : update.changes) {
            serializeText(archive, change.run.softwareVersion, kMaxRegistrationTextBytes);
        }
    }
};

} // namespace heatherroute
