#pragma once

#include <compare>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "heatherroute/relay_request.h"
#include "relay/upstream_choice.h"

namespace heatherroute
{

/// How generations are placed on engines.
struct engine_desk_settings
{
    /// Reserved for the output, as a multiple of the caller's estimate, which is often far off; never more than the declared most.
    double reserveOfExpected = 2.0;
    /// How long an engine that refused a reservation isn't asked again.
    duration fullPause = std::chrono::milliseconds(80);
    /// How long an engine that is in another phase than it reported isn't asked; reports come about this late.
    duration wrongPhasePause = std::chrono::milliseconds(1'000);
    /// Longest wait for memory; waiting longer would miss the target anyway.
    duration longestWait = std::chrono::milliseconds(600);
    /// Between two rounds of asking.
    duration askInterval = std::chrono::milliseconds(60);
    double gain = 0.3; ///< Weight of the newest prefill's delay.
    duration delayHalfLife = std::chrono::seconds(1); ///< A delay that was seen says less the older it is.
    double tokensPerMs = 55.0; ///< Prefill rate of an engine without a queue, as its data sheet says.
    /// Expected delay of a prefill from which on its engine gets no more.
    duration longestPrefillDelay = std::chrono::milliseconds(500);
    /// How long an engine may refuse everything before it is asked for its state, and the pause before it is asked again.
    duration refusalPatience = std::chrono::milliseconds(900);
    duration askAgainAfter = std::chrono::seconds(2);
    /// Work that all entries together may have at one prefill engine, as time to compute it; the rest waits outside, where it can
    /// go to another engine or be refused in time.
    duration prefillBacklog = std::chrono::milliseconds(500);

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
    /// Tokens to reserve at a prefill engine of @p memoryTokens for a prompt, so that no more than the backlog fits in.
    std::uint32_t prefillReservation(const prompt_facts &prompt, std::uint32_t memoryTokens) const;
    /// Decode engines in the order to ask them for memory; those that refused a moment ago are left out.
    std::vector<const registration *> decodeOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const;
    /// Prefill engines in the order to try them; those that refused a moment ago or whose queue is too long are left out.
    std::vector<const registration *> prefillOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const;

    /// An engine refused a reservation, or work, as full.
    void noteFull(instant now, const std::string &id);
    /// An engine refused work because it is in another phase, or on its way to one.
    void noteWrongPhase(instant now, const std::string &id);
    /// An engine took a reservation or work.
    void noteTaken(const std::string &id);
    /// Engines among @p engines that have refused all for long enough to be asked why; each again only after a pause.
    std::vector<std::string> silentRefusers(instant now, const std::vector<const registration *> &engines);
    /// Tokens are reserved at, or given back by, a decode engine.
    void addDecode(const std::string &id, std::uint32_t tokens);
    void removeDecode(const std::string &id, std::uint32_t tokens);
    /// Prompt tokens are sent to, or done by, a prefill engine.
    void addPrefill(const std::string &id, std::uint32_t tokens);
    void removePrefill(const std::string &id, std::uint32_t tokens);
    /// A prefill of @p tokens took @p took from sending to its answer, or to the point where it was given up.
    void notePrefill(instant now, const std::string &id, std::uint32_t tokens, duration took);
    /// How long an engine computes a prompt of @p tokens, without waiting.
    duration computing(std::uint32_t tokens) const;
    /// How long a prefill is expected to wait at an engine.
    duration prefillDelay(instant now, const std::string &id) const;
    /// Work in hand at each engine, in tokens.
    std::map<std::string, double> loads() const;

private:
    struct in_hand
    {
        std::uint64_t decodeTokens = 0;
        std::uint64_t prefillTokens = 0;
        instant fullUntil{};
        std::optional<instant> refusesSince; ///< Without taking anything.
        instant askedAt{}; ///< For its state.
        duration delay{}; ///< Of recent prefills, beyond their computing.
        instant delayAt{};
    };

    explicit engine_desk(const engine_desk_settings &settings);

    engine_desk_settings m_settings;
    std::map<std::string, in_hand> m_engines;
};

} // namespace heatherroute
