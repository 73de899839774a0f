#include "heatherroute/admission.h"

#include <algorithm>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

constexpr duration kShortestRetry = std::chrono::milliseconds(50);
constexpr duration kLongestRetry = std::chrono::seconds(30);
constexpr double kEndGain = 0.1;
constexpr double kLongestEndGapSeconds = 1.0;

} // namespace

std::string_view toString(admission_failure value) noexcept
{
    switch (value) {
    case admission_failure::QueueFull:
        return "queue_full";
    case admission_failure::TeamLimit:
        return "team_limit";
    case admission_failure::WaitedTooLong:
        return "waited_too_long";
    }
    return "queue_full";
}

admission_lane::admission_lane(const admission_limits &limits)
    : m_limits(limits)
{ }

admission_lane admission_lane::make(const admission_limits &limits)
{
    return admission_lane(limits);
}

void admission_lane::setLimits(const admission_limits &limits)
{
    m_limits = limits;
}

void admission_lane::setTeam(const team_rule &rule)
{
    m_rules[rule.name] = rule;
}

void admission_lane::dropTeam(const std::string &team)
{
    m_rules.erase(team);
}

admission_result admission_lane::submit(instant now, const admission_request &request)
{
    HR_ASSERT(!m_places.contains(request.id));
    HR_ASSERT(request.cost > 0.0);
    // Places that are free go to those who came before; only then is the queue judged full.
    admission_result result = next(now);
    if (makeRoom(request, result)) {
        enqueue(now, request);
        while (admitOne(request.priority, result)) {
        }
    }
    check();
    return result;
}

admission_result admission_lane::finish(instant now, std::uint64_t id)
{
    const auto found = m_places.find(id);
    if (found == m_places.end()) {
        return {};
    }
    if (!found->second.running) {
        removeWaiting(id);
        return next(now);
    }
    const auto team = m_runningByTeam.find(found->second.team);
    team->second -= 1;
    if (team->second == 0) {
        m_runningByTeam.erase(team);
    }
    m_running -= 1;
    m_places.erase(found);
    if (m_lastEnd) {
        const double gap = std::min(kLongestEndGapSeconds, std::chrono::duration<double>(now - *m_lastEnd).count());
        m_secondsPerEnd += kEndGain * (gap - m_secondsPerEnd);
    }
    m_lastEnd = now;
    return next(now);
}

admission_result admission_lane::next(instant now)
{
    admission_result result;
    for (const priority_class priority : {priority_class::Interactive, priority_class::Batch}) {
        expire(now, priority, result);
        while (admitOne(priority, result)) {
        }
    }
    check();
    return result;
}

std::uint32_t admission_lane::running() const noexcept
{
    return m_running;
}

std::uint32_t admission_lane::queued(priority_class priority) const noexcept
{
    return m_queues[static_cast<std::size_t>(priority)].size;
}

admission_lane::class_queue &admission_lane::queueOf(priority_class priority)
{
    return m_queues[static_cast<std::size_t>(priority)];
}

double admission_lane::weightOf(const std::string &team) const
{
    const auto rule = m_rules.find(team);
    return rule == m_rules.end() ? 1.0 : std::max(1U, rule->second.weight);
}

bool admission_lane::teamMayRun(const std::string &team) const
{
    const auto rule = m_rules.find(team);
    if (rule == m_rules.end() || rule->second.maxConcurrent == 0) {
        return true;
    }
    const auto running = m_runningByTeam.find(team);
    return running == m_runningByTeam.end() || running->second < rule->second.maxConcurrent;
}

bool admission_lane::classMayRun(priority_class priority) const
{
    const std::uint32_t keptBack = priority == priority_class::Batch ? m_limits.interactiveRunning : 0;
    return m_running + keptBack < m_limits.running;
}

bool admission_lane::makeRoom(const admission_request &request, admission_result &result)
{
    class_queue &queue = queueOf(request.priority);
    const bool startsAtOnce = queue.size == 0 && classMayRun(request.priority) && teamMayRun(request.team);
    if (startsAtOnce || queue.size < m_limits.queuedPerClass) {
        return true;
    }
    const auto longness = [&](const std::string &team, std::size_t length) { return static_cast<double>(length) / weightOf(team); };
    const auto own = queue.teams.find(request.team);
    const double ownLongness = longness(request.team, own == queue.teams.end() ? 1 : own->second.requests.size() + 1);
    auto longest = queue.teams.end();
    for (auto each = queue.teams.begin(); each != queue.teams.end(); ++each) {
        const double length = longness(each->first, each->second.requests.size());
        if (longest == queue.teams.end() || length > longness(longest->first, longest->second.requests.size())) {
            longest = each;
        }
    }
    if (longest == queue.teams.end() || longness(longest->first, longest->second.requests.size()) <= ownLongness) {
        const admission_failure why = longest == own && own != queue.teams.end() ? admission_failure::TeamLimit : admission_failure::QueueFull;
        result.refused.push_back({request.id, why, estimateWait(request.priority)});
        return false;
    }
    const std::uint64_t displaced = longest->second.requests.back().id;
    result.refused.push_back({displaced, admission_failure::TeamLimit, estimateWait(request.priority)});
    removeWaiting(displaced);
    return true;
}

void admission_lane::enqueue(instant now, const admission_request &request)
{
    class_queue &queue = queueOf(request.priority);
    team_queue &team = queue.teams[request.team];
    waiting added;
    added.id = request.id;
    added.start = std::max(queue.virtualTime, team.lastFinish);
    added.order = ++m_order;
    added.arrived = now;
    team.lastFinish = added.start + request.cost / weightOf(request.team);
    team.requests.push_back(added);
    if (team.requests.size() == 1) {
        queue.heads.insert({added.start, added.order, request.team});
    }
    queue.size += 1;
    m_places.emplace(request.id, place{request.team, request.priority, false});
}

void admission_lane::removeWaiting(std::uint64_t id)
{
    const auto found = m_places.find(id);
    const place gone = found->second;
    class_queue &queue = queueOf(gone.priority);
    team_queue &team = queue.teams.at(gone.team);
    const auto position = std::find_if(team.requests.begin(), team.requests.end(), [&](const waiting &each) { return each.id == id; });
    HR_ASSERT(position != team.requests.end());
    // The team is not charged for a request at the end that never ran.
    if (std::next(position) == team.requests.end()) {
        team.lastFinish = position->start;
    }
    const bool wasHead = position == team.requests.begin();
    queue.heads.erase({position->start, position->order, gone.team});
    team.requests.erase(position);
    if (wasHead) {
        refreshHead(queue, gone.team, team);
    }
    if (team.requests.empty() && team.lastFinish <= queue.virtualTime) {
        queue.teams.erase(gone.team);
    }
    queue.size -= 1;
    m_places.erase(found);
}

void admission_lane::refreshHead(class_queue &queue, const std::string &team, team_queue &waitingTeam)
{
    if (!waitingTeam.requests.empty()) {
        const waiting &first = waitingTeam.requests.front();
        queue.heads.insert({first.start, first.order, team});
    }
}

bool admission_lane::admitOne(priority_class priority, admission_result &result)
{
    if (!classMayRun(priority)) {
        return false;
    }
    class_queue &queue = queueOf(priority);
    const auto chosen = std::find_if(queue.heads.begin(), queue.heads.end(), [&](const head &each) { return teamMayRun(each.team); });
    if (chosen == queue.heads.end()) {
        return false;
    }
    const auto taken = queue.heads.extract(chosen);
    const head &first = taken.value();
    team_queue &team = queue.teams.at(first.team);
    const std::uint64_t id = team.requests.front().id;
    team.requests.pop_front();
    refreshHead(queue, first.team, team);
    queue.size -= 1;
    queue.virtualTime = std::max(queue.virtualTime, first.start);
    m_places.at(id).running = true;
    m_runningByTeam[first.team] += 1;
    m_running += 1;
    result.admitted.push_back(id);
    // A team that is no longer ahead of the others is as good as new.
    std::erase_if(queue.teams, [&](const auto &each) { return each.second.requests.empty() && each.second.lastFinish <= queue.virtualTime; });
    return true;
}

void admission_lane::expire(instant now, priority_class priority, admission_result &result)
{
    const duration longest = priority == priority_class::Interactive ? m_limits.longestWaitInteractive : m_limits.longestWaitBatch;
    std::vector<std::uint64_t> late;
    for (const auto &[name, team] : queueOf(priority).teams) {
        for (const waiting &each : team.requests) {
            if (now - each.arrived < longest) {
                break;
            }
            late.push_back(each.id);
        }
    }
    for (const std::uint64_t id : late) {
        result.refused.push_back({id, admission_failure::WaitedTooLong, estimateWait(priority)});
        removeWaiting(id);
    }
}

duration admission_lane::estimateWait(priority_class priority) const
{
    std::uint32_t ahead = m_queues[0].size;
    if (priority == priority_class::Batch) {
        ahead += m_queues[1].size;
    }
    const double seconds = m_secondsPerEnd * (ahead + 1.0);
    const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return std::clamp(wait, kShortestRetry, kLongestRetry);
}

void admission_lane::check() const
{
    std::uint32_t total = m_running;
    for (const class_queue &queue : m_queues) {
        total += queue.size;
    }
    HR_INVARIANT("every request is queued, running or answered", m_places.size() == total);
}

} // namespace heatherroute
