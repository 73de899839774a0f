#include "relay/engine_placement_ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "relay/upstream_choice.h"

namespace heatherroute
{

namespace
{

constexpr duration kExpiryInterval = std::chrono::milliseconds(100); ///< Between two searches for expired placements.
/// Age up to which a placement counts as the cause of a refusal that its sender reports.
constexpr duration kRefusalAge = std::chrono::seconds(1);
/// Time from the start in which the rate of ended placements isn't known yet.
constexpr duration kMinRateAge = std::chrono::milliseconds(300);
constexpr double kMeanGain = 0.05; ///< Weight of the newest placement in the mean time that they last.
/// Number of requests after which the counts by priority are halved; some seconds of a busy pool.
constexpr double kMaxAsked = 256.0;
/// Number of placements that a kind must lack to go first; fewer are chance.
constexpr double kMinDeficit = 2.0;
constexpr std::uint32_t kMinWaitMs = 1; ///< 0 would tell the sender that no engine is known.
constexpr std::uint32_t kUnknownWaitMs = 1'000; ///< Stated while the rate of ended placements is unknown.
constexpr std::uint32_t kMaxWaitMs = 30'000;

std::uint32_t kindOf(std::uint32_t priority)
{
    return std::min(priority, engine_placement_ledger::kPriorities - 1);
}

std::uint32_t millisecondsOf(std::optional<duration> wait)
{
    if (!wait) {
        return kUnknownWaitMs;
    }
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*wait).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, kMinWaitMs, kMaxWaitMs));
}

} // namespace

const char *toString(placement_decision_kind kind) noexcept
{
    switch (kind) {
    case placement_decision_kind::Placed:
        return "placed";
    case placement_decision_kind::Queued:
        return "queued";
    case placement_decision_kind::NoRoom:
        return "no_room";
    case placement_decision_kind::NoEngine:
        return "no_engine";
    case placement_decision_kind::Repeated:
        return "repeated";
    }
    return "unknown";
}

engine_placement_ledger engine_placement_ledger::make(const placement_ledger_settings &settings, engine_phase phase, instant now, std::uint64_t seed)
{
    return {settings, phase, now, seed};
}

engine_placement_ledger::engine_placement_ledger(const placement_ledger_settings &settings, engine_phase phase, instant now, std::uint64_t seed)
    : m_settings(settings)
    , m_phase(phase)
    , m_startedAt(now)
    , m_random(seed)
    , m_expiredAt(now)
{ }

void engine_placement_ledger::setEngines(std::vector<placement_engine> engines)
{
    m_engines = std::move(engines);
}

std::uint32_t engine_placement_ledger::blocksOf(std::uint32_t tokens) const
{
    if (m_phase == engine_phase::Prefill || m_settings.blockTokens == 0) {
        return tokens;
    }
    const std::uint64_t rounded = (std::uint64_t{tokens} + m_settings.blockTokens - 1) / m_settings.blockTokens * m_settings.blockTokens;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(rounded, std::numeric_limits<std::uint32_t>::max()));
}

double engine_placement_ledger::shareOf(const placement_engine &engine, std::uint32_t more, std::uint32_t moreCount) const
{
    const auto found = m_uses.find(engine.id);
    const double tokens = static_cast<double>((found == m_uses.end() ? 0 : found->second.tokens) + more);
    if (m_phase == engine_phase::Prefill) {
        return tokens / (std::chrono::duration<double, std::milli>(m_settings.maxPrefillBacklog).count() * m_settings.tokensPerMs);
    }
    const double count = (found == m_uses.end() ? 0 : found->second.count) + moreCount;
    const double usable = engine.memoryTokens * (1.0 - m_settings.freeShare);
    return std::max(usable > 0 ? tokens / usable : 0.0, engine.slots > 0 ? count / engine.slots : 0.0);
}

bool engine_placement_ledger::hasRoom(const placement_engine &engine, std::uint32_t tokens) const
{
    // A request that is larger than the limit would otherwise never be served. The engine itself refuses what it can't hold.
    return countAt(engine.id) == 0 || shareOf(engine, blocksOf(tokens), 1) <= 1.0;
}

engine_placement_ledger::fit engine_placement_ledger::findEngine(instant now, const engine_placement_request &request, std::string *engine)
{
    bool isKnown = false;
    bool hasRefusingWithRoom = false;
    std::tuple<bool, double, std::uint64_t> best;
    const placement_engine *chosen = nullptr;
    for (const placement_engine &one : m_engines) {
        if (one.weight <= 0.0) {
            continue; // It is ejected.
        }
        const bool refuses = std::find(request.refusing.begin(), request.refusing.end(), one.id) != request.refusing.end();
        isKnown = isKnown || !refuses;
        const auto use = m_uses.find(one.id);
        if ((use != m_uses.end() && use->second.skippedUntil > now) || !hasRoom(one, request.tokens)) {
            continue;
        }
        if (refuses) {
            hasRefusingWithRoom = true;
            continue;
        }
        const double share = shareOf(one, blocksOf(request.tokens), 1) / std::max(one.weight, kMinUsableWeight);
        const std::tuple<bool, double, std::uint64_t> rank{one.weight < kMinUsableWeight, share, m_random()};
        if (chosen == nullptr || rank < best) {
            best = rank;
            chosen = &one;
        }
    }
    if (chosen != nullptr) {
        *engine = chosen->id;
        return fit::Room;
    }
    return !isKnown ? fit::NoEngine : (hasRefusingWithRoom ? fit::AllRefusing : fit::Full);
}

void engine_placement_ledger::addUse(const known_placement &placement)
{
    engine_use &use = m_uses[placement.engine];
    use.tokens += blocksOf(placement.tokens);
    use.count += 1;
    m_current += 1;
}

void engine_placement_ledger::endPlacement(instant now, known_placement &placement)
{
    placement.state = placement_state::Ended;
    placement.seenAt = now;
    m_current -= 1;
    engine_use &use = m_uses[placement.engine];
    use.tokens -= std::min<std::uint64_t>(use.tokens, blocksOf(placement.tokens));
    use.count -= std::min<std::uint32_t>(use.count, 1);
    use.skippedUntil = {};
}

void engine_placement_ledger::noteRefusing(instant now, const std::string &sender, const engine_placement_request &request)
{
    // Only what was assigned to this sender has just refused it; entries also list engines that they may not use.
    for (auto one = m_placements.lower_bound({sender, 0}); one != m_placements.end() && one->first.first == sender; ++one) {
        known_placement &placement = one->second;
        const bool isRecent = placement.assignedAt && now - *placement.assignedAt < kRefusalAge && placement.tokens == request.tokens;
        if (isRecent && std::find(request.refusing.begin(), request.refusing.end(), placement.engine) != request.refusing.end()) {
            if (placement.state == placement_state::Current) {
                endPlacement(now, placement);
            }
            // The placement that was refused held nothing, so that its end doesn't make room.
            m_uses[placement.engine].skippedUntil = now + m_settings.fullBackoff;
            placement.assignedAt.reset();
        }
    }
}

std::vector<placement_decision> engine_placement_ledger::onRequest(instant now, const std::string &sender, const engine_placement_request &request)
{
    std::vector<placement_decision> decisions;
    const placement_key key{sender, request.number};
    if (const auto known = m_placements.find(key); known != m_placements.end()) {
        placement_decision decision{sender, {}, placement_decision_kind::Repeated, request.priority};
        decision.reply.number = request.number;
        decision.reply.engine = known->second.engine;
        decision.reply.waitMs = known->second.waitMs;
        decisions.push_back(std::move(decision));
        return decisions;
    }
    const bool isWaiting = std::any_of(m_waiting.begin(), m_waiting.end(), [&key](const waiting_request &one) { return one.key == key; });
    if (isWaiting) {
        placement_decision decision{sender, {}, placement_decision_kind::Queued, request.priority};
        decision.reply.number = request.number;
        decision.reply.queued = true;
        decisions.push_back(std::move(decision));
        return decisions;
    }
    noteRefusing(now, sender, request);
    const waiting_request added{key, request, now, now + std::chrono::milliseconds(request.maxWaitMs)};
    std::string ignored;
    if (findEngine(now, request, &ignored) == fit::NoEngine) {
        decisions.push_back(refuse(now, added, placement_decision_kind::NoEngine, 0));
        return decisions;
    }
    m_kinds.at(kindOf(request.priority)).asked += 1;
    halveCounts();
    if (m_waiting.size() >= m_settings.maxWaiting || m_placements.size() >= m_settings.maxPlacements) {
        decisions.push_back(refuse(now, added, placement_decision_kind::NoRoom, millisecondsOf(expectedWait(now, m_waiting.size()))));
        return decisions;
    }
    m_waiting.push_back(added);
    serve(now, &decisions);
    refuseLate(now, &decisions);
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&key](const waiting_request &one) { return one.key == key; });
    if (found != m_waiting.end()) {
        placement_decision decision{sender, {}, placement_decision_kind::Queued, request.priority};
        decision.reply.number = request.number;
        decision.reply.queued = true;
        decision.ahead = aheadCounts()[static_cast<std::size_t>(found - m_waiting.begin())];
        decisions.push_back(std::move(decision));
    }
    return decisions;
}

std::vector<placement_decision> engine_placement_ledger::onReport(instant now, const std::string &sender, const placement_report &report)
{
    std::vector<placement_decision> decisions;
    const auto forget = [this, &sender](std::uint64_t number) {
        std::erase_if(m_waiting, [&](const waiting_request &one) { return one.key.second == number && one.key.first == sender; });
    };
    for (const std::uint64_t number : report.ended) {
        forget(number);
        const auto [known, isNew] = m_placements.try_emplace({sender, number});
        known_placement &placement = known->second;
        if (isNew && m_placements.size() > m_settings.maxPlacements) {
            m_placements.erase(known);
        } else if (isNew) {
            // A request with this number that arrives later was given up by its sender.
            placement.state = placement_state::Ended;
            placement.seenAt = now;
        } else if (placement.state == placement_state::Current) {
            if (placement.assignedAt) {
                const double seconds = std::chrono::duration<double>(now - *placement.assignedAt).count();
                m_meanSeconds += (m_meanSeconds > 0 ? kMeanGain : 1.0) * (seconds - m_meanSeconds);
            }
            m_ends.push_back(now);
            endPlacement(now, placement);
        }
    }
    for (const reported_placement &current : report.current) {
        forget(current.number);
        const auto known = m_placements.find({sender, current.number});
        if (known != m_placements.end()) {
            if (known->second.state == placement_state::Current) {
                known->second.seenAt = now;
            }
        } else if (m_placements.size() < m_settings.maxPlacements) {
            known_placement placement;
            placement.engine = current.engine;
            placement.tokens = current.tokens;
            placement.seenAt = now;
            addUse(placement);
            m_placements.emplace(placement_key{sender, current.number}, std::move(placement));
        }
    }
    serve(now, &decisions);
    refuseLate(now, &decisions);
    return decisions;
}

std::vector<placement_decision> engine_placement_ledger::advance(instant now)
{
    std::vector<placement_decision> decisions;
    expire(now);
    serve(now, &decisions);
    refuseLate(now, &decisions);
    return decisions;
}

std::vector<placement_decision> engine_placement_ledger::stop()
{
    std::vector<placement_decision> decisions;
    for (const waiting_request &one : m_waiting) {
        placement_decision decision{one.key.first, {}, placement_decision_kind::NoEngine, one.request.priority};
        decision.reply.number = one.key.second;
        decisions.push_back(std::move(decision));
    }
    m_waiting.clear();
    return decisions;
}

placement_decision engine_placement_ledger::place(instant now, const waiting_request &one, const std::string &engine)
{
    known_placement placement;
    placement.engine = engine;
    placement.tokens = one.request.tokens;
    placement.assignedAt = now;
    placement.seenAt = now;
    addUse(placement);
    m_placements.insert_or_assign(one.key, std::move(placement));
    m_kinds.at(kindOf(one.request.priority)).placed += 1;
    placement_decision decision{one.key.first, {}, placement_decision_kind::Placed, one.request.priority};
    decision.reply.number = one.key.second;
    decision.reply.engine = engine;
    decision.waited = now - one.since;
    return decision;
}

placement_decision engine_placement_ledger::refuse(instant now, const waiting_request &one, placement_decision_kind kind, std::uint32_t waitMs)
{
    if (m_placements.size() < m_settings.maxPlacements) {
        known_placement refused;
        refused.state = placement_state::Refused;
        refused.waitMs = waitMs;
        refused.seenAt = now;
        m_placements.insert_or_assign(one.key, std::move(refused));
    }
    placement_decision decision{one.key.first, {}, kind, one.request.priority};
    decision.reply.number = one.key.second;
    decision.reply.waitMs = waitMs;
    decision.waited = now - one.since;
    return decision;
}

bool engine_placement_ledger::isBehind(std::uint32_t priority) const
{
    kind_counts all;
    for (const kind_counts &kind : m_kinds) {
        all.asked += kind.asked;
        all.placed += kind.placed;
    }
    const kind_counts &own = m_kinds.at(kindOf(priority));
    const double due = all.asked > 0 ? m_settings.minRelativeShare * all.placed / all.asked * own.asked : 0.0;
    return due - own.placed >= kMinDeficit;
}

void engine_placement_ledger::halveCounts()
{
    double asked = 0.0;
    for (const kind_counts &kind : m_kinds) {
        asked += kind.asked;
    }
    if (asked >= kMaxAsked) {
        for (kind_counts &kind : m_kinds) {
            kind.asked /= 2;
            kind.placed /= 2;
        }
    }
}

std::vector<std::size_t> engine_placement_ledger::servingOrder() const
{
    std::array<bool, kPriorities> behind{};
    for (std::uint32_t kind = 0; kind < kPriorities; ++kind) {
        behind.at(kind) = isBehind(kind);
    }
    std::vector<std::size_t> order(m_waiting.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const std::uint32_t leftKind = kindOf(m_waiting[left].request.priority);
        const std::uint32_t rightKind = kindOf(m_waiting[right].request.priority);
        return std::tuple(!behind.at(leftKind), leftKind) < std::tuple(!behind.at(rightKind), rightKind);
    });
    return order;
}

std::size_t engine_placement_ledger::nextOf(const std::vector<std::size_t> &order) const
{
    const bool isForOldest = (m_places + 1) % m_settings.oldestInterval == 0;
    return isForOldest ? *std::min_element(order.begin(), order.end()) : order.front();
}

std::vector<std::size_t> engine_placement_ledger::aheadCounts() const
{
    const std::vector<std::size_t> order = servingOrder();
    std::vector<std::size_t> ahead(order.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        // At the latest, a request is served when the places for the oldest have reached it.
        const std::size_t byAge = (order[i] + 1) * m_settings.oldestInterval - 1;
        ahead[order[i]] = std::min(i, byAge);
    }
    return ahead;
}

std::optional<duration> engine_placement_ledger::expectedWait(instant now, std::size_t ahead) const
{
    const duration age = std::min(now - m_startedAt, m_settings.rateWindow);
    double perSecond = age >= kMinRateAge ? static_cast<double>(m_ends.size()) / std::chrono::duration<double>(age).count() : 0.0;
    if (m_meanSeconds > 0) {
        // At the start of a burst, more is in progress than when the placements of the window began.
        perSecond = std::max(perSecond, static_cast<double>(m_current) / m_meanSeconds);
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(ahead + 1) / perSecond));
}

void engine_placement_ledger::expire(instant now)
{
    while (!m_ends.empty() && now - m_ends.front() > m_settings.rateWindow) {
        m_ends.pop_front();
    }
    if (now - m_expiredAt < kExpiryInterval) {
        return;
    }
    m_expiredAt = now;
    for (auto one = m_placements.begin(); one != m_placements.end();) {
        known_placement &placement = one->second;
        if (now - placement.seenAt <= m_settings.placementLife) {
            ++one;
            continue;
        }
        if (placement.state == placement_state::Current) {
            endPlacement(now, placement);
        }
        // It isn't remembered as ended, so that a report of an entry that was out of reach begins it again.
        one = m_placements.erase(one);
    }
    std::erase_if(m_uses, [now](const auto &one) { return one.second.count == 0 && one.second.skippedUntil <= now; });
}

void engine_placement_ledger::serve(instant now, std::vector<placement_decision> *decisions)
{
    std::vector<std::size_t> order = servingOrder();
    while (!order.empty()) {
        const std::size_t index = nextOf(order);
        const waiting_request one = m_waiting[index];
        std::string engine;
        const fit found = findEngine(now, one.request, &engine);
        if (found == fit::Full) {
            // Smaller requests don't pass a large one, which would starve it.
            return;
        }
        if (found == fit::AllRefusing) {
            std::erase(order, index);
            continue;
        }
        if (found == fit::NoEngine || m_placements.size() >= m_settings.maxPlacements) {
            decisions->push_back(refuse(now, one, placement_decision_kind::NoEngine, 0));
        } else {
            m_places += m_waiting.size() > 1 ? 1 : 0;
            decisions->push_back(place(now, one, engine));
        }
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        std::erase(order, index);
        for (std::size_t &each : order) {
            each -= each > index ? 1 : 0;
        }
    }
}

void engine_placement_ledger::refuseLate(instant now, std::vector<placement_decision> *decisions)
{
    const std::vector<std::size_t> ahead = aheadCounts();
    std::vector<waiting_request> kept;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        const waiting_request &one = m_waiting[i];
        const std::size_t before = ahead[i] - std::min(ahead[i], refused);
        const std::optional<duration> wait = expectedWait(now, before);
        if (now >= one.until || (wait && now + *wait > one.until)) {
            placement_decision decision = refuse(now, one, placement_decision_kind::NoRoom, millisecondsOf(wait));
            decision.ahead = before;
            decisions->push_back(std::move(decision));
            refused += 1;
        } else {
            kept.push_back(one);
        }
    }
    m_waiting = std::move(kept);
}

std::array<std::size_t, engine_placement_ledger::kPriorities> engine_placement_ledger::waiting() const
{
    std::array<std::size_t, kPriorities> result{};
    for (const waiting_request &one : m_waiting) {
        result.at(kindOf(one.request.priority)) += 1;
    }
    return result;
}

std::uint64_t engine_placement_ledger::tokensAt(const std::string &id) const
{
    const auto found = m_uses.find(id);
    return found == m_uses.end() ? 0 : found->second.tokens;
}

std::uint32_t engine_placement_ledger::countAt(const std::string &id) const
{
    const auto found = m_uses.find(id);
    return found == m_uses.end() ? 0 : found->second.count;
}

double engine_placement_ledger::busiestShare() const
{
    double busiest = 0.0;
    for (const placement_engine &engine : m_engines) {
        busiest = std::max(busiest, shareOf(engine, 0, 0));
    }
    return busiest;
}

} // namespace heatherroute
