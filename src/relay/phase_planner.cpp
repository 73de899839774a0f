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
    , m_prefillSeconds(secondsOf(settings.initialPrefillCost))
    , m_decodeSeconds(secondsOf(settings.initialDecodeCost))
{ }

void phase_planner::notePrefill(duration computeTime)
{
    m_seenPrefill = true;
    m_prefillSeconds += m_settings.gain * (secondsOf(computeTime) - m_prefillSeconds);
}

void phase_planner::noteDecode(duration runTime, double memoryFraction)
{
    m_decodeSeconds += m_settings.gain * (secondsOf(runTime) * memoryFraction - m_decodeSeconds);
}

void phase_planner::noteMoving(instant now, const std::string &id, engine_phase to)
{
    m_moving.try_emplace(id, pending_move{to, now});
}

void phase_planner::cancelMove(const std::string &id)
{
    m_moving.erase(id);
}

std::size_t phase_planner::wantedPrefill(std::size_t engines) const
{
    if (engines < m_settings.minPrefill + m_settings.minDecode) {
        return std::min(engines, m_settings.minPrefill);
    }
    const double prefill = m_settings.prefillHeadroom * m_prefillSeconds;
    const double fraction = prefill / (prefill + m_decodeSeconds);
    const auto wanted = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(engines)));
    return std::clamp(wanted, m_settings.minPrefill, engines - m_settings.minDecode);
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
        const bool timedOut = moving != m_moving.end() && now - moving->second.since > m_settings.moveTimeout;
        const bool isMoving = moving != m_moving.end() && !timedOut;
        // An engine with a pending move counts in its target pool.
        const std::optional<engine_phase> phase = isMoving ? moving->second.to : engine->phase;
        view.prefill += phase == engine_phase::Prefill ? 1 : 0;
        if (!isMoving) {
            view.movable.push_back(engine);
        }
        if (timedOut) {
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
        m_mismatchSince.reset();
    } else if (!m_mismatchSince) {
        m_mismatchSince = now;
    }
}

bool phase_planner::isDue(instant now, const pool_view &view, std::size_t engines) const
{
    // An empty pool serves no request, and before the first request a move delays none.
    const bool urgent = view.prefill == 0 || view.prefill == engines || !m_seenPrefill;
    const bool plannedLoss = m_plannedLossAt && now - *m_plannedLossAt < m_settings.plannedLossWindow;
    duration delay = m_settings.surplusDelay;
    if (view.prefill < view.wanted) {
        delay = plannedLoss ? m_settings.plannedShortageDelay : m_settings.shortageDelay;
    }
    const bool tooSoon = m_seenPrefill && m_lastMove && now - *m_lastMove < m_settings.minMoveInterval;
    return !tooSoon && (urgent || now - *m_mismatchSince >= delay);
}

void phase_planner::preferByVersion(std::vector<const registration *> &movable, const std::vector<const registration *> &engines, engine_phase from) const
{
    std::map<std::string, std::size_t> decodeEngines;
    for (const registration *engine : engines) {
        const auto moving = m_moving.find(engine->id);
        const std::optional<engine_phase> phase = moving != m_moving.end() ? moving->second.to : engine->phase;
        decodeEngines[engine->softwareVersion] += phase == engine_phase::Decode ? 1 : 0;
    }
    const auto isPreferred = [&](const registration *engine) {
        const std::size_t count = decodeEngines[engine->softwareVersion];
        return from == engine_phase::Decode ? count > 1 : count == 0;
    };
    if (std::any_of(movable.begin(), movable.end(), isPreferred)) {
        std::erase_if(movable, [&](const registration *engine) { return !isPreferred(engine); });
    }
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
    preferByVersion(movable, engines, from);
    const auto load = [&loadOf](const registration *engine) {
        const auto found = loadOf.find(engine->id);
        return found == loadOf.end() ? 0.0 : found->second;
    };
    const registration *leastLoaded =
        *std::min_element(movable.begin(), movable.end(), [&](const registration *left, const registration *right) { return load(left) < load(right); });
    m_lastMove = now;
    const engine_phase to = from == engine_phase::Prefill ? engine_phase::Decode : engine_phase::Prefill;
    m_moving.insert_or_assign(leastLoaded->id, pending_move{to, now});
    return phase_move{leastLoaded->id, to};
}

} // namespace heatherroute
