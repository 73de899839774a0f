#pragma once

#include <string>

#include "core/core_context.h"
#include "core/engine_selector.h"
#include "core/upstream_table.h"

namespace heatherroute
{

/**
 * Asks the engines of this half for their load, one after the other, and hands the answers to the selector.
 *
 * The number of polls a second is bounded whatever the size of the half, so that the cost of control doesn't grow with it;
 * in a large half a report is then too old to be used and own reservations alone count. Not thread safe.
 */
class load_flow
{
public:
    load_flow(core_context &context, const upstream_table &upstreams, engine_selector &engines);

    void onTick();
    void onReported(const load_reported &event);

private:
    void pollNext();
    duration interval();

    core_context &m_context;
    const upstream_table &m_upstreams;
    engine_selector &m_engines;
    std::string m_last; ///< The upstream that was looked at last.
    instant m_next{};
};

} // namespace heatherroute
