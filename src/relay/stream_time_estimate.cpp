#include "relay/stream_time_estimate.h"

#include <algorithm>

namespace heatherroute
{

stream_time_estimate stream_time_estimate::make(const call_time_settings &settings)
{
    return stream_time_estimate(settings);
}

stream_time_estimate::stream_time_estimate(const call_time_settings &settings)
    : m_firstAfter(call_time_estimate::make(settings))
    , m_perEvent(call_time_estimate::make(settings))
{ }

void stream_time_estimate::note(duration firstAfter, duration took, std::uint64_t events)
{
    if (events < 2) {
        return;
    }
    m_firstAfter.note(firstAfter);
    m_perEvent.note(std::max(took - firstAfter, duration::zero()) / static_cast<duration::rep>(events - 1));
}

std::optional<duration> stream_time_estimate::upperBound(std::uint32_t maxEvents) const
{
    const std::optional<duration> first = m_firstAfter.upperBound();
    const std::optional<duration> each = m_perEvent.upperBound();
    if (maxEvents == 0 || !first || !each) {
        return std::nullopt;
    }
    return *first + *each * static_cast<duration::rep>(maxEvents);
}

} // namespace heatherroute
