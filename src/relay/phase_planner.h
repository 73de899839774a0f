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

/// Initial costs, limits and delays of a phase_planner.
struct phase_plan_settings
{
    /// Initial mean of the engine time per request on a prefill engine; observed requests shift it gradually.
    duration initialPrefillCost = std::chrono::milliseconds(95);
    /// The same on a decode engine, where the engine time is the request's fraction of the memory, multiplied by its run time.
    duration initialDecodeCost = std::chrono::milliseconds(390);
    /// Factor on the prefill cost; above 1, the prefill pool gets headroom for bursts, relative to the decode pool.
    double prefillHeadroom = 1.0;
    double gain = 0.005; ///< Weight of the newest request; short generations end first, so the mean must change slowly.
    std::size_t minPrefill = 1;
    std::size_t minDecode = 1;
    duration surplusDelay = std::chrono::seconds(6); ///< Delay before a surplus prefill engine is moved.
    duration shortageDelay = std::chrono::seconds(3); ///< Delay before a missing prefill engine is replaced; a crashed one is often back by then.
    duration plannedShortageDelay = std::chrono::milliseconds(500); ///< The same when a prefill engine leaves for good.
    duration plannedLossWindow = std::chrono::seconds(8); ///< How long a leaving engine counts as the likely cause of a shortage.
    duration moveTimeout = std::chrono::seconds(10); ///< How long after an order reports may still show the old phase.
    duration minMoveInterval = std::chrono::milliseconds(1'500); ///< Minimum interval between two orders, once a prefill was observed.

    auto operator<=>(const phase_plan_settings &) const = default;
};

/// An engine to move to another phase.
struct phase_move
{
    std::string id;
    engine_phase to = engine_phase::Decode;

    auto operator<=>(const phase_move &) const = default;
};

/**
 * Plans how many engines of a service run prefill and how many run decode.
 *
 * Load pattern: the registered pools don't match the mix of prompt and output lengths, or engines of the smaller pool crash
 * or leave. The ratio follows the engine time that a request takes in each pool, learned from finished requests; it doesn't
 * depend on the request rate, so a burst doesn't change it. Pure; not thread safe. Instants must not decrease.
 */
class phase_planner
{
public:
    static phase_planner make(const phase_plan_settings &settings);

    /// Records a prefill that took @p computeTime of an engine.
    void notePrefill(duration computeTime);
    /// Records a generation that ran for @p runTime with @p memoryFraction of a decode engine's memory reserved.
    void noteDecode(duration runTime, double memoryFraction);

    /// Records that another entry moves the engine @p id to phase @p to.
    void noteMoving(instant now, const std::string &id, engine_phase to);
    /// Returns whether any prefill was observed; before the first one, a move delays no request.
    bool isServing() const noexcept
    {
        return m_seenPrefill;
    }
    /// Cancels the move of an engine because its order was not accepted.
    void cancelMove(const std::string &id);

    /// Returns how many of @p engines should run prefill.
    std::size_t wantedPrefill(std::size_t engines) const;
    /// Records that a prefill engine announced that it leaves for good.
    void noteLeaving(instant now);
    /// Updates the view of the pools. Call it also on entries without the lease, so that a new holder need not restart the delays.
    void observe(instant now, const std::vector<const registration *> &engines);
    /// Returns the engine to move now, if any, and records the move as pending. It is the engine with the least work in progress, by
    /// @p loadOf, among those without a pending move in the pool that is larger than wanted; the last decode engine of a software version only
    /// if there is no other.
    std::optional<phase_move> plan(instant now, const std::vector<const registration *> &engines, const std::map<std::string, double> &loadOf);

private:
    /// The pools as they will be after all pending moves.
    struct pool_view
    {
        std::size_t prefill = 0;
        std::size_t wanted = 0;
        std::vector<const registration *> movable; ///< Engines without a pending move.
    };

    explicit phase_planner(const phase_plan_settings &settings);
    pool_view viewOf(instant now, const std::vector<const registration *> &engines);
    /// Leaves those of @p movable that keep a decode engine of each software version, or bring one; all if none does. A stream goes on at its own
    /// version only.
    void preferByVersion(std::vector<const registration *> &movable, const std::vector<const registration *> &engines, engine_phase from) const;
    bool isDue(instant now, const pool_view &view, std::size_t engines) const;

    phase_plan_settings m_settings;
    bool m_seenPrefill = false;
    double m_prefillSeconds; ///< Mean engine time per request on a prefill engine.
    double m_decodeSeconds; ///< Mean engine time per request on a decode engine.
    std::optional<instant> m_mismatchSince;
    std::optional<instant> m_plannedLossAt;
    std::optional<instant> m_lastMove;
    struct pending_move
    {
        engine_phase to = engine_phase::Decode;
        instant since{};
    };
    std::map<std::string, pending_move> m_moving; ///< Engines that were ordered to move and may not report the new phase yet.
};

} // namespace heatherroute
