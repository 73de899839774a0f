#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/registration.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// What planning starts from and how calm it is.
struct phase_plan_settings
{
    /// Engine time that one request takes of a prefill engine, before any was seen.
    duration prefillCost = std::chrono::milliseconds(95);
    /// Engine time that one request takes of a decode engine: its part of the memory times how long it runs, before any was seen.
    duration decodeCost = std::chrono::milliseconds(390);
    /// Room for bursts in the prefill pool against that of the decode pool.
    double prefillHeadroom = 1.0;
    double gain = 0.005; ///< Weight of the newest request; short generations end first, so the mean must move slowly.
    std::size_t fewestPrefill = 1;
    std::size_t fewestDecode = 1;
    duration patience = std::chrono::seconds(6); ///< How long too many must prefill before one of them is moved.
    duration shortPatience = std::chrono::seconds(3); ///< The same with too few; an engine that crashed is often back by then.
    duration plannedLossPatience = std::chrono::milliseconds(500); ///< With too few because one leaves for good.
    duration plannedLossTime = std::chrono::seconds(8); ///< How long a leaving engine is the likely reason.
    duration moveTime = std::chrono::seconds(10); ///< After an order, how long reports may still tell the old phase.
    duration pauseBetween = std::chrono::milliseconds(1'500); ///< Between two orders while there is work.

    auto operator<=>(const phase_plan_settings &) const = default;
};

/// An engine to move.
struct phase_move
{
    std::string id;
    engine_phase to = engine_phase::Decode;

    auto operator<=>(const phase_move &) const = default;
};

/**
 * How many engines of a service prefill and how many decode.
 *
 * Load pattern: the pools as registered don't fit the mix of prompt and output lengths, or engines of the smaller pool crash
 * or leave. The ratio follows the engine time that a request takes of either pool, learned from finished requests; it doesn't
 * depend on the rate of requests, so a burst doesn't move it. Pure; not thread safe. Instants must not decrease.
 */
class phase_planner
{
public:
    static phase_planner make(const phase_plan_settings &settings);

    /// A prefill took @p computing of an engine.
    void notePrefill(duration computing);
    /// A generation for which @p memoryPart of a decode engine's memory was reserved ran for @p ran.
    void noteDecode(duration ran, double memoryPart);

    /// Another entry sends the engine of that id to phase @p to.
    void noteMoving(instant now, const std::string &id, engine_phase to);
    /// Whether requests were seen, so that a move costs them something.
    bool isServing() const noexcept
    {
        return m_seenWork;
    }
    /// The order to move that engine was not accepted.
    void abandon(const std::string &id);

    /// How many of @p engines should prefill.
    std::size_t wantedPrefill(std::size_t engines) const;
    /// A prefill engine has told that it leaves for good.
    void noteLeaving(instant now);
    /// Takes note of the pools. Call it also where this entry may not give orders, so that a new holder need not wait anew.
    void observe(instant now, const std::vector<const registration *> &engines);
    /// The engine to move now, if any. @p engines are those in use; @p loadOf gives the work in hand of one, to move an idle one.
    std::optional<phase_move> plan(instant now, const std::vector<const registration *> &engines, const std::map<std::string, double> &loadOf);

private:
    /// The pools as they will be when moves under way are done.
    struct pool_view
    {
        std::size_t prefill = 0;
        std::size_t wanted = 0;
        std::vector<const registration *> movable; ///< Engines that aren't on their way already.
    };

    explicit phase_planner(const phase_plan_settings &settings);
    pool_view viewOf(instant now, const std::vector<const registration *> &engines);
    bool isDue(instant now, const pool_view &view, std::size_t engines) const;

    phase_plan_settings m_settings;
    bool m_seenWork = false;
    double m_prefillSeconds; ///< Of a prefill engine, per request.
    double m_decodeSeconds; ///< Of a decode engine, per request.
    std::optional<instant> m_differsSince;
    std::optional<instant> m_plannedLossAt;
    std::optional<instant> m_lastMove;
    struct move_under_way
    {
        engine_phase to = engine_phase::Decode;
        instant since{};
    };
    std::map<std::string, move_under_way> m_moving; ///< Engines that were ordered to move and may not report it yet.
};

} // namespace heatherroute
