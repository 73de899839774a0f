#include "core/owner_grants_policy.h"

#include <algorithm>

#include "core/pair_prediction.h"

namespace heatherroute::detail
{

namespace
{

constexpr std::size_t kMostOthers = 3;
constexpr std::size_t kMostHits = 2;
constexpr std::size_t kMostPrefillsAgain = 2;
constexpr double kMicrosPerSecond = 1e6;
constexpr duration kShortestRetry = std::chrono::milliseconds(50);
constexpr duration kLongestRetry = std::chrono::seconds(30);

struct scored_pair
{
    std::size_t prefill = 0; ///< Of the prefill replicas drawn.
    std::size_t decode = 0;
    placement_prediction prediction;
    double score = 0.0; ///< Larger of both predictions as a share of its target; at most 1 meets them.
};

/// One decision; lives for one call.
class pair_search
{
public:
    pair_search(instant now, const placement_settings &settings, const placement_request &request, const placement_view &view, placement_random &random)
        : m_now(now)
        , m_settings(settings)
        , m_request(request)
        , m_view(view)
        , m_random(random)
    { }

    placement_decision run()
    {
        m_prefills.reserve(m_settings.choices + kMostHits);
        m_decodes.reserve(m_settings.choices);
        m_pairs.reserve((m_settings.choices + kMostHits) * m_settings.choices);
        drawPrefills();
        drawDecodes(m_settings.choices);
        scoreAll();
        if (!anyMeets()) {
            keepQuickestPrefills();
            drawDecodes(m_settings.moreChoices);
            scoreAll();
        }
        if (m_prefills.empty() || !m_seenDecode) {
            return refuse(placement_failure::NoReplica, slotWait());
        }
        if (m_pairs.empty()) {
            return refuse(placement_failure::NoRoom, slotWait());
        }
        std::sort(m_pairs.begin(), m_pairs.end(), [](const scored_pair &a, const scored_pair &b) { return a.score < b.score; });
        if (m_pairs.front().score > 1.0) {
            return refuse(placement_failure::TooSlow, queueWait());
        }
        return best();
    }

private:
    void drawPrefills()
    {
        for (const prefix_hit &hit : m_view.prefixes.lookup(m_request.prefixHashes)) {
            const bool usable = m_view.replicas.contains(hit.replica) && m_view.replicas.traits(hit.replica).pool == m_request.prefillPool;
            if (usable && m_view.replicas.takesWork(hit.replica) && m_prefills.size() < kMostHits) {
                m_prefills.push_back(prefillCost(m_now, m_request, m_view, hit.replica, hit.blocks * m_request.blockTokens));
            }
        }
        for (const replica_index replica : m_view.replicas.sampleSeveral(m_request.prefillPool, m_settings.choices, m_random)) {
            const auto same = [&](const prefill_cost &each) { return each.replica == replica; };
            if (std::none_of(m_prefills.begin(), m_prefills.end(), same)) {
                m_prefills.push_back(prefillCost(m_now, m_request, m_view, replica, 0));
            }
        }
    }

    /// Bounds the cost of looking at more decode replicas; all pairs are scored again.
    void keepQuickestPrefills()
    {
        std::sort(m_prefills.begin(), m_prefills.end(), [](const prefill_cost &a, const prefill_cost &b) {
            return a.queueAndComputeSeconds < b.queueAndComputeSeconds;
        });
        m_prefills.resize(std::min(m_prefills.size(), kMostPrefillsAgain));
        m_pairs.clear();
        m_scored = 0;
    }

    void drawDecodes(std::uint32_t count)
    {
        for (const replica_index replica : m_view.replicas.sampleSeveral(m_request.decodePool, count, m_random)) {
            m_seenDecode = true;
            const auto same = [&](const decode_cost &each) { return each.replica == replica; };
            if (std::none_of(m_decodes.begin(), m_decodes.end(), same)) {
                addDecode(replica);
            }
        }
    }

    void addDecode(replica_index replica)
    {
        const replica_traits &traits = m_view.replicas.traits(replica);
        const replica_load load = m_view.replicas.estimate(m_now, replica).value_or(replica_load{});
        if (load.busySlots < traits.slots && load.usedPieces + m_request.pieces <= traits.pieces) {
            m_decodes.push_back(decodeCost(m_view, replica, load));
        }
    }

    void scoreAll()
    {
        for (; m_scored < m_decodes.size(); ++m_scored) {
            for (std::size_t prefill = 0; prefill < m_prefills.size(); ++prefill) {
                score(prefill, m_scored);
            }
        }
    }

    void score(std::size_t prefillPosition, std::size_t decodePosition)
    {
        const prefill_cost &prefill = m_prefills[prefillPosition];
        const decode_cost &decode = m_decodes[decodePosition];
        const double transfer = m_view.rates.transferSeconds(prefill.zone, decode.zone, m_request.promptTokens);
        const double factor = m_request.priority == priority_class::Batch ? m_settings.batchFactor : 1.0;
        // A prompt too long for the target on an idle fleet would be refused for ever if only the target counted.
        const double unloaded = m_settings.unloadedFactor * (prefill.unloadedSeconds + transfer) * kMicrosPerSecond;
        const double firstLimit = std::max(factor * static_cast<double>(m_settings.firstTokenTarget.count()), unloaded);
        const double paceLimit = factor * static_cast<double>(m_settings.paceTarget.count());
        const placement_prediction prediction = predictPair(prefill, decode, transfer);
        const double first = static_cast<double>(prediction.firstToken.count()) / firstLimit;
        const double pace = static_cast<double>(prediction.pace.count()) / paceLimit;
        m_pairs.push_back({prefillPosition, decodePosition, prediction, std::max(first, pace)});
    }

    bool anyMeets() const
    {
        return std::any_of(m_pairs.begin(), m_pairs.end(), [](const scored_pair &pair) { return pair.score <= 1.0; });
    }

    placement_pair best() const
    {
        const scored_pair &first = m_pairs.front();
        placement_pair chosen;
        chosen.prefill = m_prefills[first.prefill].replica;
        chosen.decode = m_decodes[first.decode].replica;
        chosen.prediction = first.prediction;
        chosen.expectedHitTokens = m_prefills[first.prefill].hitTokens;
        for (const scored_pair &pair : m_pairs) {
            auto &others = chosen.otherDecodes;
            const bool sought = pair.prefill == first.prefill && pair.decode != first.decode && pair.score <= 1.0;
            if (sought && others.size() < kMostOthers) {
                others.push_back(m_decodes[pair.decode].replica);
            }
        }
        return chosen;
    }

    /// Until some slot of the pool is given back, when all are taken.
    duration slotWait() const
    {
        const auto slots = static_cast<double>(std::max<std::uint64_t>(1, m_view.replicas.slots(m_request.decodePool)));
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_view.rates.slotHoldSeconds(m_request.decodePool) / slots));
    }

    /// Until the best queue seen is short enough.
    duration queueWait() const
    {
        const scored_pair &pair = m_pairs.front();
        const double over = static_cast<double>(pair.prediction.firstToken.count()) * (1.0 - 1.0 / pair.score);
        return std::max(slotWait(), duration(static_cast<std::int64_t>(over)));
    }

    placement_decision refuse(placement_failure why, duration wait)
    {
        const auto base = static_cast<std::uint64_t>(std::clamp(wait, kShortestRetry, kLongestRetry).count());
        // Spread over one to two times the estimate, so that refused callers don't all return at once.
        return placement_refused{why, duration(static_cast<std::int64_t>(base + randomBelow(m_random, base)))};
    }

    instant m_now;
    const placement_settings &m_settings;
    const placement_request &m_request;
    const placement_view &m_view;
    placement_random &m_random;
    std::vector<prefill_cost> m_prefills;
    std::vector<decode_cost> m_decodes;
    std::vector<scored_pair> m_pairs;
    std::size_t m_scored = 0;
    bool m_seenDecode = false;
};

} // namespace

placement_policy makeOwnerGrants(const placement_settings &settings)
{
    return [settings](instant now, const placement_request &request, const placement_view &view, placement_random &random) {
        return pair_search(now, settings, request, view, random).run();
    };
}

} // namespace heatherroute::detail
