#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace heatherroute
{

/// What an engine does with prompts.
enum class engine_phase : std::uint8_t {
    Prefill, ///< Computes KV caches.
    Decode, ///< Generates tokens from them.
};

/**
 * What an upstream says of itself in the platform's store.
 *
 * Immutable value; safe to share between threads.
 */
struct registration
{
    std::string id;
    std::string service;
    std::string address; ///< `IP:port`.
    std::string zone;
    std::uint32_t slots = 0;
    bool draining = false; ///< It finishes what it has and takes no new work.
    std::optional<engine_phase> phase; ///< Set for engines.
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; tells the runs of one id apart.
    std::uint64_t sequence = 0; ///< Grows with each report of one run.

    auto operator<=>(const registration &) const = default;
};

} // namespace heatherroute
