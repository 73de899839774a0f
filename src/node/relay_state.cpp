#include "node/relay_state.h"

#include <utility>

namespace heatherroute::node
{

namespace
{

constexpr double kPlainGain = 0.1; ///< Weight of the newest time of a plain request.
constexpr double kPlainSeconds = 0.02; ///< Time of a plain request before any was seen.

} // namespace

relay_state::relay_state(boost::asio::any_io_executor relayExecutor, platform_dialect relayDialect, retry_limit limit, std::uint64_t seed)
    : executor(std::move(relayExecutor))
    , dialect(std::move(relayDialect))
    , random(seed)
    , news(news_board::make({}))
    , judge(upstream_judge::make({}))
    , registry(upstream_registry::make({}, [this](const registration &run, upstream_change change) { onUpstreamChange(run, change); }))
    , retries(retry_pool::make(limit))
    , desk(engine_desk::make({}))
{ }

void relay_state::onUpstreamChange(const registration &run, upstream_change change)
{
    if (change == upstream_change::Removed) {
        judge.remove(run.id);
    } else if (change == upstream_change::Added || change == upstream_change::Restarted || change == upstream_change::Phase) {
        judge.add(run);
    }
    if ((change == upstream_change::Draining || change == upstream_change::Leaving) && run.phase == engine_phase::Prefill) {
        plannerOf(run.service).noteLeaving(coreNow());
    }
    // What the first whole list holds is no news: every entry begins with it.
    if (registry.isComplete() && isSeenInStore(change)) {
        news.noteChange(coreNow(), {run, change == upstream_change::Removed, std::nullopt});
    }
    log(log_level::Info,
        "upstream_changed",
        {upstreamField(run.id),
         {"change", toString(change)},
         {"service", run.service},
         {"address", run.address},
         {"started_at", std::to_string(run.startedAt)},
         {"sequence", std::to_string(run.sequence)}});
}

void relay_state::announceMove(const registration &run, engine_phase to)
{
    noteMove(run, to);
    upstream_news told;
    told.run = run;
    told.movingTo = to;
    news.noteUrgentChange(coreNow(), std::move(told));
}

void relay_state::noteMove(const registration &run, engine_phase to)
{
    const instant now = coreNow();
    registry.onMoving(now, run.id, to);
    if (run.phase == to) {
        plannerOf(run.service).abandon(run.id);
    } else {
        plannerOf(run.service).noteMoving(now, run.id, to);
    }
}

std::vector<upstream_candidate> relay_state::candidates(const std::vector<const registration *> &runs) const
{
    std::vector<upstream_candidate> result;
    result.reserve(runs.size());
    const instant now = coreNow();
    for (const registration *run : runs) {
        if (!judge.isReachable(now, run->id)) {
            continue;
        }
        const auto found = inFlight.find(run->id);
        result.push_back({run, judge.weight(run->id), found == inFlight.end() ? 0.0 : static_cast<double>(found->second)});
    }
    return result;
}

void relay_state::noteFailedTry(const std::string &id, verdict ran)
{
    if (ran == verdict::NotRun) {
        judge.noteUnreachable(coreNow(), id);
    } else {
        judge.noteFailure(coreNow(), id);
    }
}

phase_planner &relay_state::plannerOf(const std::string &service)
{
    return planners.try_emplace(service, phase_planner::make({})).first->second;
}

void relay_state::log(log_level level, std::string event, std::vector<log_field> fields) const
{
    if (writeLog) {
        writeLog({level, std::move(event), std::move(fields)});
    }
}

double relay_state::draw()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

duration relay_state::expectedPlain(const std::string &service) const
{
    const auto found = plainTimes.find(service);
    const double seconds = found == plainTimes.end() ? kPlainSeconds : found->second.value(kPlainSeconds);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void relay_state::notePlain(const std::string &service, duration took)
{
    plainTimes[service].observe(std::chrono::duration<double>(took).count(), kPlainGain);
}

} // namespace heatherroute::node
