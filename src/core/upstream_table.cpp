#include "core/upstream_table.h"

#include <algorithm>
#include <utility>

#include "heatherroute/assert.h"

namespace heatherroute
{

upstream_table::upstream_table()
    : m_connects(connect_backoff::make({}))
{ }

void upstream_table::setAdmissionCheck(std::function<bool()> admitsWork)
{
    m_admitsWork = std::move(admitsWork);
}

void upstream_table::upsert(const upstream &config)
{
    ++m_revision;
    entry &known = m_entries[config.name];
    if (!known.config.name.empty()) {
        removeFromPool(known.config);
    }
    if (known.config.address != config.address) {
        m_connects.forget(config.name);
    }
    known.config = config;
    known.inConfiguration = true;
    std::vector<std::string> &pool = m_pools[{config.kind, config.modelOrService}];
    pool.insert(std::lower_bound(pool.begin(), pool.end(), config.name), config.name);
}

void upstream_table::remove(const std::string &name)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return;
    }
    ++m_revision;
    removeFromPool(found->second.config);
    m_connects.forget(name);
    found->second.inConfiguration = false;
    eraseIfUnused(name);
}

const upstream_table::entry *upstream_table::find(const std::string &name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<const upstream_table::entry *> upstream_table::candidates(instant now, upstream_kind kind, const std::string &modelOrService) const
{
    std::vector<const entry *> result;
    if (m_admitsWork && !m_admitsWork()) {
        return result;
    }
    const auto pool = m_pools.find({kind, modelOrService});
    if (pool == m_pools.end()) {
        return result;
    }
    for (const std::string &name : pool->second) {
        const entry &candidate = m_entries.at(name);
        if (candidate.acceptsWork() && m_connects.isReachable(now, name)) {
            result.push_back(&candidate);
        }
    }
    return result;
}

bool upstream_table::serves(upstream_kind kind, const std::string &modelOrService) const
{
    const auto pool = m_pools.find({kind, modelOrService});
    return pool != m_pools.end() && !pool->second.empty();
}

std::vector<const upstream_table::entry *> upstream_table::all() const
{
    std::vector<const entry *> result;
    result.reserve(m_entries.size());
    for (const auto &[name, known] : m_entries) {
        result.push_back(&known);
    }
    return result;
}

void upstream_table::reserve(const std::string &name, std::uint32_t pieces)
{
    usage &used = m_entries.at(name).used;
    ++used.slots;
    used.pieces += pieces;
}

void upstream_table::release(const std::string &name, std::uint32_t pieces)
{
    usage &used = m_entries.at(name).used;
    HR_INVARIANT("no engine memory held for callers who are gone", used.slots > 0 && used.pieces >= pieces);
    --used.slots;
    used.pieces -= pieces;
    eraseIfUnused(name);
}

void upstream_table::beginRunning(const std::string &name, std::uint32_t pieces)
{
    usage &used = m_entries.at(name).used;
    ++used.runningSlots;
    used.runningPieces += pieces;
    HR_INVARIANT("no engine memory used beyond its reservation", used.runningSlots <= used.slots && used.runningPieces <= used.pieces);
}

void upstream_table::endRunning(const std::string &name, std::uint32_t pieces)
{
    usage &used = m_entries.at(name).used;
    HR_ASSERT(used.runningSlots > 0 && used.runningPieces >= pieces);
    --used.runningSlots;
    used.runningPieces -= pieces;
}

void upstream_table::queuePrompt(const std::string &name, std::uint64_t tokens)
{
    usage &used = m_entries.at(name).used;
    ++used.queuedPrompts;
    used.queuedTokens += tokens;
}

void upstream_table::dequeuePrompt(const std::string &name, std::uint64_t tokens)
{
    usage &used = m_entries.at(name).used;
    HR_ASSERT(used.queuedPrompts > 0 && used.queuedTokens >= tokens);
    --used.queuedPrompts;
    used.queuedTokens -= tokens;
}

const upstream_table::entry *upstream_table::after(const std::string &name) const
{
    if (m_entries.empty()) {
        return nullptr;
    }
    const auto next = m_entries.upper_bound(name);
    return next == m_entries.end() ? &m_entries.begin()->second : &next->second;
}

void upstream_table::eraseIfUnused(const std::string &name)
{
    const auto found = m_entries.find(name);
    if (!found->second.inConfiguration && found->second.used == usage{}) {
        m_entries.erase(found);
    }
}

void upstream_table::removeFromPool(const upstream &config)
{
    std::vector<std::string> &pool = m_pools[{config.kind, config.modelOrService}];
    std::erase(pool, config.name);
}

} // namespace heatherroute
