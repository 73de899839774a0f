#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <random>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Why an entry may have to read the store frequently itself.
struct store_read_needs
{
    bool readsForOthers = false; ///< See store_gossip::shouldRead().
    bool holdsLease = false; ///< The holder plans by the upstreams that it knows.
    bool isLoading = false; ///< It has no configuration or no complete list of upstreams yet.
    bool hasMissedChanges = false; ///< Changes that another entry told have been lost.

    auto operator<=>(const store_read_needs &) const = default;
};

/// Intervals between reads of the store.
struct store_read_settings
{
    std::chrono::milliseconds interval{900}; ///< Between two frequent reads; the platform charges for each read.
    /// In the first seconds after the start, when the upstreams may start, too, frequent reads follow each other faster.
    std::chrono::milliseconds startupTime{8'000};
    std::chrono::milliseconds startupInterval{300};
    /// Mean delay of the second complete read of an entry that doesn't read frequently: changes that were told before it was known to the other
    /// entries have passed it by.
    std::chrono::milliseconds secondReadDelay{4'000};
    std::chrono::milliseconds infrequentInterval{30'000}; ///< Minimum mean interval between two reads while other entries send updates.
    /// Mean interval between two infrequent reads of all entries together.
    std::chrono::milliseconds infrequentSpacing{300};
    std::chrono::milliseconds minBackoff{150}; ///< Maximum delay after the first failed read; doubles with each further failure.
    std::chrono::milliseconds maxBackoff{1'000};

    auto operator<=>(const store_read_settings &) const = default;
};

/**
 * Decides when an entry reads the store next.
 *
 * Load pattern: hundreds of entries start together, and later each learns from a few readers what changes. At the start the upstreams change
 * fast, and an entry that the readers don't know yet misses what they tell, so it reads a second time soon. From then on the reads of all
 * entries that don't read for others are spread over a time that grows with their number. Failed reads are repeated after random delays that
 * grow, so that a store which recovers isn't met by all entries at once. Pure; not thread safe. Instants must not decrease.
 */
class store_read_schedule
{
public:
    static store_read_schedule make(const store_read_settings &settings, instant startedAt);

    /// Returns whether the entry reads frequently. Thread safe.
    static bool isFrequent(const store_read_needs &needs) noexcept;
    /// Sets the number of entries, this one included.
    void setEntries(std::size_t count);
    /// Records that the upstreams were read.
    void noteRead();

    /// Returns the delay between two frequent reads.
    std::chrono::milliseconds frequentDelay(instant now) const;
    /// Returns the mean delay of an infrequent read.
    std::chrono::milliseconds infrequentInterval() const;
    /// Returns a random delay of an infrequent read of the configuration.
    std::chrono::milliseconds infrequentDelay(std::mt19937_64 &random) const;
    /// Returns a random delay of an infrequent read of the upstreams, which comes sooner after the first read.
    std::chrono::milliseconds infrequentUpstreamsDelay(std::mt19937_64 &random) const;
    /// Returns a random delay after the last of @p failures failed reads in a row. It grows up to a bound; with @p minDelay, which is
    /// store_gossip::retryDelay(), it begins with that and grows up to four times as much.
    std::chrono::milliseconds retryDelay(std::uint32_t failures, std::chrono::milliseconds minDelay, std::mt19937_64 &random) const;

private:
    store_read_schedule(const store_read_settings &settings, instant startedAt);

    store_read_settings m_settings;
    instant m_startedAt;
    std::size_t m_entries = 0;
    std::uint64_t m_reads = 0;
};

} // namespace heatherroute
