#include "relay/upstream_pauses.h"

#include <algorithm>

namespace heatherroute
{

upstream_pauses upstream_pauses::make(const pause_settings &settings)
{
    return upstream_pauses(settings);
}

upstream_pauses::upstream_pauses(const pause_settings &settings)
    : m_settings(settings)
{ }

bool upstream_pauses::note(instant now, const upstream_instance &instance, duration time)
{
    const instant until = now + std::min(time, m_settings.maxPause);
    if (until <= now) {
        return false;
    }
    std::erase_if(m_pauses, [now](const auto &ended) { return ended.second.until <= now; });
    pause &known = m_pauses[instance.id];
    if (known.startedAt > instance.startedAt || (known.startedAt == instance.startedAt && known.until >= until)) {
        return false;
    }
    known = {instance.startedAt, until};
    return true;
}

duration upstream_pauses::left(instant now, const upstream_instance &instance) const
{
    const auto found = m_pauses.find(instance.id);
    const bool isPausing = found != m_pauses.end() && found->second.startedAt == instance.startedAt;
    return isPausing ? std::max(found->second.until - now, duration::zero()) : duration::zero();
}

} // namespace heatherroute
