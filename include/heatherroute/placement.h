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
#include "heatherroute/rate_book.h"
#include "heatherroute/replica_table.h"

namespace heatherroute
{

/// A generation that needs a prefill engine and a decode engine.
struct placement_request
{
    pool_index prefillPool = 0;
    pool_index decodePool = 0;
    zone_index homeZone = 0; ///< Of the entry.
    std::uint32_t promptTokens = 0;
    std::uint32_t pieces = 0; ///< Decode memory for prompt and output.
    std::uint32_t blockTokens = 0; ///< Tokens of one block of prefixHashes.
    std::vector<std::uint64_t> prefixHashes; ///< Of the prompt's leading blocks, shortest prefix first.
    priority_class priority = priority_class::Interactive;

    auto operator<=>(const placement_request &) const = default;
};

/// What a caller of the pair would see.
struct placement_prediction
{
    duration firstToken{};
    duration pace{}; ///< Between tokens.

    auto operator<=>(const placement_prediction &) const = default;
};

/// Where to send a generation. @c otherDecodes are to be asked in turn when the owner of @c decode refuses.
struct placement_pair
{
    replica_index prefill = 0;
    replica_index decode = 0;
    std::vector<replica_index> otherDecodes;
    placement_prediction prediction;
    std::uint32_t expectedHitTokens = 0;

    auto operator<=>(const placement_pair &) const = default;
};

/// Why no pair was chosen.
enum class placement_failure : std::uint8_t {
    NoReplica, ///< No replica of the pool takes work.
    NoRoom, ///< No decode engine seen has a slot and the memory.
    TooSlow, ///< No pair can meet the targets now.
};

/// The name used in answers, logs and metrics. Thread safe.
std::string_view toString(placement_failure value) noexcept;

/// Nothing was sent; coming back after @p retryAfter, which is spread at random, has a use.
struct placement_refused
{
    placement_failure why = placement_failure::NoReplica;
    duration retryAfter{};

    auto operator<=>(const placement_refused &) const = default;
};

using placement_decision = std::variant<placement_pair, placement_refused>;

/// What a policy may look at. Refers to objects that must outlive the call.
struct placement_view
{
    const replica_table &replicas;
    const rate_book &rates;
    const prefix_index &prefixes;
};

/// Chooses a pair. Deterministic in its arguments and, for round robin, its earlier calls. Not thread safe.
using placement_policy = std::function<placement_decision(instant now, const placement_request &, const placement_view &, placement_random &)>;

/// Numbers of the owner_grants policy.
struct placement_settings
{
    duration firstTokenTarget = std::chrono::milliseconds(890);
    duration paceTarget = std::chrono::milliseconds(42);
    double batchFactor = 4.0; ///< Batch work may take this many times the targets.
    double unloadedFactor = 1.5; ///< A prompt whose prefill alone takes long may take this many times its unloaded time.
    std::uint32_t choices = 4; ///< Replicas drawn of each kind.
    std::uint32_t moreChoices = 12; ///< Decode replicas drawn again before a refusal.

    auto operator<=>(const placement_settings &) const = default;
};

/// Makes the policy of a name in the settings.
placement_policy makePlacementPolicy(placement_kind kind, const placement_settings &settings);

/**
 * What the pair would give: time to first token is the queue of the prefill engine, the prompt less @p hitTokens at the
 * learned rate, the transfer on the link as used now and the round trips; pace is that of the decode engine with one more.
 */
placement_prediction
predict(instant now, const placement_request &request, const placement_view &view, replica_index prefill, replica_index decode, std::uint32_t hitTokens);

} // namespace heatherroute
