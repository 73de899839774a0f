#include "relay/lease_term.h"

#include "relay/store_era.h"

namespace heatherroute
{

bool mayOrder(const lease_term &term, std::int64_t nowMs, std::chrono::milliseconds takeOverWait)
{
    return term.holds && nowMs < term.validUntilMs && nowMs >= term.heldSinceMs + takeOverWait.count();
}

lease_tracker lease_tracker::make(const lease_settings &settings)
{
    return lease_tracker(settings);
}

lease_tracker::lease_tracker(const lease_settings &settings)
    : m_settings(settings)
{ }

void lease_tracker::onAnswer(const lease_answer &answer, std::int64_t sentAtMs, std::int64_t nowMs)
{
    if (answer.outcome == store_outcome::Unavailable) {
        return;
    }
    const bool done = answer.outcome == store_outcome::Done;
    if (answer.era.value_or(0) != m_era) {
        m_era = answer.era.value_or(0);
        onRestored();
    }
    m_generation = done ? answer.generation : 0;
    const bool holds = done && answer.holds;
    // After the old term expired, another entry may have held the lease, unless the generation shows that nothing changed.
    const bool unchanged = m_generation == m_heldGeneration;
    const bool continues = holds && (unchanged || (m_term.holds && sentAtMs <= m_term.validUntilMs));
    m_term.heldSinceMs = continues ? m_term.heldSinceMs : nowMs;
    m_term.holds = holds;
    m_term.fencingToken = fencingTokenOf(m_era, m_generation);
    m_term.validUntilMs = sentAtMs + m_settings.lifetime.count() - m_settings.margin.count();
    m_heldGeneration = holds ? m_generation : 0;
}

void lease_tracker::onRestored()
{
    onReleased();
    m_generation = 0;
    m_term.validUntilMs = 0;
}

void lease_tracker::onReleased()
{
    m_term.holds = false;
    m_heldGeneration = 0;
}

} // namespace heatherroute
