#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "heatherroute/inventory.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// A request at the door.
struct admission_request
{
    std::uint64_t id = 0; ///< Unique among the requests that wait or run here.
    std::string team;
    priority_class priority = priority_class::Interactive;
    double cost = 1.0; ///< Share of work, such as tokens; positive.

    auto operator<=>(const admission_request &) const = default;
};

/// Bounds of one lane: a model, or a plain service.
struct admission_limits
{
    std::uint32_t running = 64;
    std::uint32_t interactiveRunning = 4; ///< Of these, places that batch work may not take.
    std::uint32_t queuedPerClass = 64;
    duration longestWaitInteractive = std::chrono::milliseconds(300); ///< A request that waits longer can't meet its target.
    duration longestWaitBatch = std::chrono::seconds(10);

    auto operator<=>(const admission_limits &) const = default;
};

/// Why a request was turned away; it was not run.
enum class admission_failure : std::uint8_t {
    QueueFull,
    TeamLimit, ///< The team's queue is the longest, and no room is left.
    WaitedTooLong,
};

/// The name used in answers, logs and metrics. Thread safe.
std::string_view toString(admission_failure value) noexcept;

/// A request that was turned away, at arrival or from the queue.
struct admission_refused
{
    std::uint64_t id = 0;
    admission_failure why = admission_failure::QueueFull;
    duration retryAfter{};

    auto operator<=>(const admission_refused &) const = default;
};

/// What to do after a call: start some requests, refuse some.
struct admission_result
{
    std::vector<std::uint64_t> admitted; ///< In the order to start them.
    std::vector<admission_refused> refused;

    auto operator<=>(const admission_result &) const = default;
};

/**
 * Decides which request starts next, in one lane of an entry.
 *
 * Interactive requests go before batch requests always, so a status check never waits behind a report. Within a class, teams
 * share by weight through start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): a burst of one team delays only
 * that team. Queues are bounded; when one is full, an arrival displaces the newest request of the team with the longest
 * queue for its weight (buffer stealing: McKenney, "Stochastic fairness queueing", 1990), unless that is its own team.
 *
 * A plain service gets a lane of its own, so that its limits and queues are apart from those of models. Not thread safe.
 */
class admission_lane
{
public:
    static admission_lane make(const admission_limits &limits);

    /// Replaces the limits; requests beyond smaller ones go on. Follow with next().
    void setLimits(const admission_limits &limits);
    /// Sets a team's share; teams without a rule have weight 1 and no limit. Requests already queued keep their places.
    void setTeam(const team_rule &rule);
    /// The rule of the team was withdrawn.
    void dropTeam(const std::string &team);

    /// Takes in a request. Precondition: its id neither waits nor runs here.
    admission_result submit(instant now, const admission_request &request);
    /// An admitted request has ended, or a waiting one lost its caller. Idempotent.
    admission_result finish(instant now, std::uint64_t id);
    /// Admits what may start now and refuses what waited too long.
    admission_result next(instant now);

    std::uint32_t running() const noexcept;
    std::uint32_t queued(priority_class priority) const noexcept;

private:
    struct waiting
    {
        std::uint64_t id = 0;
        double start = 0.0; ///< Virtual start time.
        std::uint64_t order = 0;
        instant arrived;
    };
    struct head
    {
        double start = 0.0;
        std::uint64_t order = 0;
        std::string team;

        auto operator<=>(const head &) const = default;
    };
    struct team_queue
    {
        std::deque<waiting> requests;
        double lastFinish = 0.0;
    };
    struct class_queue
    {
        std::map<std::string, team_queue> teams; ///< Only teams that wait or whose last finish lies ahead.
        std::set<head> heads; ///< The oldest request of each team that waits.
        double virtualTime = 0.0;
        std::uint32_t size = 0;
    };
    struct place
    {
        std::string team;
        priority_class priority = priority_class::Interactive;
        bool running = false;
    };

    explicit admission_lane(const admission_limits &limits);

    class_queue &queueOf(priority_class priority);
    double weightOf(const std::string &team) const;
    bool teamMayRun(const std::string &team) const;
    bool classMayRun(priority_class priority) const;
    bool makeRoom(const admission_request &request, admission_result &result);
    void enqueue(instant now, const admission_request &request);
    void removeWaiting(std::uint64_t id);
    void refreshHead(class_queue &queue, const std::string &team, team_queue &waitingTeam);
    bool admitOne(priority_class priority, admission_result &result);
    void expire(instant now, priority_class priority, admission_result &result);
    duration estimateWait(priority_class priority) const;
    void check() const;

    admission_limits m_limits;
    std::array<class_queue, 2> m_queues;
    std::map<std::string, team_rule> m_rules;
    std::map<std::string, std::uint32_t> m_runningByTeam;
    std::unordered_map<std::uint64_t, place> m_places;
    std::uint64_t m_order = 0;
    std::uint32_t m_running = 0;
    std::optional<instant> m_lastEnd;
    double m_secondsPerEnd = 0.05; ///< Average time between two ends.
};

} // namespace heatherroute
