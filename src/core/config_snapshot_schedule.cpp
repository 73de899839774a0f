#include "heatherroute/config_snapshot_schedule.h"

#include "heatherroute/assert.h"

#include <algorithm>

namespace heatherroute
{

config_snapshot_schedule::config_snapshot_schedule(duration retention, std::uint64_t seed)
    : m_retention(retention)
    , m_random(seed)
{
    HR_ASSERT(retention > duration::zero());
}

void config_snapshot_schedule::onSnapshot(instant now, log_offset next, std::optional<instant> seenAt)
{
    const bool isOlder = next < m_next;
    // The earliest sighting is closest to the time of the append.
    const bool isKnownBetter = m_seenAt && (!seenAt || *m_seenAt <= *seenAt);
    if (isOlder || (next == m_next && m_dueAt && (isKnownBetter || !seenAt))) {
        return;
    }
    m_next = next;
    m_seenAt = seenAt;
    if (seenAt) {
        m_dueAt = *seenAt + m_retention / 2 + randomDelay(m_retention / 4);
    } else {
        m_dueAt = now + m_retention / 16 + randomDelay(m_retention / 16);
    }
}

void config_snapshot_schedule::onLogRecovered(instant now)
{
    // All entries see the log recover at the same time, so each takes a new random delay.
    if (!m_dueAt || *m_dueAt <= now) {
        m_dueAt = now + randomDelay(m_retention / 16);
    }
}

bool config_snapshot_schedule::takeDue(instant now)
{
    if (!m_dueAt || now < *m_dueAt) {
        return false;
    }
    m_dueAt = now + m_retention / 16;
    return true;
}

duration config_snapshot_schedule::randomDelay(duration limit)
{
    // SplitMix64 (G. Steele, D. Lea, C. Flood, 2014).
    m_random += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_random;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return duration(static_cast<duration::rep>(mixed % static_cast<std::uint64_t>(std::max<duration::rep>(1, limit.count()))));
}

} // namespace heatherroute
