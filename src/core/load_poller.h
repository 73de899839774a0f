#pragma once

#include <string>

#include "core/core_context.h"
#include "core/engine_selector.h"
#include "core/upstream_table.h"

namespace heatherroute
{

/**
 * Polls the engines of this half for their load in turn and passes the reports to the selector.
 *
 * The number of polls per second is bounded regardless of the size of the half, so that the control traffic does not grow
 * with it. In a large half, reports are therefore too old to be used and only own reservations count. Not thread safe.
 */
class load_poller
{
public:
    load_poller(core_context &context, const upstream_table &upstreams, engine_selector &engines);

    void onTick();
    void onReported(const load_reported &event);

private:
    void pollNext();
    duration interval();

    core_context &m_context;
    const upstream_table &m_upstreams;
    engine_selector &m_engines;
    std::string m_lastVisited; ///< Name of the upstream that was visited last.
    instant m_nextPoll{};
};

} // namespace heatherroute
