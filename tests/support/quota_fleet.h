#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "relay/team_quota_ledger.h"

namespace heatherroute
{

/// A team of a quota_fleet and its demand.
struct fleet_team
{
    std::string name;
    team_quota quota;
    std::uint32_t cost = 1; ///< Of a request.
    double usual = 0.0; ///< Units a second that its callers ask for.
    double factor = 1.0; ///< Of the usual, at this time.
};

/// A request whose outcome is known.
struct fleet_outcome
{
    std::int64_t atMs = 0; ///< When the verdict was known.
    std::size_t team = 0;
    std::uint32_t cost = 0;
    quota_outcome outcome = quota_outcome::Granted;
    bool hasRun = false;
};

/// Entries that charge requests to quotas and exchange messages over a simulated network, while they are killed, suspended and partitioned.
/// Time advances in milliseconds; timeouts are those of team_quotas.
class quota_fleet
{
public:
    quota_fleet(std::size_t entries, const quota_rule &rule, std::vector<fleet_team> teams, std::uint64_t seed);

    int lostPerCent = 0;
    int repeatedPerCent = 0;
    int maxExtraDelayMs = 0;
    int notRunPerCent = 0; ///< Granted requests that don't run and are refunded within 3 s.
    bool startsKnown = false; ///< The entries know each other when they start.

    /// Starts all entries. Must be called once, after the settings.
    void start();
    void runUntil(std::int64_t atMs);

    /// Ends the entry; another process starts in its place after @p downMs.
    void kill(std::size_t entry, std::int64_t downMs);
    void suspend(std::size_t entry, std::int64_t forMs);
    /// Puts an entry into a part of the fleet; entries of different parts don't reach each other.
    void setPart(std::size_t entry, int part);
    void setFactor(std::size_t team, double factor);
    /// Sets the quota that entries learn over the next 500 ms, as a newer configuration.
    void changeQuota(std::size_t team, const team_quota &quota);
    /// Returns the first entry in the order of a team.
    std::size_t coordinatorOf(std::size_t team) const;

    std::size_t size() const
    {
        return m_entries.size();
    }
    const std::vector<fleet_team> &teams() const
    {
        return m_teams;
    }
    const std::vector<fleet_outcome> &outcomes() const
    {
        return m_outcomes;
    }
    /// Returns the units that ran, from @p fromMs to @p toMs.
    double unitsRun(std::size_t team, std::int64_t fromMs, std::int64_t toMs) const;
    /// Returns by how much the worst window from @p fromMs on exceeds what the rule allows under @p quota; negative if none does.
    double worstExcess(std::size_t team, const team_quota &quota, std::int64_t fromMs = 0) const;

private:
    struct waiting_request
    {
        std::size_t team = 0;
        std::uint64_t round = 0;
        quota_step step;
    };
    struct entry
    {
        std::optional<team_quota_ledger> ledger;
        bool isUp = false;
        std::uint64_t starts = 0;
        std::int64_t startedAt = 0;
        std::int64_t suspendedUntil = 0;
        int part = 0;
        std::map<std::uint32_t, waiting_request> waiting;
        std::vector<std::uint64_t> known; ///< Starts of the entries that this one believes to be up; 0 for others.
        std::vector<std::int64_t> differsSince;
    };
    enum class event_kind { Advance, Deliver, Repeat, Timeout, Refund, Request, Start };
    struct event
    {
        std::int64_t atMs = 0;
        std::uint64_t order = 0;
        event_kind kind = event_kind::Advance;
        std::size_t entry = 0;
        std::uint64_t starts = 0; ///< Of the entry, so that a restarted one doesn't get it.
        std::size_t other = 0; ///< The sender of a message.
        std::size_t team = 0;
        std::uint32_t number = 0;
        std::uint64_t round = 0;
        std::shared_ptr<const team_quota_message> body; ///< Of a delivered message.

        bool operator>(const event &right) const
        {
            return std::pair(atMs, order) > std::pair(right.atMs, right.order);
        }
    };

    std::int64_t below(std::int64_t limit);
    instant now() const;
    static std::string nameOf(std::size_t entry);
    static std::string addressOf(std::size_t entry);
    std::size_t indexOf(const std::string &address) const;
    bool mayReach(std::size_t from, std::size_t to) const;
    void push(event one);
    void startEntry(std::size_t index);
    void handle(event &one);
    void advanceEntry(std::size_t index);
    void updateView(std::size_t index);
    void post(std::size_t from, const std::string &address, const team_quota_message &body);
    void deliver(const event &one);
    void request(std::size_t team);
    void scheduleRequest(std::size_t team);
    void onStep(std::size_t index, std::size_t team, quota_step step);
    void finish(std::size_t index, std::size_t team, const quota_verdict &verdict);

    std::mt19937_64 m_random;
    quota_rule m_rule;
    std::vector<fleet_team> m_teams;
    struct known_quota
    {
        std::int64_t fromMs = 0;
        std::uint64_t version = 1;
        team_quota quota;
    };
    std::vector<std::vector<known_quota>> m_quotas; ///< By team.
    std::vector<entry> m_entries;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_rounds = 0;
    std::int64_t m_nowMs = 0;
    std::vector<fleet_outcome> m_outcomes;
};

} // namespace heatherroute
