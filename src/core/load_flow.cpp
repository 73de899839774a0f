#include "core/load_flow.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// The least time between two polls of an entry; a report and its question take under 500 bytes.
constexpr duration kShortestGap = std::chrono::milliseconds(80);
/// A half with few engines is not polled more often than this per engine.
constexpr duration kShortestInterval = std::chrono::milliseconds(250);

} // namespace

load_flow::load_flow(core_context &context, const upstream_table &upstreams, engine_selector &engines)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_engines(engines)
{ }

void load_flow::onTick()
{
    m_engines.onTick();
    if (m_context.now() < m_next) {
        return;
    }
    m_next = m_context.now() + interval();
    pollNext();
}

void load_flow::onReported(const load_reported &event)
{
    if (event.load) {
        m_engines.loadReported(event.upstreamName, *event.load);
    }
}

void load_flow::pollNext()
{
    for (std::size_t looked = 0; looked < m_upstreams.size(); ++looked) {
        const upstream_table::entry *next = m_upstreams.after(m_last);
        m_last = next->config.name;
        if (next->mayTakeWork() && next->config.kind != upstream_kind::PlainService) {
            m_context.emit(poll_load{next->config.name, next->config.address});
            return;
        }
    }
}

duration load_flow::interval()
{
    const auto count = static_cast<duration::rep>(std::max<std::size_t>(1, m_upstreams.size()));
    const duration base = std::max(kShortestGap, kShortestInterval / count);
    // A quarter more or less, so that entries which started together don't poll together.
    const duration quarter = base / 4;
    const auto spread = static_cast<duration::rep>(randomBelow(m_context.random(), static_cast<std::uint64_t>(quarter.count()) * 2 + 1));
    return base - quarter + duration(spread);
}

} // namespace heatherroute
