#include "core/owner_grants_policy.h"

#include <algorithm>

#include "core/pair_prediction.h"

namespace heatherroute::detail
{

namespace
{

constexpr std::size_t kMaxFallbackDecodes = 3;
constexpr std::size_t kMaxPrefixHits = 2;
constexpr std::size_t kMaxPrefillsInSecondRound = 2;
constexpr double kMicrosPerSecond = 1e6;
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr duration kMaxRetryAfter = std::chrono::seconds(30);

struct scored_pair
{
    std::size_t prefill = 0; ///< Index into the sampled prefill replicas.
    std::size_t decode = 0; ///< Index into the sampled decode replicas with room.
    placement_prediction prediction;
    double score = 0.0; ///< The larger ratio of prediction to limit over both latencies; the pair meets its limits if at most 1.
};

/// The search for one placement decision; an instance is used for a single call.
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
        m_prefills.reserve(m_settings.sampleSize + kMaxPrefixHits);
        m_decodes.reserve(m_settings.sampleSize);
        m_pairs.reserve((m_settings.sampleSize + kMaxPrefixHits) * m_settings.sampleSize);
        samplePrefills();
        sampleDecodes(m_settings.sampleSize);
        scorePairs();
        if (!anyPairMeetsTargets()) {
            keepFastestPrefills();
            sampleDecodes(m_settings.extraDecodeSampleSize);
            scorePairs();
        }
        if (m_prefills.empty() || !m_anyDecodeSampled) {
            return makeRefusal(placement_failure::NoReplica, expectedSlotWait());
        }
        if (m_pairs.empty()) {
            return makeRefusal(placement_failure::NoRoom, expectedSlotWait());
        }
        std::sort(m_pairs.begin(), m_pairs.end(), [](const scored_pair &a, const scored_pair &b) { return a.score < b.score; });
        if (m_pairs.front().score > 1.0) {
            return makeRefusal(placement_failure::TooSlow, expectedQueueWait());
        }
        return bestPair();
    }

private:
    void samplePrefills()
    {
        for (const prefix_hit &hit : m_view.prefixes.lookup(m_request.prefixHashes)) {
            const bool usable = m_view.replicas.contains(hit.replica) && m_view.replicas.traits(hit.replica).pool == m_request.prefillPool;
            if (usable && m_view.replicas.acceptsWork(hit.replica) && m_prefills.size() < kMaxPrefixHits) {
                m_prefills.push_back(prefillCost(m_now, m_request, m_view, hit.replica, hit.blocks * m_request.blockTokens));
            }
        }
        for (const replica_index replica : m_view.replicas.sampleSeveral(m_request.prefillPool, m_settings.sampleSize, m_random)) {
            const auto same = [&](const prefill_cost &each) { return each.replica == replica; };
            if (std::none_of(m_prefills.begin(), m_prefills.end(), same)) {
                m_prefills.push_back(prefillCost(m_now, m_request, m_view, replica, 0));
            }
        }
    }

    /// Keeps only the fastest prefill replicas, to bound the cost of the second round. All pairs are scored again.
    void keepFastestPrefills()
    {
        std::sort(m_prefills.begin(), m_prefills.end(), [](const prefill_cost &a, const prefill_cost &b) {
            return a.queueAndComputeSeconds < b.queueAndComputeSeconds;
        });
        m_prefills.resize(std::min(m_prefills.size(), kMaxPrefillsInSecondRound));
        m_pairs.clear();
        m_scoredDecodes = 0;
    }

    void sampleDecodes(std::uint32_t count)
    {
        for (const replica_index replica : m_view.replicas.sampleSeveral(m_request.decodePool, count, m_random)) {
            m_anyDecodeSampled = true;
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

    void scorePairs()
    {
        for (; m_scoredDecodes < m_decodes.size(); ++m_scoredDecodes) {
            for (std::size_t prefill = 0; prefill < m_prefills.size(); ++prefill) {
                scorePair(prefill, m_scoredDecodes);
            }
        }
    }

    void scorePair(std::size_t prefillPosition, std::size_t decodePosition)
    {
        const prefill_cost &prefill = m_prefills[prefillPosition];
        const decode_cost &decode = m_decodes[decodePosition];
        const double transfer = m_view.rates.transferSeconds(prefill.zone, decode.zone, m_request.promptTokens);
        const double factor = m_request.priority == priority_class::Batch ? m_settings.batchFactor : 1.0;
        // Without this limit, a prompt that is too long to meet the target even on an idle fleet would always be refused.
        const double unloaded = m_settings.unloadedFactor * (prefill.unloadedSeconds + transfer) * kMicrosPerSecond;
        const double firstTokenLimit = std::max(factor * static_cast<double>(m_settings.firstTokenTarget.count()), unloaded);
        const double tokenIntervalLimit = factor * static_cast<double>(m_settings.tokenIntervalTarget.count());
        const placement_prediction prediction = predictPair(prefill, decode, transfer);
        const double firstTokenRatio = static_cast<double>(prediction.firstToken.count()) / firstTokenLimit;
        const double tokenIntervalRatio = static_cast<double>(prediction.tokenInterval.count()) / tokenIntervalLimit;
        m_pairs.push_back({prefillPosition, decodePosition, prediction, std::max(firstTokenRatio, tokenIntervalRatio)});
    }

    bool anyPairMeetsTargets() const
    {
        return std::any_of(m_pairs.begin(), m_pairs.end(), [](const scored_pair &pair) { return pair.score <= 1.0; });
    }

    placement_pair bestPair() const
    {
        const scored_pair &bestScored = m_pairs.front();
        placement_pair chosen;
        chosen.prefill = m_prefills[bestScored.prefill].replica;
        chosen.decode = m_decodes[bestScored.decode].replica;
        chosen.prediction = bestScored.prediction;
        chosen.expectedHitTokens = m_prefills[bestScored.prefill].hitTokens;
        for (const scored_pair &pair : m_pairs) {
            auto &fallbacks = chosen.fallbackDecodes;
            const bool isFallback = pair.prefill == bestScored.prefill && pair.decode != bestScored.decode && pair.score <= 1.0;
            if (isFallback && fallbacks.size() < kMaxFallbackDecodes) {
                fallbacks.push_back(m_decodes[pair.decode].replica);
            }
        }
        return chosen;
    }

    /// Returns the expected time until a slot of the decode pool is released when all slots are in use.
    duration expectedSlotWait() const
    {
        const auto slots = static_cast<double>(std::max<std::uint64_t>(1, m_view.replicas.slots(m_request.decodePool)));
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_view.rates.slotHoldSeconds(m_request.decodePool) / slots));
    }

    /// Returns the expected time until the best pair meets its limits.
    duration expectedQueueWait() const
    {
        const scored_pair &pair = m_pairs.front();
        const double excessMicros = static_cast<double>(pair.prediction.firstToken.count()) * (1.0 - 1.0 / pair.score);
        return std::max(expectedSlotWait(), duration(static_cast<std::int64_t>(excessMicros)));
    }

    placement_decision makeRefusal(placement_failure reason, duration wait)
    {
        const auto base = static_cast<std::uint64_t>(std::clamp(wait, kMinRetryAfter, kMaxRetryAfter).count());
        // The delay is random between one and two times the estimate, so that rejected callers do not all retry at once.
        return placement_refusal{reason, duration(static_cast<std::int64_t>(base + randomBelow(m_random, base)))};
    }

    instant m_now;
    const placement_settings &m_settings;
    const placement_request &m_request;
    const placement_view &m_view;
    placement_random &m_random;
    std::vector<prefill_cost> m_prefills;
    std::vector<decode_cost> m_decodes;
    std::vector<scored_pair> m_pairs;
    std::size_t m_scoredDecodes = 0;
    bool m_anyDecodeSampled = false;
};

} // namespace

placement_policy makeOwnerGrants(const placement_settings &settings)
{
    return [settings](instant now, const placement_request &request, const placement_view &view, placement_random &random) {
        return pair_search(now, settings, request, view, random).run();
    };
}

} // namespace heatherroute::detail
