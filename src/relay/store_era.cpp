#include "relay/store_era.h"

namespace heatherroute
{

const char *toString(era_verdict verdict) noexcept
{
    switch (verdict) {
    case era_verdict::Current:
        return "current";
    case era_verdict::Newer:
        return "newer";
    case era_verdict::Older:
        return "older";
    case era_verdict::Missing:
        return "missing";
    }
    return "unknown";
}

store_era store_era::make()
{
    return {};
}

era_verdict store_era::onAnswer(std::optional<std::uint64_t> era)
{
    const bool isFirst = !m_answered;
    m_answered = true;
    if (!era) {
        return m_current == 0 ? era_verdict::Current : era_verdict::Missing;
    }
    if (*era < m_current) {
        return era_verdict::Older;
    }
    if (*era == m_current) {
        return era_verdict::Current;
    }
    const bool wasKnown = m_current != 0;
    m_current = *era;
    // Before its first answer, this entry holds nothing of another era.
    return isFirst && !wasKnown ? era_verdict::Current : era_verdict::Newer;
}

era_verdict store_era::onPeer(std::uint64_t era)
{
    if (era == 0) {
        return m_current == 0 ? era_verdict::Current : era_verdict::Missing;
    }
    if (era < m_current) {
        return era_verdict::Older;
    }
    if (era == m_current) {
        return era_verdict::Current;
    }
    m_current = era;
    return m_answered ? era_verdict::Newer : era_verdict::Current;
}

std::optional<std::uint64_t> stream_position::begin(const store_era &era)
{
    if (m_era != era.current()) {
        m_next.reset();
    }
    m_askedInEra = era.current();
    m_isSnapshot = !m_next.has_value();
    return m_next;
}

read_verdict stream_position::end(const store_era &era, era_verdict verdict, std::uint64_t next)
{
    if (verdict == era_verdict::Older) {
        return read_verdict::Discard;
    }
    if (!m_isSnapshot && (verdict == era_verdict::Missing || m_askedInEra != era.current())) {
        m_next.reset();
        return read_verdict::Reread;
    }
    m_era = era.current();
    m_next = verdict == era_verdict::Missing ? std::nullopt : std::optional(next);
    return read_verdict::Use;
}

std::uint64_t fencingTokenOf(std::uint64_t era, std::uint64_t generation) noexcept
{
    constexpr unsigned kGenerationBits = 32;
    return (era << kGenerationBits) + generation;
}

} // namespace heatherroute
