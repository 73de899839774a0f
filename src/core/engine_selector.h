#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core_context.h"
#include "core/upstream_table.h"
#include "heatherroute/placement.h"

namespace heatherroute
{

/// The requirements of a generation on a pair of engines.
struct engine_requirements
{
    std::string model;
    std::uint32_t promptTokens = 0; ///< Tokens of the prompt and of the output generated so far.
    std::uint32_t totalTokens = 0; ///< Tokens of the prompt and of the whole output.
    priority_class priority = priority_class::Interactive;
    std::vector<std::string> excludedEngines; ///< Names of engines that failed this generation.
    bool operator==(const engine_requirements &) const = default;
};

/// An engine chosen for a generation.
struct chosen_engine
{
    std::string name;
    std::string address;
    bool operator==(const chosen_engine &) const = default;
};

/// The progress of one placement, from which rates are estimated. Stored by the generation; only the selector changes it.
struct placement_progress
{
    instant placedAt{};
    instant prefillFinishedAt{};
    instant firstTokenAt{};
    std::uint32_t promptTokens = 0;
    bool promptQueued = false; ///< Whether the prompt is counted as queued at the prefill engine.
    bool prefillWasIdle = false; ///< Whether the prefill engine appeared idle when the prompt was sent.
    bool decodeRunning = false; ///< Whether the current decode engine has sent tokens.
    bool operator==(const placement_progress &) const = default;
};

/// A reservation on a decode engine and on the prefill engine chosen with it.
struct engine_pair
{
    chosen_engine prefill;
    chosen_engine decode;
    std::uint32_t pieces = 0; ///< Number of pieces reserved on the decode engine.
    placement_progress progress;
    bool operator==(const engine_pair &) const = default;
};

/**
 * Chooses engines by the configured placement policy and tracks the capacity that this entry has reserved on them.
 *
 * A pair is reserved before any work is sent. This guarantees decode memory for the result of every prefill, and a request
 * that cannot meet its targets is refused before a prefill is spent on it. The load of an engine is the sum of this entry's
 * exact reservations and the load of other entries, which is the last report without this entry's own running work. Reports that are
 * too old are ignored; overload is then prevented only by the engine's own refusals. Not thread safe.
 */
class engine_selector
{
public:
    engine_selector(core_context &context, upstream_table &upstreams);

    /// Reserves a pair of engines. Returns nothing when no pair has room or can meet the targets; retryAfter() then holds the delay before a retry.
    std::optional<engine_pair> reservePair(const engine_requirements &requirements);
    /// Reserves a slot and @p pieces on another decode engine; returns nothing when none has room.
    std::optional<chosen_engine> reserveDecode(const engine_requirements &requirements, std::uint32_t pieces);
    /// Releases the reservation on a prefill engine.
    void releasePrefill(const std::string &name, placement_progress &progress);
    /// Releases the slot and the pieces on a decode engine.
    void releaseDecode(const std::string &name, std::uint32_t pieces, placement_progress &progress);
    /// Returns the delay before a retry for the request that was refused last.
    duration retryAfter() const;

    /// Records that no connection to the engine could be established. It is left out until it answers a poll, or until its backoff ends.
    void markUnreachable(const std::string &name);
    /// Records a finished prefill that computed @p computedTokens tokens.
    void prefillFinished(const std::string &name, placement_progress &progress, std::uint32_t computedTokens);
    /// Records the arrival of tokens; only the first call after a placement has an effect. @p prefill is empty once it has been released.
    void tokensReceived(const std::string &prefill, const std::string &decode, std::uint32_t pieces, placement_progress &progress);
    /// Records the end of a generation of @p tokens tokens.
    void finished(const std::string &decode, const placement_progress &progress, std::uint32_t tokens);
    /// Treats the engine, which answered that it is full, as full until its next report or until the lifetime of a report has passed.
    void markFull(const std::string &name);
    /// Processes a load report of an engine.
    void loadReported(const std::string &name, const engine_load &load);
    /// Updates the load estimates, so that old reports expire.
    void onTick();

private:
    using pool_key = std::pair<upstream_kind, std::string>; ///< The kind of the engines and their model.
    /// An engine in the replica table and the estimated load that other entries have on it.
    struct known_engine
    {
        replica_index replica = 0;
        replica_traits traits;
        replica_load otherEntriesLoad;
        std::optional<instant> reportedAt;
    };
    using engine_map = std::map<std::string, known_engine>;

    void syncWithConfiguration();
    void addEngine(const upstream &config);
    pool_index poolOf(const pool_key &key);
    zone_index zoneOf(const std::string &zone);
    void updateLoad(const std::string &name);
    bool hasUnreservedCapacity(const std::string &name, std::uint32_t pieces) const;
    std::optional<placement_request> makePlacementRequest(const engine_requirements &requirements);
    /// Returns the engines that can't be chosen now: those that failed the generation, and those that can't be connected to.
    std::vector<std::string> excludedNow(const engine_requirements &requirements) const;
    std::optional<engine_pair> reserve(const placement_request &request,
                                       const engine_requirements &requirements,
                                       const std::vector<std::string> &excludedEngines,
                                       const placement_pair &pair);
    void setWeights(const std::vector<std::string> &names, double weight);
    const std::string &nameOf(replica_index replica) const;
    replica_load loadOf(const std::string &name) const;

    core_context &m_context;
    upstream_table &m_upstreams;
    replica_table m_replicas;
    rate_estimator m_rates;
    prefix_index m_prefixes;
    placement_policy m_policy;
    engine_map m_engines;
    std::map<replica_index, std::string> m_names;
    std::map<pool_key, pool_index> m_pools;
    std::map<std::string, zone_index> m_zones;
    std::map<pool_index, moving_average> m_promptTokens; ///< The average length of a prompt, by prefill pool.
    std::uint64_t m_revision = 0;
    instant m_nextLoadUpdate{};
    duration m_retryAfter;
};

} // namespace heatherroute
