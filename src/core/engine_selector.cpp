#include "core/engine_selector.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr duration kRetryAfterFull = std::chrono::seconds(1);

std::uint32_t piecesFor(std::uint32_t tokens, std::uint32_t pieceTokens)
{
    const std::uint32_t size = std::max<std::uint32_t>(pieceTokens, 1);
    return (tokens + size - 1) / size;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

engine_selector::engine_selector(core_context &context, upstream_table &upstreams)
    : m_context(context)
    , m_upstreams(upstreams)
{ }

std::optional<engine_pair> engine_selector::reservePair(const engine_need &need)
{
    const auto decodes = m_upstreams.candidates(upstream_kind::DecodeEngine, need.model);
    if (decodes.empty()) {
        return std::nullopt;
    }
    const std::uint32_t pieces = piecesFor(need.totalTokens, decodes.front()->config.pieceTokens);
    const upstream_table::entry *prefill = choose(upstream_kind::PrefillEngine, need, 0);
    if (prefill == nullptr) {
        return std::nullopt;
    }
    auto decode = reserveDecode(need, pieces);
    if (!decode) {
        return std::nullopt;
    }
    m_upstreams.take(prefill->config.name, 0);
    return engine_pair{{prefill->config.name, prefill->config.address}, std::move(*decode), pieces};
}

std::optional<chosen_engine> engine_selector::reserveDecode(const engine_need &need, std::uint32_t pieces)
{
    const upstream_table::entry *decode = choose(upstream_kind::DecodeEngine, need, pieces);
    if (decode == nullptr) {
        return std::nullopt;
    }
    m_upstreams.take(decode->config.name, pieces);
    return chosen_engine{decode->config.name, decode->config.address};
}

void engine_selector::releasePrefill(const std::string &name)
{
    m_upstreams.giveBack(name, 0);
}

void engine_selector::releaseDecode(const std::string &name, std::uint32_t pieces)
{
    m_upstreams.giveBack(name, pieces);
}

duration engine_selector::retryAfter() const
{
    return kRetryAfterFull;
}

const upstream_table::entry *engine_selector::choose(upstream_kind kind, const engine_need &need, std::uint32_t pieces) const
{
    const upstream_table::entry *best = nullptr;
    for (const upstream_table::entry *candidate : m_upstreams.candidates(kind, need.model)) {
        const bool full = candidate->used.slots >= candidate->config.slots || candidate->used.pieces + pieces > candidate->config.pieces;
        const bool limited = kind == upstream_kind::DecodeEngine;
        if ((limited && full) || contains(need.avoid, candidate->config.name)) {
            continue;
        }
        if (best == nullptr || candidate->used.slots < best->used.slots) {
            best = candidate;
        }
    }
    return best;
}

} // namespace heatherroute
