#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace heatherroute
{

/// What an answer's era says about the store.
enum class era_verdict : std::uint8_t {
    Current, ///< The same store as before.
    Newer, ///< The store came back from an older copy: what is known of positions is void.
    Older, ///< A late answer from before that; it counts as no answer.
    Missing, ///< The store used to send its era. Nothing that depends on a position may be taken from the answer.
};

/// The name used in logs. Thread safe.
const char *toString(era_verdict verdict) noexcept;

/**
 * Tracks the era of the platform's store, which rises whenever the store comes back from an older copy.
 *
 * Load pattern: the store is away for a moment and has lost what was written last, so offsets and generations are given out
 * again, while late answers and other entries still speak of the lost ones. A store that never sends an era has era 0 and is
 * taken to lose nothing. Pure; not thread safe.
 */
class store_era
{
public:
    static store_era make();

    /// Judges an answer of the store; @p era is empty when it carries none.
    era_verdict onAnswer(std::optional<std::uint64_t> era);
    /// Judges the era @p era that another entry knows, 0 if it knows none.
    era_verdict onPeer(std::uint64_t era);
    /// Returns the newest era seen; 0 when none was.
    std::uint64_t current() const noexcept
    {
        return m_current;
    }

private:
    store_era() = default;

    std::uint64_t m_current = 0;
    bool m_answered = false; ///< Whether the store has answered, with or without an era.
};

/// What to do with an answer to a read of a stream.
enum class read_verdict : std::uint8_t {
    Use,
    Discard, ///< It counts as no answer.
    Reread, ///< Its records belong to another era than the offset that they were read from: the next read is a snapshot.
};

/**
 * The position of a reader in one stream of the store, which is void when the era changes. Pure; not thread safe.
 */
class stream_position
{
public:
    /// Begins a read; returns the offset to read from, or empty when a snapshot must be read.
    std::optional<std::uint64_t> begin(const store_era &era);
    /// Ends the read with an answer that was judged @p verdict by @p era. @p next is the offset after its records.
    read_verdict end(const store_era &era, era_verdict verdict, std::uint64_t next);
    /// Makes the next read a snapshot.
    void reset() noexcept
    {
        m_next.reset();
    }
    bool isKnown() const noexcept
    {
        return m_next.has_value();
    }
    /// Returns the offset of the next record; 0 when it isn't known.
    std::uint64_t offset() const noexcept
    {
        return m_next.value_or(0);
    }

private:
    std::optional<std::uint64_t> m_next;
    std::uint64_t m_era = 0; ///< The era to which the offset belongs.
    std::uint64_t m_askedInEra = 0; ///< The era that was known when the read began.
    bool m_isSnapshot = true;
};

/// Returns the fencing token of @p generation in @p era: greater than any of an earlier era. Precondition: @p generation is below
/// 2^32. Thread safe.
std::uint64_t fencingTokenOf(std::uint64_t era, std::uint64_t generation) noexcept;

} // namespace heatherroute
