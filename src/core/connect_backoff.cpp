#include "heatherroute/connect_backoff.h"

#include <algorithm>

namespace heatherroute
{

connect_backoff connect_backoff::make(const connect_backoff_settings &settings)
{
    return connect_backoff(settings);
}

connect_backoff::connect_backoff(const connect_backoff_settings &settings)
    : m_settings(settings)
{ }

bool connect_backoff::noteUnreachable(instant now, const std::string &upstream)
{
    backoff &known = m_backoffs[upstream];
    if (known.until > now && !known.isTrial) {
        return false;
    }
    known.isTrial = false;
    known.delay = std::clamp(2 * known.delay, m_settings.initialDelay, m_settings.maxDelay);
    known.until = now + known.delay;
    return true;
}

void connect_backoff::noteTried(instant now, const std::string &upstream)
{
    const auto found = m_backoffs.find(upstream);
    if (found != m_backoffs.end() && found->second.until <= now && found->second.delay > duration::zero()) {
        found->second.isTrial = true;
        found->second.until = now + m_settings.trialTime;
    }
}

void connect_backoff::noteConnected(instant now, const std::string &upstream)
{
    const auto found = m_backoffs.find(upstream);
    if (found != m_backoffs.end() && found->second.isTrial) {
        found->second.isTrial = false;
        found->second.until = now;
    }
}

void connect_backoff::noteAnswered(const std::string &upstream)
{
    if (const auto found = m_backoffs.find(upstream); found != m_backoffs.end()) {
        found->second.delay = duration::zero();
    }
}

void connect_backoff::forget(const std::string &upstream)
{
    m_backoffs.erase(upstream);
}

bool connect_backoff::isReachable(instant now, const std::string &upstream) const
{
    const auto found = m_backoffs.find(upstream);
    return found == m_backoffs.end() || found->second.until <= now;
}

std::vector<std::string> connect_backoff::unreachable(instant now) const
{
    std::vector<std::string> result;
    for (const auto &[upstream, known] : m_backoffs) {
        if (known.until > now) {
            result.push_back(upstream);
        }
    }
    return result;
}

} // namespace heatherroute
