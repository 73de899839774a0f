#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/engine_placement_message.h"
#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "heatherroute/registration.h"
#include "relay/coordinator_choice.h"
#include "relay/engine_placement_ledger.h"

namespace heatherroute::node
{

/// Dependencies of an engine_placements.
struct engine_placements_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    /// Sends a message to the entry with the peer address.
    std::function<void(engine_placement_message message, std::string peerAddress)> send;
    /// Returns the engines of a pool that may get placements.
    std::function<std::vector<placement_engine>(const std::string &service, engine_phase phase)> enginesOf;
    std::function<void(const std::string &outcome)> count; ///< Counts a request for a placement by its outcome.
    std::function<void(std::uint32_t priority, std::size_t waiting)> showWaiting; ///< Number of requests that wait at this coordinator.
    std::function<void(const std::string &pool, double share)> showBusiest; ///< Share of its capacity in use at the busiest engine.
};

/// How a request for a placement ended.
enum class placement_outcome : std::uint8_t {
    Assigned,
    NoRoom, ///< No engine has room in time.
    NoCoordinator, ///< The entry chooses by itself.
};

/// The answer to a request for a placement.
struct placement_answer
{
    placement_outcome outcome = placement_outcome::NoCoordinator;
    std::uint64_t number = 0; ///< Identifies an assigned placement, for end().
    std::string engine; ///< Id of the assigned engine.
    std::chrono::milliseconds wait{}; ///< Without room: the time after which room is expected.
};

/**
 * Obtains engines for this entry's requests from the coordinators of the pools, and coordinates pools for other entries.
 *
 * Without enough entries alive it does and sends nothing. Belongs to the relay's thread and must outlive the coroutines on its
 * executor.
 */
class engine_placements
{
public:
    /// @p minEntries: the number of entries alive from which engines are assigned by coordinators; 0 for never.
    engine_placements(
        boost::asio::any_io_executor executor, engine_placements_hooks hooks, const std::string &entryName, std::uint32_t minEntries, std::uint64_t seed);

    /// Whether enough entries are alive to ask coordinators.
    bool isActive() const noexcept;
    /// Asks the coordinator of the pool for an engine; the number of @p request is set here. Waits for at most request.maxWaitMs and the
    /// time of a reply. An assigned placement must be ended by end().
    boost::asio::awaitable<placement_answer> place(engine_placement_request request);
    /// Records a placement that this entry has chosen by itself, so that the coordinator learns of it. Returns its number for end(), 0 if
    /// none is needed.
    std::uint64_t adopt(const std::string &service, engine_phase phase, const std::string &engine, std::uint32_t tokens);
    /// Records that a placement has ended. Unknown numbers are ignored.
    void end(std::uint64_t number);

    void setMembers(const std::vector<member> &others);
    /// Processes a message of the entry with the peer address @p from.
    void onMessage(const std::string &from, const engine_placement_message &message);
    /// Sends the reports that are due and updates the metrics. To be called regularly.
    void advance();
    /// Lets other entries coordinate, since this one stops.
    void stop();

private:
    /// A request of this entry that waits for a reply.
    struct waiting_request
    {
        boost::asio::steady_timer *timer = nullptr;
        std::optional<placement_reply> reply;
        bool queued = false;
    };
    /// A placement of this entry.
    struct own_placement
    {
        upstream_pool pool;
        std::string engine;
        std::uint32_t tokens = 0;
    };

    coordinator coordinatorOf(const upstream_pool &pool) const;
    engine_placement_ledger &ledgerOf(const upstream_pool &pool);
    void ask(const coordinator &to, const engine_placement_request &message);
    void report(const upstream_pool &pool, placement_report message);
    void onReply(const placement_reply &reply);
    void carryOut(const upstream_pool &pool, const std::vector<placement_decision> &decisions);
    void logDecision(const upstream_pool &pool, const placement_decision &decision);
    void noteEnded(const upstream_pool &pool, std::uint64_t number);
    placement_answer answerOf(const engine_placement_request &request, const std::optional<placement_reply> &reply);
    void reportCurrent();
    void reportEnded(const upstream_pool &pool, const std::vector<std::uint64_t> &numbers);
    boost::asio::awaitable<void> flushEnded();
    boost::asio::awaitable<void> serveWaiting();
    bool hasWaiting() const;
    void startServing();

    boost::asio::any_io_executor m_executor;
    engine_placements_hooks m_hooks;
    std::uint32_t m_minEntries;
    coordinator_choice m_choice;
    std::size_t m_alive = 1; ///< Number of entries alive, this one included.
    std::uint64_t m_seed;
    std::uint64_t m_nextNumber;
    bool m_isStopping = false;
    std::map<upstream_pool, engine_placement_ledger> m_ledgers; ///< Of the pools that this entry coordinates, or did.
    std::map<std::uint64_t, waiting_request> m_waiting; ///< By number.
    std::map<std::uint64_t, own_placement> m_own; ///< By number.
    std::map<upstream_pool, std::vector<std::uint64_t>> m_ended; ///< Not yet reported.
    /// Reported once. They are reported again with the current placements, since an end that is lost keeps an engine's memory in use for seconds.
    std::map<upstream_pool, std::vector<std::uint64_t>> m_endedBefore;
    std::map<std::string, instant> m_silentUntil; ///< Coordinators that did not reply, by name.
    bool m_isFlushing = false;
    bool m_isServing = false;
    instant m_reportedAt{};
    instant m_logSecond{};
    std::size_t m_logged = 0; ///< Lines in the current second.
    std::size_t m_notLogged = 0; ///< Since the last line.
};

} // namespace heatherroute::node
