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

/// Settings for the placement of generation requests on engines.
struct engine_scheduler_settings
{
    /// Memory reserved for the output, as a multiple of the caller's estimate, which is often far off. The declared maximum caps it.
    double outputReserveFactor = 2.0;
    /// Backoff after an engine refused a reservation or a request as full.
    duration fullBackoff = std::chrono::milliseconds(80);
    /// Backoff after an engine was found in another phase than it reported; reports are about this late.
    duration wrongPhaseBackoff = std::chrono::milliseconds(1'000);
    /// Maximum wait for memory; a longer wait would miss the latency target anyway.
    duration maxMemoryWait = std::chrono::milliseconds(600);
    /// Interval between two rounds of reservation attempts.
    duration reservationRetryInterval = std::chrono::milliseconds(60);
    double gain = 0.3; ///< Weight of the newest prefill in the moving average of the delay.
    duration delayHalfLife = std::chrono::seconds(1); ///< Observed delays decay, since older ones say less about the current queue.
    double tokensPerMs = 55.0; ///< Prefill rate of an engine without a queue, according to its data sheet.
    /// An engine with a longer expected prefill delay gets no more prefills.
    duration maxPrefillDelay = std::chrono::milliseconds(500);
    /// How long an engine may refuse everything before its state is queried, and the minimum interval between two queries.
    duration probeAfterRefusingFor = std::chrono::milliseconds(900);
    duration probeInterval = std::chrono::seconds(2);
    /// Work that all entries together may queue at one prefill engine, as compute time. Further requests wait outside the engine,
    /// where they can go to another engine or be rejected in time.
    duration maxPrefillBacklog = std::chrono::milliseconds(500);

    auto operator<=>(const engine_scheduler_settings &) const = default;
};

/**
 * Selects the engines for the prefill and the decode of a generation.
 *
 * Load pattern: streams of several seconds fill the memory of the decode engines, and a prefill is wasted when its generation
 * then finds no memory. Memory is therefore reserved before the prefill. The class tracks the work that this entry has placed
 * on each engine. Pure; not thread safe. Instants must not decrease.
 */
class engine_scheduler
{
public:
    static engine_scheduler make(const engine_scheduler_settings &settings);

    const engine_scheduler_settings &settings() const noexcept
    {
        return m_settings;
    }
    /// Returns the tokens of decode memory to reserve for a request.
    std::uint32_t reservedTokens(const prompt_facts &prompt) const;
    /// Returns the tokens to reserve for a prompt at a prefill engine of @p memoryTokens, so that only the maximum backlog fits.
    std::uint32_t prefillReservation(const prompt_facts &prompt, std::uint32_t memoryTokens) const;
    /// Returns the decode engines in the order in which to request memory. Engines in backoff are left out.
    std::vector<const registration *> decodeOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const;
    /// Returns the prefill engines in the order in which to try them. Engines in backoff or with a too long delay are left out.
    std::vector<const registration *> prefillOrder(instant now, const std::vector<upstream_candidate> &engines, std::mt19937_64 &random) const;

    /// Records that an engine refused a reservation or a request because it is full.
    void noteFull(instant now, const std::string &id);
    /// Records that an engine refused a request because it is in another phase, or switching to one.
    void noteWrongPhase(instant now, const std::string &id);
    /// Records that an engine accepted a reservation or a request.
    void noteAccepted(const std::string &id);
    /// Returns the ids of those @p engines whose state should be queried because they have refused everything for too long.
    /// Each is returned again only after the probe interval.
    std::vector<std::string> enginesToQuery(instant now, const std::vector<const registration *> &engines);
    /// Record tokens that were reserved at, or released by, a decode engine.
    void addDecode(const std::string &id, std::uint32_t tokens);
    void removeDecode(const std::string &id, std::uint32_t tokens);
    /// Record prompt tokens that were sent to, or finished by, a prefill engine.
    void addPrefill(const std::string &id, std::uint32_t tokens);
    void removePrefill(const std::string &id, std::uint32_t tokens);
    /// Records that a prefill of @p tokens took @p elapsed from sending to its answer, or until it was abandoned.
    void notePrefill(instant now, const std::string &id, std::uint32_t tokens, duration elapsed);
    /// Returns the time to compute a prompt of @p tokens, without queueing.
    duration computeTime(std::uint32_t tokens) const;
    /// Returns the expected queueing delay of a prefill at an engine.
    duration prefillDelay(instant now, const std::string &id) const;
    /// Returns the work that this entry has in progress at each engine, in tokens.
    std::map<std::string, double> loads() const;

private:
    struct engine_state
    {
        std::uint64_t decodeTokens = 0;
        std::uint64_t prefillTokens = 0;
        instant backoffUntil{};
        std::optional<instant> refusingSince; ///< Start of the refusals; empty once the engine accepts something.
        instant probedAt{}; ///< When the engine's state was last queried.
        duration queueDelay{}; ///< Delay of recent prefills beyond their compute time.
        instant queueDelayAt{};
    };

    explicit engine_scheduler(const engine_scheduler_settings &settings);

    engine_scheduler_settings m_settings;
    std::map<std::string, engine_state> m_engines;
};

} // namespace heatherroute
