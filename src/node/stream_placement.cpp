#include "node/stream_placement.h"

#include <algorithm>
#include <utility>

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// Requests to the coordinator in one search. Each that follows a refusal costs a round trip to it and one to an engine.
constexpr std::uint32_t kMaxAsked = 3;

} // namespace

stream_placement::stream_placement(relay_call &call, engine_phase phase, allowed_hook allowed)
    : m_call(call)
    , m_phase(phase)
    , m_allowed(std::move(allowed))
{ }

stream_placement::~stream_placement()
{
    end();
}

void stream_placement::begin(const std::string &service, std::uint32_t tokens, instant giveUpAt, duration computeTime)
{
    end();
    m_service = service;
    m_tokens = tokens;
    m_giveUpAt = giveUpAt;
    m_computeTime = computeTime;
    m_asked = 0;
    m_choosesItself = false;
    m_refusing.clear();
    m_refusedWait.reset();
}

asio::awaitable<std::optional<registration>> stream_placement::next()
{
    end();
    engine_placements &placements = m_call.state().placements;
    while (placements.isActive() && !m_choosesItself && m_asked < kMaxAsked && !m_call.isEnded() && !allowedRuns().empty()) {
        m_asked += 1;
        listUnusable();
        engine_placement_request request;
        request.service = m_service;
        request.phase = m_phase;
        request.tokens = m_tokens;
        request.priority = m_call.priority();
        request.maxWaitMs = static_cast<std::uint32_t>(maxWait().count());
        request.refusing = m_refusing;
        const placement_answer answer = co_await placements.place(std::move(request));
        if (answer.outcome == placement_outcome::NoRoom) {
            m_refusedWait = answer.wait;
            co_return std::nullopt;
        }
        if (answer.outcome == placement_outcome::NoCoordinator) {
            break;
        }
        m_number = answer.number;
        m_engine = answer.engine;
        for (registration &run : allowedRuns()) {
            if (run.id == m_engine) {
                co_return std::move(run);
            }
        }
        refuse();
    }
    m_choosesItself = true;
    co_return std::nullopt;
}

void stream_placement::refuse()
{
    if (m_refusing.size() < kMaxRefusingEngines) {
        m_refusing.push_back(m_engine);
    } else {
        m_refusing.back() = m_engine;
    }
    end();
}

void stream_placement::adopt(const registration &run)
{
    end();
    m_number = m_call.state().placements.adopt(m_service, m_phase, run.id, m_tokens);
}

void stream_placement::end()
{
    if (m_number != 0) {
        m_call.state().placements.end(std::exchange(m_number, 0));
    }
}

std::vector<registration> stream_placement::allowedRuns() const
{
    std::vector<registration> runs;
    for (const upstream_candidate &candidate : m_allowed()) {
        runs.push_back(*candidate.run);
    }
    return runs;
}

/// Lists engines that the request can't use, such as those of another software version, so that they aren't assigned.
void stream_placement::listUnusable()
{
    const std::vector<upstream_candidate> allowed = m_allowed();
    for (const registration *run : m_call.state().registry.usable(m_service, m_phase)) {
        const bool isAllowed = std::any_of(allowed.begin(), allowed.end(), [run](const upstream_candidate &one) { return one.run->id == run->id; });
        const bool isListed = std::find(m_refusing.begin(), m_refusing.end(), run->id) != m_refusing.end();
        // The last places are kept for engines that refuse.
        if (!isAllowed && !isListed && m_refusing.size() + kMaxAsked < kMaxRefusingEngines) {
            m_refusing.push_back(run->id);
        }
    }
}

std::chrono::milliseconds stream_placement::maxWait() const
{
    duration wait = m_giveUpAt - coreNow();
    const duration target = m_call.matchedRoute().latencyTarget;
    if (target > duration::zero()) {
        wait = std::min(wait, target - m_call.age() - m_computeTime);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(wait, duration::zero()));
}

} // namespace heatherroute::node
