#include "relay/stop_plan.h"

#include <algorithm>

namespace heatherroute
{

const char *toString(stop_phase phase) noexcept
{
    switch (phase) {
    case stop_phase::Running:
        return "running";
    case stop_phase::Announced:
        return "announced";
    case stop_phase::Draining:
        return "draining";
    case stop_phase::Closed:
        return "closed";
    case stop_phase::Aborting:
        return "aborting";
    case stop_phase::Ended:
        return "ended";
    }
    return "running";
}

stop_plan stop_plan::make(const stop_settings &settings)
{
    return stop_plan(settings);
}

stop_plan::stop_plan(const stop_settings &settings)
    : m_settings(settings)
{ }

void stop_plan::begin(instant now)
{
    if (!m_stoppingSince) {
        m_stoppingSince = now;
    }
}

stop_phase stop_plan::advance(instant now, const stop_load &left)
{
    if (!m_stoppingSince) {
        return stop_phase::Running;
    }
    const duration passed = now - *m_stoppingSince;
    const duration abortAt = m_settings.grace - m_settings.abortMargin;
    const bool isIdle = left == stop_load{} && passed >= m_settings.closeAfter;
    m_isEnded = m_isEnded || isIdle || passed >= abortAt + m_settings.abortTime;
    if (m_isEnded) {
        return stop_phase::Ended;
    }
    if (passed >= abortAt) {
        return stop_phase::Aborting;
    }
    if (passed >= m_settings.closeAfter) {
        return stop_phase::Closed;
    }
    return passed >= m_settings.drainAfter ? stop_phase::Draining : stop_phase::Announced;
}

bool stop_plan::mayBegin(instant now, duration timeNeeded) const
{
    if (!m_stoppingSince) {
        return true;
    }
    const instant abortAt = *m_stoppingSince + m_settings.grace - m_settings.abortMargin;
    return !m_isEnded && now < abortAt && timeNeeded <= abortAt - now;
}

duration timeNeededFor(const call_length &call, const observed_call_times &observed)
{
    std::optional<duration> expected;
    if (call.kind == route_kind::Idempotent || (call.kind == route_kind::Stream && call.resumable)) {
        expected = observed.usual;
    } else if (call.kind == route_kind::Stream) {
        expected = observed.atMost;
    }
    return std::min(expected.value_or(call.timeLeft), call.timeLeft);
}

} // namespace heatherroute
