#include "core/engine_selector.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr duration kRetryAfterNoCapacity = std::chrono::seconds(1);
/// Older load reports are ignored.
constexpr duration kReportLifetime = std::chrono::seconds(2);
/// Must be shorter than the lifetime of a load in the replica table, so that own reservations are always counted there.
constexpr duration kLoadUpdateInterval = std::chrono::milliseconds(500);
/// Maximum number of choices for one reservation. Only the owner_grants policy checks for room, so a choice of another policy may have to be
/// repeated.
constexpr int kMaxPlacementAttempts = 4;
constexpr std::size_t kDecodeSampleSize = 16;
constexpr std::size_t kPrefixIndexBlocks = 1024;
/// The duration of a shorter prefill is dominated by the overhead of the call, not by the prefill rate.
constexpr std::uint32_t kMinTokensForRate = 64;
constexpr double kPromptLengthGain = 0.05;
constexpr double kDefaultPromptTokens = 1000.0;

std::uint32_t piecesFor(std::uint32_t tokens, std::uint32_t pieceTokens)
{
    const std::uint32_t size = std::max<std::uint32_t>(pieceTokens, 1);
    return (tokens + size - 1) / size;
}

template<typename Number>
Number saturatingSubtract(Number all, Number own)
{
    return all - std::min(all, own);
}

} // namespace

engine_selector::engine_selector(core_context &context, upstream_table &upstreams)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_rates(rate_estimator::make({}))
    , m_prefixes(prefix_index::make(kPrefixIndexBlocks))
    , m_policy(makePlacementPolicy(context.options().placement, context.options().targets))
    , m_retryAfter(kRetryAfterNoCapacity)
{ }

std::optional<engine_pair> engine_selector::reservePair(const engine_requirements &requirements)
{
    m_retryAfter = kRetryAfterNoCapacity;
    syncWithConfiguration();
    const auto request = makePlacementRequest(requirements);
    if (!request) {
        return std::nullopt;
    }
    const std::vector<std::string> excluded = excludedNow(requirements);
    setWeights(excluded, 0.0);
    std::optional<engine_pair> reserved;
    for (int attempt = 0; attempt < kMaxPlacementAttempts && !reserved; ++attempt) {
        const placement_decision decision = m_policy(m_context.now(), *request, {m_replicas, m_rates, m_prefixes}, m_context.random());
        if (const auto *refused = std::get_if<placement_refusal>(&decision)) {
            m_retryAfter = refused->retryAfter;
            break;
        }
        reserved = reserve(*request, requirements, excluded, std::get<placement_pair>(decision));
    }
    setWeights(excluded, 1.0);
    return reserved;
}

std::vector<std::string> engine_selector::excludedNow(const engine_requirements &requirements) const
{
    std::vector<std::string> excluded = m_upstreams.connects().unreachable(m_context.now());
    excluded.insert(excluded.end(), requirements.excludedEngines.begin(), requirements.excludedEngines.end());
    return excluded;
}

std::optional<engine_pair> engine_selector::reserve(const placement_request &request,
                                                    const engine_requirements &requirements,
                                                    const std::vector<std::string> &excludedEngines,
                                                    const placement_pair &pair)
{
    const auto excluded = [&excludedEngines](const std::string &name) {
        return std::find(excludedEngines.begin(), excludedEngines.end(), name) != excludedEngines.end();
    };
    const std::string &prefill = nameOf(pair.prefill);
    std::vector<replica_index> decodes = {pair.decode};
    decodes.insert(decodes.end(), pair.fallbackDecodes.begin(), pair.fallbackDecodes.end());
    const auto usable = [&](replica_index each) { return !excluded(nameOf(each)) && hasUnreservedCapacity(nameOf(each), request.pieces); };
    const auto chosen = std::find_if(decodes.begin(), decodes.end(), usable);
    if (excluded(prefill) || chosen == decodes.end()) {
        return std::nullopt;
    }
    const std::string &decode = nameOf(*chosen);
    placement_progress progress;
    progress.placedAt = m_context.now();
    progress.promptTokens = requirements.promptTokens;
    progress.promptQueued = true;
    progress.prefillWasIdle = loadOf(prefill).queuedTokens == 0;
    m_promptTokens[request.prefillPool].observe(requirements.promptTokens, kPromptLengthGain);
    m_upstreams.reserve(decode, request.pieces);
    m_upstreams.reserve(prefill, 0);
    m_upstreams.queuePrompt(prefill, requirements.promptTokens);
    updateLoad(decode);
    updateLoad(prefill);
    return engine_pair{{prefill, m_upstreams.find(prefill)->config.address}, {decode, m_upstreams.find(decode)->config.address}, request.pieces, progress};
}

std::optional<chosen_engine> engine_selector::reserveDecode(const engine_requirements &requirements, std::uint32_t pieces)
{
    syncWithConfiguration();
    const pool_index pool = poolOf({upstream_kind::DecodeEngine, requirements.model});
    const std::vector<std::string> excluded = excludedNow(requirements);
    setWeights(excluded, 0.0);
    const std::vector<replica_index> sampled = m_replicas.sampleSeveral(pool, kDecodeSampleSize, m_context.random());
    setWeights(excluded, 1.0);
    const std::string *best = nullptr;
    for (const replica_index replica : sampled) {
        const std::string &name = nameOf(replica);
        const bool better = best == nullptr || loadOf(name).busySlots < loadOf(*best).busySlots;
        if (hasUnreservedCapacity(name, pieces) && better) {
            best = &name;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    m_upstreams.reserve(*best, pieces);
    updateLoad(*best);
    return chosen_engine{*best, m_upstreams.find(*best)->config.address};
}

void engine_selector::releasePrefill(const std::string &name, placement_progress &progress)
{
    if (progress.promptQueued) {
        m_upstreams.dequeuePrompt(name, progress.promptTokens);
        progress.promptQueued = false;
    }
    m_upstreams.release(name, 0);
    updateLoad(name);
}

void engine_selector::releaseDecode(const std::string &name, std::uint32_t pieces, placement_progress &progress)
{
    if (progress.decodeRunning) {
        m_upstreams.endRunning(name, pieces);
        progress.decodeRunning = false;
    }
    m_upstreams.release(name, pieces);
    updateLoad(name);
}

duration engine_selector::retryAfter() const
{
    return m_retryAfter;
}

void engine_selector::markUnreachable(const std::string &name)
{
    m_upstreams.connects().noteUnreachable(m_context.now(), name);
}

void engine_selector::prefillFinished(const std::string &name, placement_progress &progress, std::uint32_t computedTokens)
{
    m_upstreams.connects().noteAnswered(name);
    progress.prefillFinishedAt = m_context.now();
    if (progress.promptQueued) {
        m_upstreams.dequeuePrompt(name, progress.promptTokens);
        progress.promptQueued = false;
    }
    const auto known = m_engines.find(name);
    // The duration of a prompt that waited behind others includes the queue and says nothing about the prefill rate.
    if (known != m_engines.end() && progress.prefillWasIdle && computedTokens >= kMinTokensForRate) {
        m_rates.observePrefill(known->second.traits.pool, known->second.replica, computedTokens, m_context.now() - progress.placedAt);
    }
    updateLoad(name);
}

void engine_selector::tokensReceived(const std::string &prefill, const std::string &decode, std::uint32_t pieces, placement_progress &progress)
{
    if (progress.decodeRunning) {
        return;
    }
    m_upstreams.connects().noteAnswered(decode);
    progress.decodeRunning = true;
    progress.firstTokenAt = m_context.now();
    m_upstreams.beginRunning(decode, pieces);
    updateLoad(decode);
    const auto from = m_engines.find(prefill);
    const auto to = m_engines.find(decode);
    if (from == m_engines.end() || to == m_engines.end()) {
        return;
    }
    const double tokenInterval = m_rates.tokenIntervalSeconds(to->second.traits.pool, to->second.replica, loadOf(decode).busySlots);
    const auto firstTokenTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(tokenInterval));
    const duration transferTime = std::max(duration(0), m_context.now() - progress.prefillFinishedAt - firstTokenTime);
    m_rates.observeTransfer(from->second.traits.zone, to->second.traits.zone, progress.promptTokens, transferTime, 1);
}

void engine_selector::finished(const std::string &decode, const placement_progress &progress, std::uint32_t tokens)
{
    const auto known = m_engines.find(decode);
    if (known == m_engines.end() || !progress.decodeRunning) {
        return;
    }
    const pool_index pool = known->second.traits.pool;
    m_rates.observeSlotHold(pool, m_context.now() - progress.placedAt);
    if (tokens > 1) {
        const duration tokenInterval = (m_context.now() - progress.firstTokenAt) / (tokens - 1);
        m_rates.observeTokenInterval(pool, known->second.replica, std::max<std::uint32_t>(1, loadOf(decode).busySlots), tokenInterval);
    }
}

void engine_selector::markFull(const std::string &name)
{
    syncWithConfiguration();
    const auto known = m_engines.find(name);
    const upstream_table::entry *upstream = m_upstreams.find(name);
    if (known == m_engines.end() || upstream == nullptr) {
        return;
    }
    known->second.otherEntriesLoad.busySlots = upstream->config.slots;
    known->second.otherEntriesLoad.usedPieces = upstream->config.pieces;
    known->second.reportedAt = m_context.now();
    updateLoad(name);
}

void engine_selector::loadReported(const std::string &name, const engine_load &load)
{
    syncWithConfiguration();
    m_upstreams.connects().forget(name);
    const auto known = m_engines.find(name);
    const upstream_table::entry *upstream = m_upstreams.find(name);
    if (known == m_engines.end() || upstream == nullptr) {
        return;
    }
    const upstream_table::usage &own = upstream->used;
    const double averagePromptTokens = m_promptTokens[known->second.traits.pool].value(kDefaultPromptTokens);
    const std::uint32_t otherPrompts = saturatingSubtract(load.running + load.queued, own.queuedPrompts);
    known->second.otherEntriesLoad.busySlots = saturatingSubtract(load.running, own.runningSlots);
    known->second.otherEntriesLoad.usedPieces = saturatingSubtract(load.usedPieces, own.runningPieces);
    known->second.otherEntriesLoad.queuedTokens = static_cast<std::uint64_t>(averagePromptTokens * otherPrompts);
    known->second.reportedAt = m_context.now();
    updateLoad(name);
}

void engine_selector::onTick()
{
    syncWithConfiguration();
    if (m_context.now() < m_nextLoadUpdate) {
        return;
    }
    m_nextLoadUpdate = m_context.now() + kLoadUpdateInterval;
    for (const auto &[name, known] : m_engines) {
        updateLoad(name);
    }
}

void engine_selector::syncWithConfiguration()
{
    if (m_revision == m_upstreams.revision()) {
        return;
    }
    m_revision = m_upstreams.revision();
    for (auto each = m_engines.begin(); each != m_engines.end();) {
        const upstream_table::entry *upstream = m_upstreams.find(each->first);
        if (upstream != nullptr && upstream->acceptsWork()) {
            ++each;
            continue;
        }
        m_replicas.remove(each->second.replica);
        m_rates.forget(each->second.replica);
        m_names.erase(each->second.replica);
        each = m_engines.erase(each);
    }
    for (const upstream_table::entry *each : m_upstreams.all()) {
        if (each->acceptsWork() && each->config.kind != upstream_kind::PlainService) {
            addEngine(each->config);
        }
    }
}

void engine_selector::addEngine(const upstream &config)
{
    const replica_traits traits{poolOf({config.kind, config.modelOrService}), zoneOf(config.zone), 0, config.slots, config.pieces};
    const auto known = m_engines.find(config.name);
    if (known != m_engines.end()) {
        if (known->second.traits == traits) {
            return;
        }
        m_replicas.remove(known->second.replica);
        m_rates.forget(known->second.replica);
        m_names.erase(known->second.replica);
    }
    const replica_index replica = m_replicas.add(traits);
    m_names[replica] = config.name;
    m_engines[config.name] = known_engine{replica, traits, {}, std::nullopt};
    updateLoad(config.name);
}

pool_index engine_selector::poolOf(const pool_key &key)
{
    return m_pools.emplace(key, static_cast<pool_index>(m_pools.size())).first->second;
}

zone_index engine_selector::zoneOf(const std::string &zone)
{
    return m_zones.emplace(zone, static_cast<zone_index>(m_zones.size())).first->second;
}

replica_load engine_selector::loadOf(const std::string &name) const
{
    const upstream_table::entry *upstream = m_upstreams.find(name);
    const auto known = m_engines.find(name);
    replica_load load;
    if (upstream != nullptr) {
        load = {upstream->used.slots, upstream->used.pieces, upstream->used.queuedTokens};
    }
    if (known != m_engines.end() && known->second.reportedAt && m_context.now() - *known->second.reportedAt <= kReportLifetime) {
        load.busySlots += known->second.otherEntriesLoad.busySlots;
        load.usedPieces += known->second.otherEntriesLoad.usedPieces;
        load.queuedTokens += known->second.otherEntriesLoad.queuedTokens;
    }
    return load;
}

void engine_selector::updateLoad(const std::string &name)
{
    const auto known = m_engines.find(name);
    if (known != m_engines.end()) {
        m_replicas.setLoad(m_context.now(), known->second.replica, loadOf(name));
    }
}

bool engine_selector::hasUnreservedCapacity(const std::string &name, std::uint32_t pieces) const
{
    const upstream_table::entry *upstream = m_upstreams.find(name);
    return upstream->used.slots < upstream->config.slots && upstream->used.pieces + pieces <= upstream->config.pieces;
}

std::optional<placement_request> engine_selector::makePlacementRequest(const engine_requirements &requirements)
{
    placement_request request;
    request.prefillPool = poolOf({upstream_kind::PrefillEngine, requirements.model});
    request.decodePool = poolOf({upstream_kind::DecodeEngine, requirements.model});
    request.homeZone = zoneOf(m_context.options().zone);
    request.promptTokens = requirements.promptTokens;
    request.priority = requirements.priority;
    const std::vector<replica_index> &decodes = m_replicas.members(request.decodePool);
    if (decodes.empty()) {
        return std::nullopt;
    }
    request.pieces = piecesFor(requirements.totalTokens, m_upstreams.find(nameOf(decodes.front()))->config.pieceTokens);
    return request;
}

void engine_selector::setWeights(const std::vector<std::string> &names, double weight)
{
    for (const std::string &name : names) {
        const auto known = m_engines.find(name);
        if (known != m_engines.end()) {
            m_replicas.setWeight(known->second.replica, weight);
        }
    }
}

const std::string &engine_selector::nameOf(replica_index replica) const
{
    return m_names.at(replica);
}

} // namespace heatherroute
