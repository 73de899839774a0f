#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/engine_placement_message.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Limits used by an engine_placement_ledger.
struct placement_ledger_settings
{
    /// Part of an engine's memory that is left free: engines count some memory that reservations don't state.
    double freeShare = 0.02;
    std::uint32_t blockTokens = 16; ///< Engines allocate memory in blocks of this size.
    double tokensPerMs = 55.0; ///< Prefill rate, see engine_scheduler_settings.
    duration maxPrefillBacklog = std::chrono::milliseconds(500); ///< Prompts that may be queued at one engine, as compute time.
    duration fullBackoff = std::chrono::milliseconds(80); ///< How long an engine is skipped that refused a request as full.
    duration placementLife = std::chrono::seconds(3); ///< A placement that has been in no report for this time has ended.
    std::uint32_t oldestInterval = 4; ///< Every place with this number goes to the oldest request, whatever its priority.
    /// A kind of requests that is placed less often than this, relative to all, goes first. The requirement is half as often as all.
    double minRelativeShare = 0.6;
    duration rateWindow = std::chrono::seconds(1); ///< Over which the rate of ended placements is measured.
    std::size_t maxWaiting = 256; ///< Several times what a busy pool serves within the longest wait.
    std::size_t maxPlacements = 8'192; ///< With those that have ended and are remembered for repeated requests.

    auto operator<=>(const placement_ledger_settings &) const = default;
};

/// An engine that may get placements.
struct placement_engine
{
    std::string id;
    std::uint32_t slots = 0; ///< 0 for no limit.
    std::uint32_t memoryTokens = 0; ///< 0 for no limit.
    double weight = 1.0; ///< Share of work relative to others, from its health.

    auto operator<=>(const placement_engine &) const = default;
};

/// How a request for an engine was decided.
enum class placement_decision_kind : std::uint8_t {
    Placed,
    Queued, ///< The final reply follows.
    NoRoom, ///< The expected wait is too long.
    NoEngine, ///< No engine is known for the request, so that the sender chooses by itself.
    Repeated, ///< The reply was sent before.
};

/// Returns the name of the decision in logs and metrics. Thread safe.
const char *toString(placement_decision_kind kind) noexcept;

/// A reply to an entry, with what was decided.
struct placement_decision
{
    std::string sender; ///< As passed to onRequest().
    placement_reply reply;
    placement_decision_kind kind = placement_decision_kind::Placed;
    std::uint32_t priority = 0;
    std::size_t ahead = 0; ///< Number of requests that are served earlier.
    duration waited{}; ///< Time in the queue.

    auto operator<=>(const placement_decision &) const = default;
};

/**
 * The placements at the engines of one pool, as its coordinator assigns them for all entries.
 *
 * Load pattern: many entries choose at the same moment among a few engines, and each knows only its own small part of the load, so
 * engines are overloaded in turn while others are idle. One place that knows all placements chooses the engine with the least in use.
 * Requests without room wait, by priority and age, as long as their turn is expected in time. Pure; not thread safe. Instants must
 * not decrease.
 */
class engine_placement_ledger
{
public:
    static constexpr std::uint32_t kPriorities = 8; ///< Larger priorities count as the last one.

    static engine_placement_ledger make(const placement_ledger_settings &settings, engine_phase phase, instant now, std::uint64_t seed);

    /// Sets the engines that may get placements. Placements at others are kept, since an engine may come back.
    void setEngines(std::vector<placement_engine> engines);
    /// Processes a request of the entry @p sender. Returns the replies to send, to this and other entries.
    std::vector<placement_decision> onRequest(instant now, const std::string &sender, const engine_placement_request &request);
    /// Processes a report of the entry @p sender. Returns the replies to send.
    std::vector<placement_decision> onReport(instant now, const std::string &sender, const placement_report &report);
    /// Ends what has expired, and returns the replies that are due. To be called often while requests wait.
    std::vector<placement_decision> advance(instant now);
    /// Replies to all waiting requests that their senders choose by themselves, since this entry stops.
    std::vector<placement_decision> stop();

    /// Returns the number of waiting requests by priority.
    std::array<std::size_t, kPriorities> waiting() const;
    /// Returns the number of placements that are known, those that have ended included.
    std::size_t size() const noexcept
    {
        return m_placements.size();
    }
    /// Returns the tokens in use at the engine @p id.
    std::uint64_t tokensAt(const std::string &id) const;
    /// Returns the number of placements in progress at the engine @p id.
    std::uint32_t countAt(const std::string &id) const;
    /// Returns the share of its capacity in use at the busiest engine; 0 without engines.
    double busiestShare() const;

private:
    enum class placement_state : std::uint8_t {
        Current,
        Ended, ///< Remembered, so that late messages don't begin it again.
        Refused, ///< Likewise.
    };
    using placement_key = std::pair<std::string, std::uint64_t>; ///< Sender and number.
    struct known_placement
    {
        placement_state state = placement_state::Current;
        std::string engine;
        std::uint32_t tokens = 0;
        std::uint32_t waitMs = 0; ///< Of a refusal.
        std::optional<instant> assignedAt; ///< Empty if it was learned from a report.
        instant seenAt{}; ///< Time of the last report or of the end.
    };
    struct waiting_request
    {
        placement_key key;
        engine_placement_request request;
        instant since{};
        instant until{};
    };
    struct engine_use
    {
        std::uint64_t tokens = 0;
        std::uint32_t count = 0;
        instant skippedUntil{};
    };
    /// Requests of one priority, as counts that are halved now and then so that recent ones weigh more.
    struct kind_counts
    {
        double asked = 0.0;
        double placed = 0.0;
    };
    enum class fit : std::uint8_t {
        Room,
        Full,
        AllRefusing, ///< The engines with room refuse this request.
        NoEngine,
    };

    engine_placement_ledger(const placement_ledger_settings &settings, engine_phase phase, instant now, std::uint64_t seed);

    std::uint32_t blocksOf(std::uint32_t tokens) const;
    double shareOf(const placement_engine &engine, std::uint32_t more, std::uint32_t moreCount) const;
    bool hasRoom(const placement_engine &engine, std::uint32_t tokens) const;
    fit findEngine(instant now, const engine_placement_request &request, std::string *engine);
    void addUse(const known_placement &placement);
    void endPlacement(instant now, known_placement &placement);
    void noteRefusing(instant now, const std::string &sender, const engine_placement_request &request);
    placement_decision place(instant now, const waiting_request &one, const std::string &engine);
    placement_decision refuse(instant now, const waiting_request &one, placement_decision_kind kind, std::uint32_t waitMs);
    bool isBehind(std::uint32_t priority) const;
    void halveCounts();
    std::vector<std::size_t> servingOrder() const;
    std::size_t nextOf(const std::vector<std::size_t> &order) const;
    std::vector<std::size_t> aheadCounts() const;
    std::optional<duration> expectedWait(instant now, std::size_t ahead) const;
    void expire(instant now);
    void serve(instant now, std::vector<placement_decision> *decisions);
    void refuseLate(instant now, std::vector<placement_decision> *decisions);

    placement_ledger_settings m_settings;
    engine_phase m_phase;
    instant m_startedAt;
    std::mt19937_64 m_random;
    std::vector<placement_engine> m_engines;
    std::map<std::string, engine_use> m_uses; ///< By engine.
    std::map<placement_key, known_placement> m_placements;
    std::vector<waiting_request> m_waiting; ///< By age, the oldest first.
    std::deque<instant> m_ends; ///< Ends of placements within the rate window.
    double m_meanSeconds = 0.0; ///< Moving average of the time that placements last; 0 before the first one.
    std::size_t m_current = 0; ///< Number of placements in progress.
    std::array<kind_counts, kPriorities> m_kinds{};
    std::uint64_t m_places = 0; ///< Number of places given to waiting requests.
    instant m_expiredAt{};
};

} // namespace heatherroute
