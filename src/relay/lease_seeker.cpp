#include "relay/lease_seeker.h"

namespace heatherroute
{

lease_seeker lease_seeker::make(const lease_candidate_settings &settings, instant now)
{
    return lease_seeker(settings, now);
}

lease_seeker::lease_seeker(const lease_candidate_settings &settings, instant now)
    : m_settings(settings)
    , m_claimableFrom(now + settings.startupDelay)
{ }

void lease_seeker::setRank(std::size_t rank)
{
    m_rank = rank;
}

void lease_seeker::setHolds(bool isHolder)
{
    m_isHolder = isHolder;
}

void lease_seeker::noteHolder(instant now)
{
    m_claimableFrom = now + m_settings.holderTimeout;
}

void lease_seeker::noteGivenUp(instant now)
{
    m_claimableFrom = now;
}

bool lease_seeker::shouldTry(instant now) const
{
    if (m_isHolder) {
        return true;
    }
    return m_rank < m_settings.candidates && now >= m_claimableFrom + m_rank * m_settings.stagger;
}

} // namespace heatherroute
