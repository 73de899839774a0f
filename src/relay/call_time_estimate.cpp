#include "relay/call_time_estimate.h"

#include <cmath>

namespace heatherroute
{

call_time_estimate call_time_estimate::make(const call_time_settings &settings)
{
    return call_time_estimate(settings);
}

call_time_estimate::call_time_estimate(const call_time_settings &settings)
    : m_settings(settings)
{ }

void call_time_estimate::note(duration took)
{
    const auto value = static_cast<double>(took.count());
    if (!m_mean) {
        m_mean = value;
        m_deviation = value / 2;
        return;
    }
    m_deviation += m_settings.deviationGain * (std::abs(value - *m_mean) - m_deviation);
    *m_mean += m_settings.meanGain * (value - *m_mean);
}

std::optional<duration> call_time_estimate::upperBound() const
{
    if (!m_mean) {
        return std::nullopt;
    }
    return duration(static_cast<duration::rep>(*m_mean + m_settings.deviations * m_deviation));
}

} // namespace heatherroute
