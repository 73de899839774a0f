#pragma once

#include "heatherroute/config_record.h"
#include "heatherroute/time.h"

#include <cstdint>
#include <optional>

namespace heatherroute
{

/**
 * Decides when an entry appends a snapshot, so that one is always on the log with all records that follow it.
 *
 * Every entry runs it and the first to come due writes; the others see that snapshot on the log and start over. Random
 * delays keep two from writing at once; when they do, the second is a record without effect. A snapshot is due from half
 * of the log's retention on. Not thread safe.
 */
class config_snapshot_schedule
{
public:
    /// Precondition: @p retention, the time for which the log keeps a record, is positive. @p seed differs between entries.
    config_snapshot_schedule(duration retention, std::uint64_t seed);

    /// A snapshot with @p next was read from the log; @p seenAt is empty when it may have lain there for long.
    void onSnapshot(instant now, log_offset next, std::optional<instant> seenAt);
    /// The log answers again after an outage, or for the first time.
    void onLogBack(instant now);
    /// Whether to append one at @p now; yes at most once per a sixteenth of the retention.
    bool takeDue(instant now);

    /// `next` of the latest snapshot known to be on the log; 0 means the log's own first record.
    log_offset snapshotNext() const noexcept
    {
        return m_next;
    }

    /// When it was appended; empty when unknown.
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
