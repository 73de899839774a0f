#include "relay/store_read_schedule.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

using std::chrono::milliseconds;

/// Returns a random delay around @p mean, so that the reads of different entries don't coincide.
milliseconds spread(milliseconds mean, std::mt19937_64 &random)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(mean.count() / 2, mean.count() * 3 / 2)(random));
}

} // namespace

store_read_schedule store_read_schedule::make(const store_read_settings &settings, instant startedAt)
{
    return store_read_schedule(settings, startedAt);
}

store_read_schedule::store_read_schedule(const store_read_settings &settings, instant startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{ }

bool store_read_schedule::isFrequent(const store_read_needs &needs) noexcept
{
    return needs.readsForOthers || needs.holdsLease || needs.isLoading || needs.hasMissedChanges;
}

void store_read_schedule::setEntries(std::size_t count)
{
    m_entries = count;
}

void store_read_schedule::noteRead()
{
    ++m_reads;
}

milliseconds store_read_schedule::frequentDelay(instant now) const
{
    return now - m_startedAt < m_settings.startupTime ? m_settings.startupInterval : m_settings.interval;
}

milliseconds store_read_schedule::infrequentInterval() const
{
    return std::max<milliseconds>(m_settings.infrequentInterval, m_entries * m_settings.infrequentSpacing);
}

milliseconds store_read_schedule::infrequentDelay(std::mt19937_64 &random) const
{
    return spread(infrequentInterval(), random);
}

milliseconds store_read_schedule::infrequentUpstreamsDelay(std::mt19937_64 &random) const
{
    return spread(m_reads <= 1 ? m_settings.secondReadDelay : infrequentInterval(), random);
}

milliseconds store_read_schedule::retryDelay(std::uint32_t failures, milliseconds minDelay, std::mt19937_64 &random) const
{
    constexpr std::uint32_t kMaxDoublings = 5;
    constexpr int kMaxRetryDelays = 4;
    const auto grown = std::max(m_settings.minBackoff, minDelay) * (1U << std::min(failures, kMaxDoublings));
    const auto bound = std::min<milliseconds>(grown, std::max(m_settings.maxBackoff, kMaxRetryDelays * minDelay));
    return milliseconds(std::uniform_int_distribution<std::int64_t>(bound.count() / 2, bound.count())(random));
}

} // namespace heatherroute
