#include "relay/engine_scheduler.h"

#include <algorithm>
#include <cmath>

namespace heatherroute
{

engine_scheduler engine_scheduler::make(const engine_scheduler_settings &settings)
{
    return engine_scheduler(settings);
}

engine_scheduler::engine_scheduler(const engine_scheduler_settings &settings)
    : m_settings(settings)
{ }

std::uint32_t engine_scheduler::reservedTokens(const prompt_facts &prompt) const
{
    const double expected = prompt.expectedOutputTokens.value_or(prompt.maxOutputTokens);
    const auto output = static_cast<std::uint32_t>(m_settings.outputReserveFactor * expected);
    return prompt.promptTokens + std::min(output, prompt.maxOutputTokens);
}

std::uint32_t engine_scheduler::prefillReservation(const prompt_facts &prompt, std::uint32_t memoryTokens) const
{
    // The prompts themselves occupy memory too, so only the remaining memory is divided among the reservations.
    const double backlogTokens = std::chrono::duration<double, std::milli>(m_settings.maxPrefillBacklog).count() * m_settings.tokensPerMs;
    const double scale = std::max(0.0, memoryTokens / backlogTokens - 1.0);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(scale * prompt.promptTokens));
}

std::vector<const registration *> engine_scheduler::decodeOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const
{
    std::vector<upstream_candidate> available;
    for (upstream_candidate candidate : engines) {
        const auto found = m_engines.find(candidate.run->id);
        if (found != m_engines.end() && found->second.backoffUntil > now) {
            continue;
        }
        candidate.load = found == m_engines.end() ? 0.0 : static_cast<double>(found->second.decodeTokens);
        available.push_back(candidate);
    }
    return orderCandidates(available, random);
}

std::vector<const registration *> engine_scheduler::prefillOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const
{
    std::vector<upstream_candidate> available;
    for (upstream_candidate candidate : engines) {
        const duration delay = prefillDelay(now, candidate.run->id);
        const auto found = m_engines.find(candidate.run->id);
        const bool refused = found != m_engines.end() && found->second.backoffUntil > now;
        if (refused || delay > m_settings.maxPrefillDelay) {
            continue;
        }
        const double ownTokens = found == m_engines.end() ? 0.0 : static_cast<double>(found->second.prefillTokens);
        candidate.load = ownTokens + std::chrono::duration<double, std::milli>(delay).count() * m_settings.tokensPerMs;
        available.push_back(candidate);
    }
    return orderCandidates(available, random);
}

void engine_scheduler::noteFull(instant now, const std::string &id)
{
    engine_state &engine = m_engines[id];
    engine.backoffUntil = now + m_settings.fullBackoff;
    if (!engine.refusingSince) {
        engine.refusingSince = now;
    }
}

void engine_scheduler::noteAccepted(const std::string &id)
{
    m_engines[id].refusingSince.reset();
}

std::vector<std::string> engine_scheduler::enginesToQuery(instant now, const std::vector<const registration *> &engines)
{
    std::vector<std::string> result;
    for (const registration *run : engines) {
        const auto found = m_engines.find(run->id);
        if (found == m_engines.end() || !found->second.refusingSince) {
            continue;
        }
        engine_state &engine = found->second;
        if (now - *engine.refusingSince >= m_settings.probeAfterRefusingFor && now - engine.probedAt >= m_settings.probeInterval) {
            engine.probedAt = now;
            result.push_back(run->id);
        }
    }
    return result;
}

void engine_scheduler::noteWrongPhase(instant now, const std::string &id)
{
    m_engines[id].backoffUntil = now + m_settings.wrongPhaseBackoff;
}

void engine_scheduler::addDecode(const std::string &id, std::uint32_t tokens)
{
    m_engines[id].decodeTokens += tokens;
}

void engine_scheduler::removeDecode(const std::string &id, std::uint32_t tokens)
{
    auto &held = m_engines[id].decodeTokens;
    held -= std::min<std::uint64_t>(held, tokens);
}

void engine_scheduler::addPrefill(const std::string &id, std::uint32_t tokens)
{
    m_engines[id].prefillTokens += tokens;
}

void engine_scheduler::removePrefill(const std::string &id, std::uint32_t tokens)
{
    auto &held = m_engines[id].prefillTokens;
    held -= std::min<std::uint64_t>(held, tokens);
}

void engine_scheduler::notePrefill(instant now, const std::string &id, std::uint32_t tokens, duration elapsed)
{
    engine_state &engine = m_engines[id];
    const duration waited = std::max(elapsed - computeTime(tokens), duration::zero());
    const duration previous = prefillDelay(now, id);
    engine.queueDelay = previous + duration(static_cast<duration::rep>(m_settings.gain * static_cast<double>((waited - previous).count())));
    engine.queueDelayAt = now;
}

duration engine_scheduler::computeTime(std::uint32_t tokens) const
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(tokens / m_settings.tokensPerMs));
}

duration engine_scheduler::prefillDelay(instant now, const std::string &id) const
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end() || found->second.queueDelay <= duration::zero()) {
        return duration::zero();
    }
    const double halfLives = static_cast<double>((now - found->second.queueDelayAt).count()) / static_cast<double>(m_settings.delayHalfLife.count());
    return duration(static_cast<duration::rep>(static_cast<double>(found->second.queueDelay.count()) * std::exp2(-halfLives)));
}

std::map<std::string, double> engine_scheduler::loads() const
{
    std::map<std::string, double> result;
    for (const auto &[id, held] : m_engines) {
        result.emplace(id, static_cast<double>(held.decodeTokens + held.prefillTokens));
    }
    return result;
}

} // namespace heatherroute
