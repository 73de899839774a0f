#pragma once

#include "heatherroute/config_record.h"
#include "heatherroute/time.h"

#include <cstdint>
#include <optional>

namespace heatherroute
{

/**
 * Decides when an entry appends a snapshot, so that the log always holds one together with all records that follow it.
 *
 * Every entry runs a schedule. The first entry whose snapshot is due appends it; the others read that snapshot from the
 * log and reschedule theirs. Random delays make it unlikely that two entries append at once; if they do, the second
 * snapshot is a record without effect. A snapshot becomes due after half of the log's retention. Not thread safe.
 */
class config_snapshot_schedule
{
public:
    /// Precondition: @p retention, the time for which the log keeps a record, is positive. @p seed must differ between entries.
    config_snapshot_schedule(duration retention, std::uint64_t seed);

    /// Handles a snapshot with @p next that is on the log; @p seenAt is empty when it may be old.
    void onSnapshot(instant now, log_offset next, std::optional<instant> seenAt);
    /// Handles that the log answers again after an outage, or for the first time.
    void onLogRecovered(instant now);
    /// Returns whether to append a snapshot at @p now; true at most once per sixteenth of the retention.
    bool takeDue(instant now);

    /// `next` of the latest snapshot known to be on the log; 0 stands for the start of the log.
    log_offset snapshotNext() const noexcept
    {
        return m_next;
    }

    /// When that snapshot was appended; empty when unknown.
    std::optional<instant> seenAt() const noexcept
    {
        return m_seenAt;
    }

private:
    duration randomDelay(duration limit);

    duration m_retention;
    std::uint64_t m_random;
    log_offset m_next = 0;
    std::optional<instant> m_seenAt;
    std::optional<instant> m_dueAt;
};

} // namespace heatherroute
