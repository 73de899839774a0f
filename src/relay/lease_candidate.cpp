#include "relay/lease_candidate.h"

namespace heatherroute
{

lease_candidate lease_candidate::make(const lease_candidate_settings &settings, instant now)
{
    return lease_candidate(settings, now);
}

lease_candidate::lease_candidate(const lease_candidate_settings &settings, instant now)
    : m_settings(settings)
    , m_claimableFrom(now + settings.startupDelay)
{ }

void lease_candidate::setRank(std::size_t rank)
{
    m_rank = rank;
}

void lease_candidate::setIsHolder(bool isHolder)
{
    m_isHolder = isHolder;
}

void lease_candidate::noteHolder(instant now)
{
    m_claimableFrom = now + m_settings.holderTimeout;
}

void lease_candidate::noteReleased(instant now)
{
    m_claimableFrom = now;
}

bool lease_candidate::shouldTry(instant now) const
{
    if (m_isHolder) {
        return true;
    }
    return m_rank < m_settings.candidates && now >= m_claimableFrom + m_rank * m_settings.stagger;
}

} // namespace heatherroute
