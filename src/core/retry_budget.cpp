#include "heatherroute/retry_budget.h"

#include <algorithm>

namespace heatherroute
{

retry_budget::retry_budget(instant now, const retry_budget_settings &settings)
    : m_settings(settings)
    , m_refilledAt(now)
    , m_tokens(std::min(settings.initial, settings.capacity))
{ }

retry_budget retry_budget::make(instant now, const retry_budget_settings &settings)
{
    return {now, settings};
}

void retry_budget::noteRequest(instant now)
{
    refill(now);
    m_tokens = std::min(m_settings.capacity, m_tokens + m_settings.share);
}

void retry_budget::reconfigure(instant now, const retry_budget_settings &settings)
{
    refill(now);
    m_settings = settings;
    m_tokens = std::min(m_tokens, settings.capacity);
}

bool retry_budget::tryRetry(instant now)
{
    refill(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

double retry_budget::remaining() const noexcept
{
    return m_tokens;
}

void retry_budget::refill(instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_settings.capacity, m_tokens + elapsed * m_settings.minPerSecond);
    m_refilledAt = now;
}

} // namespace heatherroute
