#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace heatherroute
{

/// The phase of a generation that an engine computes.
enum class engine_phase : std::uint8_t {
    Prefill, ///< Computes the KV cache of a prompt.
    Decode, ///< Generates tokens from a KV cache.
};

/**
 * The registration of an upstream in the platform's store, written by the upstream itself.
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
    bool draining = false; ///< The upstream finishes its current requests and accepts no new ones.
    std::optional<engine_phase> phase; ///< Set for engines.
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; distinguishes the instances of one id.
    std::uint64_t sequence = 0; ///< Increases with each report of one instance.
    std::string softwareVersion = {}; ///< Empty when unknown. What two versions write into a stream doesn't fit together.

    auto operator<=>(const registration &) const = default;
};

/// The upstreams of a service that can take each other's work: those of one phase, if they are engines.
struct upstream_pool
{
    std::string service;
    std::optional<engine_phase> phase;

    auto operator<=>(const upstream_pool &) const = default;
};

/// Returns the pool of @p run. Thread safe.
inline upstream_pool poolOf(const registration &run)
{
    return {run.service, run.phase};
}

/// Returns the name of @p pool in logs and between entries. Thread safe.
inline std::string nameOf(const upstream_pool &pool)
{
    std::string name = pool.service;
    if (pool.phase) {
        name += *pool.phase == engine_phase::Prefill ? "/prefill" : "/decode";
    }
    return name;
}

} // namespace heatherroute
