#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "heatherroute/team.h"
#include "heatherroute/team_quota_message.h"
#include "relay/team_quota_ledger.h"

namespace heatherroute::node
{

/// Dependencies of a team_quotas.
struct team_quotas_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    std::function<void(const team_quota_message &message, std::string peerAddress)> send; ///< Sends a message to the entry with the peer address.
    std::function<void(const std::string &team, const std::string &outcome)> count; ///< Counts a charged request.
};

/**
 * Charges requests to the quotas of their teams, at this entry or at the coordinator of the team, and answers the other entries as a coordinator.
 *
 * Teams without a quota cost nothing here. Belongs to the relay's thread and must outlive the coroutines on its executor.
 */
class team_quotas
{
public:
    /// @p incarnation: of this process.
    team_quotas(boost::asio::any_io_executor executor, team_quotas_hooks hooks, std::string entryName, std::uint64_t incarnation);

    /// Sets how the use of teams is judged. Precondition: nothing was charged or received yet.
    void setRule(const quota_rule &rule);

    /// Charges @p cost to the quota of @p charged, as the configuration with @p configVersion has it. Waits for the coordinator's reply for a short
    /// time. A team without a quota is granted at once. @p charged needn't outlive the call.
    boost::asio::awaitable<quota_verdict> charge(const team &charged, std::uint32_t cost, std::uint64_t configVersion);
    /// Returns what was charged for a request that didn't run. @p number: of its verdict; 0 if nothing was charged.
    void refund(const team &charged, std::uint32_t cost, std::uint32_t number);

    void setMembers(const std::vector<member> &others);
    /// Sets how many entries the store has recorded, this one included.
    void setRecordedEntries(std::size_t count);
    /// Processes a message of the entry with the peer address @p from.
    void onMessage(const std::string &from, const team_quota_message &message);
    /// To be called about every 100 ms, also while nothing is charged.
    void advance();
    /// Hands the teams that this entry coordinates to others, since it stops.
    void stop();

private:
    /// A request that waits for the coordinator's reply.
    struct waiting_request
    {
        boost::asio::steady_timer *timer = nullptr;
        std::optional<quota_verdict> verdict;
    };

    boost::asio::awaitable<quota_verdict> chargeTeam(std::string name, team_quota quota, std::uint32_t cost, std::uint64_t configVersion);
    static boost::asio::awaitable<quota_verdict> grant();
    std::string countedName(const std::string &name);
    void note(const std::string &name, const team_quota &quota, std::uint32_t cost, const std::string &coordinator, const quota_verdict &verdict);

    boost::asio::any_io_executor m_executor;
    team_quotas_hooks m_hooks;
    std::string m_entryName;
    std::uint32_t m_firstNumber;
    team_quota_ledger m_ledger;
    std::map<std::uint32_t, waiting_request> m_waiting; ///< By number.
    std::set<std::string> m_countedTeams; ///< Teams that have counters of their own.
};

} // namespace heatherroute::node
