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
 * snapshot is a record without effect. A snapshot becomes due between a half and three quarters of the log's retention after
 * the previous one was appended; when that time is unknown, between a sixteenth and an eighth of the retention after the
 * entry learned of the previous one. Not thread safe.
 */
class config_snapshot_schedule
{
public:
    /// Precondition: @p retention, the time for which the log keeps a record, is positive. @p seed must differ between entries.
    config_snapshot_schedule(duration retention, std::uint64_t seed);

    /// Processes a snapshot of all records below @p next that is on the log. @p seenAt is the time at which it was seen
    /// shortly after its append; empty when it may be old.
    void onSnapshot(instant now, log_offset next, std::optional<instant> seenAt);
    /// Processes the first answer of the log, or the first one after an outage: unless a snapshot is scheduled for later, it becomes
    /// due after a random delay of at most a sixteenth of the retention.
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
