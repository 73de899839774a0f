#pragma once

#include <compare>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "heatherroute/rate_book.h"
#include "heatherroute/relay_request.h"
#include "relay/upstream_choice.h"

namespace heatherroute
{

/// How generations are placed on engines.
struct engine_desk_settings
{
    /// Part of the declared most output that is reserved beyond what the request is expected to make.
    double reserveOfMost = 1.0;
    /// How long an engine that refused a reservation isn't asked again.
    duration fullPause = std::chrono::milliseconds(80);
    /// Longest wait for memory; waiting longer would miss the target anyway.
    duration longestWait = std::chrono::milliseconds(600);
    /// Between two rounds of asking.
    duration askInterval = std::chrono::milliseconds(60);
    double gain = 0.1; ///< Weight of the newest prefill.
    double tokensPerMs = 55.0; ///< Prefill rate before any was seen.

    auto operator<=>(const engine_desk_settings &) const = default;
};

/**
 * Where the parts of a generation run: its prefill and its decode.
 *
 * Load pattern: streams of several seconds fill the memory of the decode engines; a prefill whose generation finds no memory
 * is wasted. Memory is therefore reserved before the prefill. Keeps what this entry has in hand at each engine. Pure; not
 * thread safe. Instants must not decrease.
 */
class engine_desk
{
public:
    static engine_desk make(const engine_desk_settings &settings);

    const engine_desk_settings &settings() const noexcept
    {
        return m_settings;
    }
    /// Tokens of memory to reserve for a request.
    std::uint32_t reservedTokens(const prompt_facts &prompt) const;
    /// Decode engines in the order to ask them for memory; those that refused a moment ago are left out.
    std::vector<const registration *> decodeOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const;
    /// Prefill engines in the order to try them.
    std::vector<const registration *> prefillOrder(const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const;

    /// An engine refused a reservation, or work, as full.
    void noteFull(instant now, const std::string &id);
    /// Tokens are reserved at, or given back by, a decode engine.
    void addDecode(const std::string &id, std::uint32_t tokens);
    void removeDecode(const std::string &id, std::uint32_t tokens);
    /// Prompt tokens are sent to, or done by, a prefill engine.
    void addPrefill(const std::string &id, std::uint32_t tokens);
    void removePrefill(const std::string &id, std::uint32_t tokens);
    /// A prefill of @p tokens took @p took from sending to its answer.
    void notePrefill(std::uint32_t tokens, duration took);
    /// How long a prefill of @p tokens is expected to take.
    duration expectedPrefill(std::uint32_t tokens) const;
    /// Work in hand at each engine, in tokens.
    std::map<std::string, double> loads() const;

private:
    struct in_hand
    {
        std::uint64_t decodeTokens = 0;
        std::uint64_t prefillTokens = 0;
        instant fullUntil{};
    };

    explicit engine_desk(const engine_desk_settings &settings);

    engine_desk_settings m_settings;
    std::map<std::string, in_hand> m_engines;
    learned_mean m_msPerToken;
};

} // namespace heatherroute
