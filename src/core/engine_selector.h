#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/upstream_table.h"

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

/// A reservation on a decode engine and the prefill engine to go with it.
struct engine_pair
{
    chosen_engine prefill;
    chosen_engine decode;
    std::uint32_t pieces = 0; ///< Reserved on the decode engine.
    bool operator==(const engine_pair &) const = default;
};

/**
 * Chooses engines and keeps account of what this entry holds on them.
 *
 * A pair is reserved before any work is sent, so that a prefill never ends without a place for its result. Not thread safe.
 */
class engine_selector
{
public:
    engine_selector(core_context &context, upstream_table &upstreams);

    /// Reserves a pair; empty when none has room, with retryAfter() telling when to come back.
    std::optional<engine_pair> reservePair(const engine_need &need);
    /// Reserves @p pieces on another decode engine; empty when none has room.
    std::optional<chosen_engine> reserveDecode(const engine_need &need, std::uint32_t pieces);
    /// Gives back a prefill engine's place.
    void releasePrefill(const std::string &name);
    /// Gives back a decode engine's slot and pieces.
    void releaseDecode(const std::string &name, std::uint32_t pieces);
    /// When a caller whose request found no room should come back.
    duration retryAfter() const;

private:
    const upstream_table::entry *choose(upstream_kind kind, const engine_need &need, std::uint32_t pieces) const;

    core_context &m_context;
    upstream_table &m_upstreams;
};

} // namespace heatherroute
