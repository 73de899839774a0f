#include "relay/engine_desk.h"

#include <algorithm>

namespace heatherroute
{

engine_desk engine_desk::make(const engine_desk_settings &settings)
{
    return engine_desk(settings);
}

engine_desk::engine_desk(const engine_desk_settings &settings)
    : m_settings(settings)
{ }

std::uint32_t engine_desk::reservedTokens(const prompt_facts &prompt) const
{
    const auto most = static_cast<std::uint32_t>(m_settings.reserveOfMost * prompt.maxOutputTokens);
    return prompt.promptTokens + most;
}

std::vector<const registration *> engine_desk::decodeOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const
{
    std::vector<upstream_candidate> open;
    for (upstream_candidate candidate : engines) {
        const auto found = m_engines.find(candidate.run->id);
        if (found != m_engines.end() && found->second.fullUntil > now) {
            continue;
        }
        candidate.load = found == m_engines.end() ? 0.0 : static_cast<double>(found->second.decodeTokens);
        open.push_back(candidate);
    }
    return orderCandidates(std::move(open), random);
}

std::vector<const registration *> engine_desk::prefillOrder(const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const
{
    std::vector<upstream_candidate> loaded;
    for (upstream_candidate candidate : engines) {
        const auto found = m_engines.find(candidate.run->id);
        candidate.load = found == m_engines.end() ? 0.0 : static_cast<double>(found->second.prefillTokens);
        loaded.push_back(candidate);
    }
    return orderCandidates(std::move(loaded), random);
}

void engine_desk::noteFull(instant now, const std::string &id)
{
    m_engines[id].fullUntil = now + m_settings.fullPause;
}

void engine_desk::addDecode(const std::string &id, std::uint32_t tokens)
{
    m_engines[id].decodeTokens += tokens;
}

void engine_desk::removeDecode(const std::string &id, std::uint32_t tokens)
{
    auto &held = m_engines[id].decodeTokens;
    held -= std::min<std::uint64_t>(held, tokens);
}

void engine_desk::addPrefill(const std::string &id, std::uint32_t tokens)
{
    m_engines[id].prefillTokens += tokens;
}

void engine_desk::removePrefill(const std::string &id, std::uint32_t tokens)
{
    auto &held = m_engines[id].prefillTokens;
    held -= std::min<std::uint64_t>(held, tokens);
}

void engine_desk::notePrefill(std::uint32_t tokens, duration took)
{
    if (tokens > 0) {
        const double ms = std::chrono::duration<double, std::milli>(took).count();
        m_msPerToken.observe(ms / tokens, m_settings.gain);
    }
}

duration engine_desk::expectedPrefill(std::uint32_t tokens) const
{
    const double ms = m_msPerToken.value(1.0 / m_settings.tokensPerMs) * tokens;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

std::map<std::string, double> engine_desk::loads() const
{
    std::map<std::string, double> result;
    for (const auto &[id, held] : m_engines) {
        result.emplace(id, static_cast<double>(held.decodeTokens + held.prefillTokens));
    }
    return result;
}

} // namespace heatherroute
