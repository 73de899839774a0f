#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "relay/platform_store.h"

namespace heatherroute
{

/// For how long this entry may give orders to engines. Times are milliseconds of the clock that goes on while the VM is suspended.
struct lease_term
{
    bool holds = false;
    std::uint64_t fencingToken = 0;
    std::int64_t validUntilMs = 0;
    std::int64_t heldSinceMs = 0; ///< Since when no other entry can have held it.

    auto operator<=>(const lease_term &) const = default;
};

/// Whether an entry with @p term may send an order at @p nowMs. A new holder waits @p takeOverWait first, as orders of the one
/// before may still arrive. Thread safe.
bool mayOrder(const lease_term &term, std::int64_t nowMs, std::chrono::milliseconds takeOverWait);

/// Times of a lease.
struct lease_settings
{
    std::chrono::milliseconds lifetime{1'500};
    std::chrono::milliseconds margin{300}; ///< Before its end, from when on the lease isn't used.

    auto operator<=>(const lease_settings &) const = default;
};

/**
 * What follows from the store's answers to this entry's tries for the lease.
 *
 * Answers may be lost or late, and the entry may be suspended between a question and its answer, so a term is counted from
 * the moment before the question was sent. Pure; not thread safe.
 */
class lease_book
{
public:
    static lease_book make(const lease_settings &settings);

    const lease_settings &settings() const noexcept
    {
        return m_settings;
    }
    /// The generation to send with the next try.
    std::uint64_t generation() const noexcept
    {
        return m_generation;
    }
    const lease_term &term() const noexcept
    {
        return m_term;
    }
    /// Takes the answer to the try that was sent at @p sentAtMs. One without an answer changes nothing: the term runs on to its end.
    void onAnswer(const lease_answer &answer, std::int64_t sentAtMs, std::int64_t nowMs);
    /// This entry gives the lease up.
    void onLeft();

private:
    explicit lease_book(const lease_settings &settings);

    lease_settings m_settings;
    lease_term m_term;
    std::uint64_t m_generation = 0;
    std::uint64_t m_heldGeneration = 0; ///< Of the term held last; 0 when another may have held it since.
};

} // namespace heatherroute
