#include "core/engine_selector.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr duration kRetryAfterFull = std::chrono::seconds(1);
/// Older reports count for nothing.
constexpr duration kReportLifetime = std::chrono::seconds(2);
/// Must be under the lifetime of a load in the replica table, so that own reservations always count there.
constexpr duration kRefreshInterval = std::chrono::milliseconds(500);
/// Times that a policy which doesn't look at room may choose again.
constexpr int kTries = 4;
constexpr std::size_t kDecodesDrawn = 16;
constexpr std::size_t kPrefixEntries = 1024;
/// Shorter prefills show the cost of the call rather than the rate.
constexpr std::uint32_t kFewestTokensToLearn = 64;
constexpr double kPromptGain = 0.05;
constexpr double kPromptGuess = 1000.0;

std::uint32_t piecesFor(std::uint32_t tokens, std::uint32_t pieceTokens)
{
    const std::uint32_t size = std::max<std::uint32_t>(pieceTokens, 1);
    return (tokens + size - 1) / size;
}

template<typename Number>
Number beyond(Number all, Number own)
{
    return all - std::min(all, own);
}

} // namespace

engine_selector::engine_selector(core_context &context, upstream_table &upstreams)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_rates(rate_book::make({}))
    , m_prefixes(prefix_index::make(kPrefixEntries))
    , m_policy(makePlacementPolicy(context.options().placement, context.options().targets))
    , m_retryAfter(kRetryAfterFull)
{ }

std::optional<engine_pair> engine_selector::reservePair(const engine_need &need)
{
    m_retryAfter = kRetryAfterFull;
    followConfiguration();
    const auto request = requestOf(need);
    if (!request) {
        return std::nullopt;
    }
    setAvoided(need.avoid, 0.0);
    std::optional<engine_pair> reserved;
    for (int attempt = 0; attempt < kTries && !reserved; ++attempt) {
        const placement_decision decision = m_policy(m_context.now(), *request, {m_replicas, m_rates, m_prefixes}, m_context.random());
        if (const auto *refused = std::get_if<placement_refused>(&decision)) {
            m_retryAfter = refused->retryAfter;
            break;
        }
        reserved = reserve(*request, need, std::get<placement_pair>(decision));
    }
    setAvoided(need.avoid, 1.0);
    return reserved;
}

std::optional<engine_pair> engine_selector::reserve(const placement_request &request, const engine_need &need, const placement_pair &pair)
{
    const auto avoided = [&need](const std::string &name) { return std::find(need.avoid.begin(), need.avoid.end(), name) != need.avoid.end(); };
    const std::string &prefill = nameOf(pair.prefill);
    std::vector<replica_index> decodes = {pair.decode};
    decodes.insert(decodes.end(), pair.otherDecodes.begin(), pair.otherDecodes.end());
    const auto usable = [&](replica_index each) { return !avoided(nameOf(each)) && hasOwnRoom(nameOf(each), request.pieces); };
    const auto chosen = std::find_if(decodes.begin(), decodes.end(), usable);
    if (avoided(prefill) || chosen == decodes.end()) {
        return std::nullopt;
    }
    const std::string &decode = nameOf(*chosen);
    engine_marks marks;
    marks.placedAt = m_context.now();
    marks.promptTokens = need.promptTokens;
    marks.queued = true;
    marks.alone = loadOf(prefill).queuedTokens == 0;
    m_promptTokens[request.prefillPool].observe(need.promptTokens, kPromptGain);
    m_upstreams.take(decode, request.pieces);
    m_upstreams.take(prefill, 0);
    m_upstreams.queuePrompt(prefill, need.promptTokens);
    refresh(decode);
    refresh(prefill);
    return engine_pair{{prefill, m_upstreams.find(prefill)->config.address}, {decode, m_upstreams.find(decode)->config.address}, request.pieces, marks};
}

std::optional<chosen_engine> engine_selector::reserveDecode(const engine_need &need, std::uint32_t pieces)
{
    followConfiguration();
    const pool_index pool = poolOf({upstream_kind::DecodeEngine, need.model});
    setAvoided(need.avoid, 0.0);
    const std::vector<replica_index> drawn = m_replicas.sampleSeveral(pool, kDecodesDrawn, m_context.random());
    setAvoided(need.avoid, 1.0);
    const std::string *best = nullptr;
    for (const replica_index replica : drawn) {
        const std::string &name = nameOf(replica);
        const bool better = best == nullptr || loadOf(name).busySlots < loadOf(*best).busySlots;
        if (hasOwnRoom(name, pieces) && better) {
            best = &name;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    m_upstreams.take(*best, pieces);
    refresh(*best);
    return chosen_engine{*best, m_upstreams.find(*best)->config.address};
}

void engine_selector::releasePrefill(const std::string &name, engine_marks &marks)
{
    if (marks.queued) {
        m_upstreams.unqueuePrompt(name, marks.promptTokens);
        marks.queued = false;
    }
    m_upstreams.giveBack(name, 0);
    refresh(name);
}

void engine_selector::releaseDecode(const std::string &name, std::uint32_t pieces, engine_marks &marks)
{
    if (marks.running) {
        m_upstreams.endRunning(name, pieces);
        marks.running = false;
    }
    m_upstreams.giveBack(name, pieces);
    refresh(name);
}

duration engine_selector::retryAfter() const
{
    return m_retryAfter;
}

void engine_selector::prefillFinished(const std::string &name, engine_marks &marks, std::uint32_t computedTokens)
{
    marks.prefillFinishedAt = m_context.now();
    if (marks.queued) {
        m_upstreams.unqueuePrompt(name, marks.promptTokens);
        marks.queued = false;
    }
    const auto known = m_engines.find(name);
    // A prompt that waited behind others tells of the queue and not of the rate.
    if (known != m_engines.end() && marks.alone && computedTokens >= kFewestTokensToLearn) {
        m_rates.observePrefill(known->second.traits.pool, known->second.replica, computedTokens, m_context.now() - marks.placedAt);
    }
    refresh(name);
}

void engine_selector::tokensReceived(const std::string &prefill, const std::string &decode, std::uint32_t pieces, engine_marks &marks)
{
    if (marks.running) {
        return;
    }
    marks.running = true;
    marks.firstTokenAt = m_context.now();
    m_upstreams.beginRunning(decode, pieces);
    refresh(decode);
    const auto from = m_engines.find(prefill);
    const auto to = m_engines.find(decode);
    if (from == m_engines.end() || to == m_engines.end()) {
        return;
    }
    const double pace = m_rates.paceSeconds(to->second.traits.pool, to->second.replica, loadOf(decode).busySlots);
    const auto firstStep = std::chrono::duration_cast<duration>(std::chrono::duration<double>(pace));
    const duration took = std::max(duration(0), m_context.now() - marks.prefillFinishedAt - firstStep);
    m_rates.observeTransfer(from->second.traits.zone, to->second.traits.zone, marks.promptTokens, took, 1);
}

void engine_selector::finished(const std::string &decode, const engine_marks &marks, std::uint32_t tokens)
{
    const auto known = m_engines.find(decode);
    if (known == m_engines.end() || !marks.running) {
        return;
    }
    const pool_index pool = known->second.traits.pool;
    m_rates.observeSlotHold(pool, m_context.now() - marks.placedAt);
    if (tokens > 1) {
        const duration pace = (m_context.now() - marks.firstTokenAt) / (tokens - 1);
        m_rates.observePace(pool, known->second.replica, std::max<std::uint32_t>(1, loadOf(decode).busySlots), pace);
    }
}

void engine_selector::noCapacity(const std::string &name)
{
    followConfiguration();
    const auto known = m_engines.find(name);
    const upstream_table::entry *upstream = m_upstreams.find(name);
    if (known == m_engines.end() || upstream == nullptr) {
        return;
    }
    known->second.others.busySlots = upstream->config.slots;
    known->second.others.usedPieces = upstream->config.pieces;
    known->second.reportedAt = m_context.now();
    refresh(name);
}

void engine_selector::loadReported(const std::string &name, const engine_load &load)
{
    followConfiguration();
    const auto known = m_engines.find(name);
    const upstream_table::entry *upstream = m_upstreams.find(name);
    if (known == m_engines.end() || upstream == nullptr) {
        return;
    }
    const upstream_table::usage &own = upstream->used;
    const double usual = m_promptTokens[known->second.traits.pool].value(kPromptGuess);
    const std::uint32_t prompts = beyond(load.running + load.queued, own.queuedPrompts);
    known->second.others.busySlots = beyond(load.running, own.runningSlots);
    known->second.others.usedPieces = beyond(load.usedPieces, own.runningPieces);
    known->second.others.queuedTokens = static_cast<std::uint64_t>(usual * prompts);
    known->second.reportedAt = m_context.now();
    refresh(name);
}

void engine_selector::onTick()
{
    followConfiguration();
    if (m_context.now() < m_refreshAt) {
        return;
    }
    m_refreshAt = m_context.now() + kRefreshInterval;
    for (const auto &[name, known] : m_engines) {
        refresh(name);
    }
}

void engine_selector::followConfiguration()
{
    if (m_revision == m_upstreams.revision()) {
        return;
    }
    m_revision = m_upstreams.revision();
    for (auto each = m_engines.begin(); each != m_engines.end();) {
        const upstream_table::entry *upstream = m_upstreams.find(each->first);
        if (upstream != nullptr && upstream->mayTakeWork()) {
            ++each;
            continue;
        }
        m_replicas.remove(each->second.replica);
        m_rates.forget(each->second.replica);
        m_names.erase(each->second.replica);
        each = m_engines.erase(each);
    }
    for (const upstream_table::entry *each : m_upstreams.all()) {
        if (each->mayTakeWork() && each->config.kind != upstream_kind::PlainService) {
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
    refresh(config.name);
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
        load.busySlots += known->second.others.busySlots;
        load.usedPieces += known->second.others.usedPieces;
        load.queuedTokens += known->second.others.queuedTokens;
    }
    return load;
}

void engine_selector::refresh(const std::string &name)
{
    const auto known = m_engines.find(name);
    if (known != m_engines.end()) {
        m_replicas.setLoad(m_context.now(), known->second.replica, loadOf(name));
    }
}

bool engine_selector::hasOwnRoom(const std::string &name, std::uint32_t pieces) const
{
    const upstream_table::entry *upstream = m_upstreams.find(name);
    return upstream->used.slots < upstream->config.slots && upstream->used.pieces + pieces <= upstream->config.pieces;
}

std::optional<placement_request> engine_selector::requestOf(const engine_need &need)
{
    placement_request request;
    request.prefillPool = poolOf({upstream_kind::PrefillEngine, need.model});
    request.decodePool = poolOf({upstream_kind::DecodeEngine, need.model});
    request.homeZone = zoneOf(m_context.options().zone);
    request.promptTokens = need.promptTokens;
    request.priority = need.priority;
    const std::vector<replica_index> &decodes = m_replicas.members(request.decodePool);
    if (decodes.empty()) {
        return std::nullopt;
    }
    request.pieces = piecesFor(need.totalTokens, m_upstreams.find(nameOf(decodes.front()))->config.pieceTokens);
    return request;
}

void engine_selector::setAvoided(const std::vector<std::string> &names, double weight)
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
