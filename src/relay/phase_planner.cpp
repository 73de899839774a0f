#include "relay/phase_planner.h"

#include <algorithm>
#include <cmath>

namespace heatherroute
{

namespace
{

double secondsOf(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

phase_planner phase_planner::make(const phase_plan_settings &settings)
{
    return phase_planner(settings);
}

phase_planner::phase_planner(const phase_plan_settings &settings)
    : m_settings(settings)
    , m_prefillSeconds(secondsOf(settings.prefillCost))
    , m_decodeSeconds(secondsOf(settings.decodeCost))
{ }

void phase_planner::notePrefill(duration computing)
{
    m_seenWork = true;
    m_prefillSeconds += m_settings.gain * (secondsOf(computing) - m_prefillSeconds);
}

void phase_planner::noteDecode(duration ran, double memoryPart)
{
    m_decodeSeconds += m_settings.gain * (secondsOf(ran) * memoryPart - m_decodeSeconds);
}

void phase_planner::noteMoving(instant now, const std::string &id, engine_phase to)
{
    m_moving.try_emplace(id, move_under_way{to, now});
}

void phase_planner::abandon(const std::string &id)
{
    m_moving.erase(id);
}

std::size_t phase_planner::wantedPrefill(std::size_t engines) const
{
    if (engines < m_settings.fewestPrefill + m_settings.fewestDecode) {
        return std::min(engines, m_settings.fewestPrefill);
    }
    const double prefill = m_settings.prefillHeadroom * m_prefillSeconds;
    const double share = prefill / (prefill + m_decodeSeconds);
    const auto wanted = static_cast<std::size_t>(std::lround(share * static_cast<double>(engines)));
    return std::clamp(wanted, m_settings.fewestPrefill, engines - m_settings.fewestDecode);
}

void phase_planner::noteLeaving(instant now)
{
    m_plannedLossAt = now;
}

phase_planner::pool_view phase_planner::viewOf(instant now, const std::vector<const registration *> &engines)
{
    pool_view view;
    for (const registration *engine : engines) {
        const auto moving = m_moving.find(engine->id);
        const bool arrived = moving != m_moving.end() && now - moving->second.since > m_settings.moveTime;
        const bool isMoving = moving != m_moving.end() && !arrived;
        // An engine on its way counts where it goes.
        const std::optional<engine_phase> phase = isMoving ? moving->second.to : engine->phase;
        view.prefill += phase == engine_phase::Prefill ? 1 : 0;
        if (!isMoving) {
            view.movable.push_back(engine);
        }
        if (arrived) {
            m_moving.erase(moving);
        }
    }
    view.wanted = wantedPrefill(engines.size());
    return view;
}

void phase_planner::observe(instant now, const std::vector<const registration *> &engines)
{
    const pool_view view = viewOf(now, engines);
    if (view.prefill == view.wanted) {
        m_differsSince.reset();
    } else if (!m_differsSince) {
        m_differsSince = now;
    }
}

bool phase_planner::isDue(instant now, const pool_view &view, std::size_t engines) const
{
    // A pool without any engine serves nobody, and before the first request a move holds nobody up.
    const bool urgent = view.prefill == 0 || view.prefill == engines || !m_seenWork;
    const bool plannedLoss = m_plannedLossAt && now - *m_plannedLossAt < m_settings.plannedLossTime;
    duration patience = m_settings.patience;
    if (view.prefill < view.wanted) {
        patience = plannedLoss ? m_settings.plannedLossPatience : m_settings.shortPatience;
    }
    const bool pausing = m_seenWork && m_lastMove && now - *m_lastMove < m_settings.pauseBetween;
    return !pausing && (urgent || now - *m_differsSince >= patience);
}

std::optional<phase_move> phase_planner::plan(instant now, const std::vector<const registration *> &engines, const std::map<std::string, double> &loadOf)
{
    observe(now, engines);
    const pool_view view = viewOf(now, engines);
    if (view.prefill == view.wanted || !isDue(now, view, engines.size())) {
        return std::nullopt;
    }
    const engine_phase from = view.prefill > view.wanted ? engine_phase::Prefill : engine_phase::Decode;
    std::vector<const registration *> movable = view.movable;
    std::erase_if(movable, [from](const registration *engine) { return engine->phase != from; });
    if (movable.empty()) {
        return std::nullopt;
    }
    const auto load = [&loadOf](const registration *engine) {
        const auto found = loadOf.find(engine->id);
        return found == loadOf.end() ? 0.0 : found->second;
    };
    const registration *idlest =
        *std::min_element(movable.begin(), movable.end(), [&](const registration *left, const registration *right) { return load(left) < load(right); });
    m_lastMove = now;
    const engine_phase to = from == engine_phase::Prefill ? engine_phase::Decode : engine_phase::Prefill;
    m_moving.insert_or_assign(idlest->id, move_under_way{to, now});
    return phase_move{idlest->id, to};
}

} // namespace heatherroute
