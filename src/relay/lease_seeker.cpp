#include "relay/lease_seeker.h"

namespace heatherroute
{

lease_seeker lease_seeker::make(const lease_seeker_settings &settings, instant now)
{
    return lease_seeker(settings, now);
}

lease_seeker::lease_seeker(const lease_seeker_settings &settings, instant now)
    : m_settings(settings)
    , m_freeFrom(now + settings.settling)
{ }

void lease_seeker::setRank(std::size_t before)
{
    m_before = before;
}

void lease_seeker::setHolds(bool holds)
{
    m_holds = holds;
}

void lease_seeker::noteHolder(instant now)
{
    m_freeFrom = now + m_settings.heardFor;
}

void lease_seeker::noteGivenUp(instant now)
{
    m_freeFrom = now;
}

bool lease_seeker::shouldTry(instant now) const
{
    if (m_holds) {
        return true;
    }
    return m_before < m_settings.candidates && now >= m_freeFrom + m_before * m_settings.stagger;
}

} // namespace heatherroute
