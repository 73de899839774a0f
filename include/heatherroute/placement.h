#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherroute/inventory.h"
#include "heatherroute/placement_kind.h"
#include "heatherroute/prefix_index.h"
#include "heatherroute/rate_estimator.h"
#include "heatherroute/replica_table.h"

namespace heatherroute
{

/// A generation that needs a prefill engine and a decode engine.
struct placement_request
{
    pool_index prefillPool = 0;
    pool_index decodePool = 0;
    zone_index homeZone = 0; ///< The zone of this entry.
    std::uint32_t promptTokens = 0;
    std::uint32_t pieces = 0; ///< Decode memory needed for the prompt and the output.
    std::uint32_t blockTokens = 0; ///< Number of tokens that one block in prefixHashes covers.
    std::vector<std::uint64_t> prefixHashes; ///< Hashes of the prompt's leading blocks, shortest prefix first.
    priority_class priority = priority_class::Interactive;

    auto operator<=>(const placement_request &) const = default;
};

/// The latency that a caller is predicted to see from a pair of engines.
struct placement_prediction
{
    duration firstToken{}; ///< Time to first token.
    duration tokenInterval{}; ///< Time between two tokens.

    auto operator<=>(const placement_prediction &) const = default;
};

/// The engines chosen for a generation. @c fallbackDecodes are tried in order when @c decode cannot be reserved.
struct placement_pair
{
    replica_index prefill = 0;
    replica_index decode = 0;
    std::vector<replica_index> fallbackDecodes;
    placement_prediction prediction;
    std::uint32_t expectedHitTokens = 0;

    auto operator<=>(const placement_pair &) const = default;
};

/// The reason why no pair was chosen.
enum class placement_failure : std::uint8_t {
    NoReplica, ///< No replica of the pool accepts work.
    NoRoom, ///< None of the sampled decode engines has a free slot and enough memory.
    TooSlow, ///< No sampled pair is predicted to meet the targets.
};

/// Returns the name used in answers, logs and metrics. Thread safe.
std::string_view toString(placement_failure value) noexcept;

/// A refusal without any work sent. A retry is worthwhile after @c retryAfter, which contains random jitter.
struct placement_refusal
{
    placement_failure reason = placement_failure::NoReplica;
    duration retryAfter{};

    auto operator<=>(const placement_refusal &) const = default;
};

using placement_decision = std::variant<placement_pair, placement_refusal>;

/// The inputs of a policy. Holds references to objects that must outlive the call.
struct placement_view
{
    const replica_table &replicas;
    const rate_estimator &rates;
    const prefix_index &prefixes;
};

/// Chooses a pair. The result depends only on the arguments and, for round robin, on earlier calls. Not thread safe.
using placement_policy = std::function<placement_decision(instant now, const placement_request &, const placement_view &, placement_random &)>;

/// Parameters of the owner_grants policy.
struct placement_settings
{
    duration firstTokenTarget = std::chrono::milliseconds(890);
    duration tokenIntervalTarget = std::chrono::milliseconds(42);
    double batchFactor = 4.0; ///< The targets of batch requests are multiplied by this factor.
    double unloadedFactor = 1.5; ///< The first-token limit is at least this multiple of the time on an idle fleet, or long prompts would always be refused.
    std::uint32_t sampleSize = 4; ///< Number of replicas sampled from each pool.
    std::uint32_t extraDecodeSampleSize = 12; ///< Number of decode replicas sampled in a second round before a refusal.

    auto operator<=>(const placement_settings &) const = default;
};

/// Creates the policy of the given kind.
placement_policy makePlacementPolicy(placement_kind kind, const placement_settings &settings);

/**
 * Predicts the latency of a pair of engines.
 *
 * The time to first token is the sum of the prefill engine's queue, the prefill of the prompt without @p hitTokens at the
 * estimated rate, the KV-cache transfer at the current use of the link, the round trips and one token interval. The token
 * interval is that of the decode engine with one additional request.
 */
placement_prediction
predict(instant now, const placement_request &request, const placement_view &view, replica_index prefill, replica_index decode, std::uint32_t hitTokens);

} // namespace heatherroute
