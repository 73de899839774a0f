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

/// What a generation needs of a pair of engines.
struct engine_need
{
    std::string model;
    std::uint32_t promptTokens = 0; ///< Of the prompt and what was generated already.
    std::uint32_t totalTokens = 0; ///< Of the prompt and the whole output.
    priority_class priority = priority_class::Interactive;
    std::vector<std::string> avoid; ///< Engines that failed this generation.
    bool operator==(const engine_need &) const = default;
};

/// One engine that was chosen.
struct chosen_engine
{
    std::string name;
    std::string address;
    bool operator==(const chosen_engine &) const = default;
};

/// How far one placement has come; rates are learned from it. Kept by the generation, changed by the selector alone.
struct engine_marks
{
    instant placedAt{};
    instant prefillFinishedAt{};
    instant firstTokenAt{};
    std::uint32_t promptTokens = 0;
    bool queued = false; ///< The prompt counts as queued at the prefill engine.
    bool alone = false; ///< The prefill engine seemed idle when the prompt was sent.
    bool running = false; ///< Tokens have come from the current decode engine.
    bool operator==(const engine_marks &) const = default;
};

/// A reservation on a decode engine and the prefill engine to go with it.
struct engine_pair
{
    chosen_engine prefill;
    chosen_engine decode;
    std::uint32_t pieces = 0; ///< Reserved on the decode engine.
    engine_marks marks;
    bool operator==(const engine_pair &) const = default;
};

/**
 * Chooses engines by the policy of the settings and keeps account of what this entry holds on them.
 *
 * A pair is reserved before any work is sent, so that a prefill never ends without a place for its result, and a request
 * that cannot meet its targets is refused before a prefill is spent on it. An engine's load is taken as this entry's exact
 * reservations plus what the last report showed beyond them; a report too old counts for nothing, and the engine's own
 * refusal is then the guard. Not thread safe.
 */
class engine_selector
{
public:
    engine_selector(core_context &context, upstream_table &upstreams);

    /// Reserves a pair; empty when none has room or can meet the targets, with retryAfter() telling when to come back.
    std::optional<engine_pair> reservePair(const engine_need &need);
    /// Reserves @p pieces on another decode engine; empty when none has room.
    std::optional<chosen_engine> reserveDecode(const engine_need &need, std::uint32_t pieces);
    /// Gives back a prefill engine's place.
    void releasePrefill(const std::string &name, engine_marks &marks);
    /// Gives back a decode engine's slot and pieces.
    void releaseDecode(const std::string &name, std::uint32_t pieces, engine_marks &marks);
    /// When a caller whose request was refused last should come back.
    duration retryAfter() const;

    /// The prefill is done, after computing @p computedTokens.
    void prefillFinished(const std::string &name, engine_marks &marks, std::uint32_t computedTokens);
    /// Tokens came; @p prefill is empty once it was released.
    void tokensReceived(const std::string &prefill, const std::string &decode, std::uint32_t pieces, engine_marks &marks);
    /// The last of @p tokens tokens came.
    void finished(const std::string &decode, const engine_marks &marks, std::uint32_t tokens);
    /// The engine answered that it is full; it counts as full until the next report.
    void noCapacity(const std::string &name);
    /// An engine told its load.
    void loadReported(const std::string &name, const engine_load &load);
    /// Lets old reports lapse.
    void onTick();

private:
    using pool_key = std::pair<upstream_kind, std::string>; ///< The kind of its engines and their model.
    /// An engine in the replica table, and what others seem to hold on it.
    struct known_engine
    {
        replica_index replica = 0;
        replica_traits traits;
        replica_load others;
        std::optional<instant> reportedAt;
    };
    using engine_map = std::map<std::string, known_engine>;

    void followConfiguration();
    void addEngine(const upstream &config);
    pool_index poolOf(const pool_key &key);
    zone_index zoneOf(const std::string &zone);
    void refresh(const std::string &name);
    bool hasOwnRoom(const std::string &name, std::uint32_t pieces) const;
    std::optional<placement_request> requestOf(const engine_need &need);
    std::optional<engine_pair> reserve(const placement_request &request, const engine_need &need, const placement_pair &pair);
    void setAvoided(const std::vector<std::string> &names, double weight);
    const std::string &nameOf(replica_index replica) const;
    replica_load loadOf(const std::string &name) const;

    core_context &m_context;
    upstream_table &m_upstreams;
    replica_table m_replicas;
    rate_book m_rates;
    prefix_index m_prefixes;
    placement_policy m_policy;
    engine_map m_engines;
    std::map<replica_index, std::string> m_names;
    std::map<pool_key, pool_index> m_pools;
    std::map<std::string, zone_index> m_zones;
    std::map<pool_index, learned_mean> m_promptTokens; ///< The usual length of a prompt, by prefill pool.
    std::uint64_t m_revision = 0;
    instant m_refreshAt{};
    duration m_retryAfter;
};

} // namespace heatherroute
