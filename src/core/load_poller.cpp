#include "core/load_poller.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// Minimum mean time between two polls by this entry. It bounds the traffic, as a request and its report take less than 500 bytes.
constexpr duration kMinPollInterval = std::chrono::milliseconds(80);
/// Minimum mean time between two polls of the same engine if no upstream is a plain service; the stricter limit with few upstreams.
constexpr duration kMinPollIntervalPerEngine = std::chrono::milliseconds(250);

} // namespace

load_poller::load_poller(core_context &context, const upstream_table &upstreams, engine_selector &engines)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_engines(engines)
{ }

void load_poller::onTick()
{
    m_engines.onTick();
    if (m_context.now() < m_nextPoll) {
        return;
    }
    m_nextPoll = m_context.now() + interval();
    pollNext();
}

void load_poller::onReported(const load_reported &event)
{
    if (event.load) {
        m_engines.loadReported(event.upstreamName, *event.load);
    }
}

void load_poller::pollNext()
{
    for (std::size_t visited = 0; visited < m_upstreams.size(); ++visited) {
        const upstream_table::entry *next = m_upstreams.after(m_lastVisited);
        m_lastVisited = next->config.name;
        if (next->acceptsWork() && next->config.kind != upstream_kind::PlainService) {
            m_context.emit(poll_load{next->config.name, next->config.address});
            return;
        }
    }
}

duration load_poller::interval()
{
    const auto count = static_cast<duration::rep>(std::max<std::size_t>(1, m_upstreams.size()));
    const duration base = std::max(kMinPollInterval, kMinPollIntervalPerEngine / count);
    // Jitter of a quarter in each direction, so that entries that started at the same time do not poll at the same time.
    const duration quarter = base / 4;
    const auto spread = static_cast<duration::rep>(randomBelow(m_context.random(), static_cast<std::uint64_t>(quarter.count()) * 2 + 1));
    return base - quarter + duration(spread);
}

} // namespace heatherroute
