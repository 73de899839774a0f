#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "relay/platform_store.h"

namespace heatherroute
{

/// The period in which this entry may give orders to engines. Times are milliseconds of a clock that keeps running while the VM is
/// suspended.
struct lease_term
{
    bool holds = false;
    std::uint64_t fencingToken = 0; ///< Of the store's era and the generation.
    std::int64_t validUntilMs = 0;
    std::int64_t heldSinceMs = 0; ///< Time since which no other entry can have held the lease.

    auto operator<=>(const lease_term &) const = default;
};

/// Returns whether an entry with @p term may send an order at @p nowMs. A new holder first waits @p takeOverWait, since orders
/// of the previous holder may still arrive. Thread safe.
bool mayOrder(const lease_term &term, std::int64_t nowMs, std::chrono::milliseconds takeOverWait);

/// Durations of a lease.
struct lease_settings
{
    std::chrono::milliseconds lifetime{1'500};
    std::chrono::milliseconds margin{300}; ///< Safety margin before the end, in which the lease is not used.

    auto operator<=>(const lease_settings &) const = default;
};

/**
 * Tracks the lease from the store's answers to this entry's attempts to acquire or renew it.
 *
 * Answers may be lost or late, and the entry may be suspended between a request and its answer, so a term is counted from
 * the moment before the request was sent. Pure; not thread safe.
 */
class lease_tracker
{
public:
    static lease_tracker make(const lease_settings &settings);

    const lease_settings &settings() const noexcept
    {
        return m_settings;
    }
    /// Returns the generation to send with the next attempt.
    std::uint64_t generation() const noexcept
    {
        return m_generation;
    }
    const lease_term &term() const noexcept
    {
        return m_term;
    }
    /// Applies the answer to the attempt sent at @p sentAtMs. A missing answer changes nothing: the term stays valid to its end.
    void onAnswer(const lease_answer &answer, std::int64_t sentAtMs, std::int64_t nowMs);
    /// Records that this entry releases the lease.
    void onReleased();
    /// Records that the store came back from an older copy: the term ends, and another entry may have held the lease meanwhile.
    void onRestored();

private:
    explicit lease_tracker(const lease_settings &settings);

    lease_settings m_settings;
    lease_term m_term;
    std::uint64_t m_generation = 0;
    std::uint64_t m_era = 0; ///< The store's era in the last answer; 0 when it sends none.
    std::uint64_t m_heldGeneration = 0; ///< Generation of the last held term; 0 when another entry may have held the lease since.
};

} // namespace heatherroute
