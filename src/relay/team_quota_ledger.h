#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/team.h"
#include "heatherroute/team_quota_message.h"
#include "heatherroute/time.h"
#include "relay/coordinator_choice.h"

namespace heatherroute
{

/// Settings of a team_quota_ledger.
struct team_quota_settings
{
    quota_rule rule;
    /// From the start of this process, or from its resumption, until it coordinates. Longer than joinDelay and the time that the others need to
    /// notice it, so that the entry that coordinated until then has stopped.
    duration startDelay = std::chrono::seconds(2);
    duration joinDelay = std::chrono::seconds(1); ///< How long another entry must be known until it is asked.
    duration takeoverDelay = std::chrono::seconds(1); ///< After the loss of a coordinator, its successor grants at the rate of the reserve for this time.
    duration maxRefill = std::chrono::milliseconds(250); ///< Longest time for which a bucket is refilled when the ledger wasn't called.
    duration resumedAfter = std::chrono::seconds(1); ///< Without a call for this time, other entries may have taken over; less than the membership needs.
    duration unreachableTime = std::chrono::milliseconds(500); ///< How long a coordinator that didn't reply isn't asked again.
    duration maxReplyTime = std::chrono::seconds(1); ///< A later reply was in a buffer while this process was suspended.
    duration retention = std::chrono::seconds(10); ///< How long a request may be repeated or refunded; longer than a request waits for an engine.
    duration lostRetention = std::chrono::minutes(5); ///< How long an entry that was lost without a planned stop keeps its share of the rates.
    duration maxQueue = std::chrono::seconds(4); ///< Over which the returns of refused callers are spread.
    duration unknownWait = std::chrono::milliseconds(500); ///< After which a caller should retry when no coordinator replied.
    double reserveOfRate = 0.3; ///< Maximum rate of the second entry's bucket, as a fraction of the rate.
    std::size_t maxTeams = 1'024;
    std::size_t maxNumbers = 65'536; ///< Requests that are remembered for repetitions and refunds.

    auto operator<=>(const team_quota_settings &) const = default;
};

/// What to do for a request that is charged to a quota.
struct quota_step
{
    std::optional<quota_verdict> verdict; ///< Empty if a coordinator must be asked.
    std::string coordinator; ///< The name of the entry that decided or must be asked; empty if there is none.
    std::string peerAddress; ///< Where @c request must be sent.
    quota_request request;

    auto operator<=>(const quota_step &) const = default;
};

/// A refund to send to another entry.
struct addressed_refund
{
    std::string peerAddress;
    quota_refund refund;

    auto operator<=>(const addressed_refund &) const = default;
};

/**
 * Keeps the quotas of teams over all entries: decides which entry is asked for a request, and decides as the coordinator.
 *
 * Load pattern: a few callers of a team send requests through hundreds of entries, each of which sees a fraction of a small team's request a
 * second, and one team asks for many times its quota. For each team, one entry, the coordinator, has a token bucket that all others ask once
 * per request. The second entry in the order grants from a small reserve while it believes the first to be alive, so that the loss of a
 * coordinator stops nobody. Buckets of new coordinators start empty, and a coordinator that wasn't run for a while neither refills for that
 * time nor grants until the others know that it is back. Entries that were lost without a planned stop keep their share of the rates, since
 * they may be a part of the fleet that has coordinators of its own.
 *
 * Separate from fleet_rate_limiter, whose limits come from the answers of upstreams, may be exceeded for the sake of an answer, and are
 * counted in interchangeable calls: a quota comes from the configuration, is counted in units of which each request has its own number,
 * is refunded, and must hold in each window.
 *
 * Not thread safe. Instants are those of a clock that runs on while the VM is suspended, and must not decrease.
 */
class team_quota_ledger
{
public:
    /// Creates the ledger of the entry @p self, which starts at @p now. @p firstNumber: before the number of the first request; random, so that a
    /// restarted entry doesn't repeat the numbers of its predecessor.
    static team_quota_ledger make(instant now, const team_quota_settings &settings, const std::string &self, std::uint32_t firstNumber);

    /// Charges @p cost to the quota of the team @p name, as the configuration with @p version has it. The verdict is present if no entry must be
    /// asked.
    quota_step charge(instant now, const std::string &name, const team_quota &quota, std::uint32_t cost, std::uint64_t version);
    /// Returns what to do for a request whose coordinator didn't reply. Precondition: the request with @p number waits for a reply.
    quota_step onNoReply(instant now, std::uint32_t number);
    /// Processes a reply of the entry with the peer address @p from. Empty if no request waits for it.
    std::optional<quota_verdict> onReply(instant now, const std::string &from, const quota_reply &reply);
    /// Returns what was charged for the request with @p number, which didn't run. The result must be sent, if there is one.
    std::optional<addressed_refund> refund(instant now, const std::string &name, std::uint32_t cost, std::uint32_t number);

    /// Processes the request of the entry with the peer address @p from. Empty if this entry doesn't coordinate the team; it then doesn't reply.
    std::optional<quota_reply> onRequest(instant now, const std::string &from, const quota_request &request);
    /// Processes a refund of the entry with the peer address @p from.
    void onRefund(instant now, const std::string &from, const quota_refund &refund);

    /// Sets the other entries that are not dead.
    void setMembers(instant now, const std::vector<member> &others);
    /// Sets how many entries the store has recorded, this one included. For a time after the start, those that this entry doesn't know keep
    /// their share.
    void setRecordedEntries(instant now, std::size_t count);
    /// Records that this entry stops, so that others coordinate its teams.
    void stop(instant now);
    /// To be called about every 100 ms: a longer time without a call shows that the process was suspended.
    void advance(instant now);

    /// Returns the name of the entry that coordinates the team; empty if there is none.
    std::string coordinatorOf(const std::string &name) const;
    /// Returns the number of requests that wait for replies or are remembered.
    std::size_t numbersKept() const noexcept
    {
        return m_pending.size() + m_charged.size() + m_grantedBy.size();
    }

private:
    enum class quota_role : std::uint8_t { None, Second, First };

    struct team_bucket
    {
        std::uint64_t version = 0;
        double perSecond = 0.0;
        double burst = 0.0;
        std::vector<coordinator> order; ///< The first two.
        quota_role role = quota_role::None;
        double tokens = 0.0;
        instant refilledAt{}; ///< As m_active.
        instant fullAt = instant::min(); ///< When it was last full, as m_active.
        instant reservedUntil{}; ///< Until then, the first entry grants at the rate of the reserve; as m_active.
        std::uint64_t epoch = 0; ///< Changes when the tokens are dropped, so that earlier charges aren't refunded.
        instant nextReturn{};
        instant usedAt{};
    };
    struct charged_request
    {
        instant at{};
        std::string team;
        std::uint32_t cost = 0;
        quota_reply reply;
        bool isRefunded = false;
        instant chargedAt{}; ///< As m_active.
        std::uint64_t epoch = 0;
    };
    struct pending_request
    {
        std::string team;
        std::uint32_t cost = 0;
        std::size_t rank = 0; ///< In the order, of the entry that was asked.
        coordinator asked;
        instant askedAt{};
    };
    struct known_member
    {
        member_state state = member_state::Alive;
        instant eligibleAt{};
    };
    using sender_number = std::pair<std::string, std::uint32_t>;

    team_quota_ledger(instant now, const team_quota_settings &settings, const std::string &self, std::uint32_t firstNumber);

    void observe(instant now);
    void updateOrders(instant now, bool afterLoss);
    void placeTeam(const std::string &name, team_bucket &bucket) const;
    void updateShare(instant now);
    void settleAll();
    void settle(team_bucket &bucket) const;
    double headroom(const team_bucket &bucket) const;
    double reserveRate(const team_bucket &bucket) const;
    double rateAt(const team_bucket &bucket, instant active) const;
    double capacity(const team_bucket &bucket) const;
    bool isPartitioned() const;
    team_bucket &bucketOf(instant now, const std::string &name, std::uint64_t version, double perSecond, double burst);
    quota_step choose(instant now, const std::string &name, std::uint32_t cost, std::uint32_t number, std::size_t rank);
    quota_reply decide(instant now, const std::string &from, const std::string &name, std::uint32_t cost, std::uint32_t number);
    duration waitFor(instant now, team_bucket &bucket, std::uint32_t cost) const;
    void keepCharged(instant now, const sender_number &number, charged_request request);
    void keepGranted(instant now, std::uint32_t number, std::string peerAddress);

    team_quota_settings m_settings;
    std::string m_self;
    coordinator_choice m_choice;
    bool m_isStopping = false;
    instant m_seenAt; ///< The last call.
    instant m_active{}; ///< A clock that stands still while this process doesn't run.
    instant m_selfEligibleAt;
    instant m_startedAt;
    instant m_nextChangeAt; ///< When the next entry becomes eligible.
    instant m_orderedAt{}; ///< When the orders last changed, as m_active.
    instant m_orderedReservedUntil{}; ///< Of teams that become known after the loss of a coordinator, as m_active.
    instant m_evictedAt{}; ///< When the bucket of a team was last dropped for another one, as m_active.
    std::map<member_id, known_member> m_members;
    std::vector<member> m_others;
    std::map<std::string, instant> m_lost; ///< Names of entries that were lost, and until when they count.
    double m_share = 1.0; ///< Fraction of the rates that this part of the fleet may use.
    double m_wantedShare = 1.0; ///< As the members are now.
    std::size_t m_recorded = 0; ///< Number of entries that the store had recorded.
    std::optional<instant> m_shareRisesAt;
    double m_nextShare = 1.0; ///< The least share since the rise began.
    std::set<std::string> m_eligible; ///< Names of the entries that may be asked.
    std::map<std::string, team_bucket> m_teams;
    std::map<std::string, instant> m_unreachableUntil; ///< By the name of a coordinator.
    std::uint32_t m_lastNumber = 0;
    std::map<std::uint32_t, pending_request> m_pending;
    std::map<sender_number, charged_request> m_charged;
    std::deque<std::pair<instant, sender_number>> m_chargedInOrder;
    std::map<std::uint32_t, std::string> m_grantedBy; ///< Peer addresses of coordinators, by the number of the request.
    std::deque<std::pair<instant, std::uint32_t>> m_grantedInOrder;
};

} // namespace heatherroute
