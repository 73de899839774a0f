#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/ownership.h"
#include "heatherroute/rate_limit_message.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Settings of a fleet_rate_limiter.
struct rate_limiter_settings
{
    /// Bounds of a limit. An upstream that takes nothing still gets a request now and then, since only an answer ends its limit.
    double minPerSecond = 0.25;
    double maxPerSecond = 1e6;
    double burstPermits = 2.0; ///< Unused permits that a coordinator keeps: a reservation and the request that follows it.
    duration burstTime =
        std::chrono::milliseconds(100); ///< Permits of this time are kept in addition, for limits at which permits are due more often than entries run.
    duration permitLifetime = std::chrono::milliseconds(300); ///< How long an entry may use a permit that its request did not need.
    duration minWait = std::chrono::milliseconds(20); ///< Minimum time between two permit requests of an entry for one upstream after a refusal.
    duration maxWait = std::chrono::seconds(1); ///< Maximum of that time, since a limit may end before the next permit is due.
    double requestsPerPermit = 4.0; ///< Permit requests that a coordinator expects per permit; it spreads the others.
    /// After a coordinator has taken over an upstream, the time until its first permit. The one before may still issue permits to entries
    /// that don't know of the change yet.
    duration takeoverDelay = std::chrono::seconds(1);
    duration maxReplyDelay = std::chrono::seconds(1); ///< How long after a request was given up its reply still counts.
    duration unreachableTime = std::chrono::milliseconds(500); ///< How long a coordinator that didn't reply isn't asked again.
    double unreachableShare = 0.3; ///< Fraction of a limit that all entries which can't reach the coordinator use together.
    duration ownPermitLifetime = std::chrono::seconds(2); ///< How long a permit of such an entry stays valid; longer than maxWait.
    duration lostRetention = std::chrono::minutes(5); ///< How long an entry that was lost without a planned stop keeps its share of the limits.
    duration reportInterval = std::chrono::milliseconds(400); ///< Between two reports of a changed limit.
    std::uint32_t reportsPerChange = 3;
    duration refreshInterval = std::chrono::seconds(10); ///< Between two reports of the coordinator about an unchanged limit.
    duration removedRetention = std::chrono::minutes(2); ///< How long the limit of an upstream is kept whose registration has ended.
    duration endedRetention = std::chrono::seconds(30); ///< How long an ended limit is remembered, so that late reports don't renew it.

    auto operator<=>(const rate_limiter_settings &) const = default;
};

/// How what is known about a limit has changed.
enum class limit_change : std::uint8_t {
    None,
    Begun,
    Changed,
    Ended,
};

/// Returns the name of the change in logs. Thread safe.
const char *toString(limit_change change) noexcept;

/// The outcome of a request for permits.
enum class permit_outcome : std::uint8_t {
    Granted,
    Refused, ///< No permit is available in time for this request.
    Ask, ///< The coordinator must be asked.
};

/// What to do for a request that needs permits.
struct permit_decision
{
    permit_outcome outcome = permit_outcome::Granted;
    std::string coordinator; ///< The peer address to which @c request must be sent, if the coordinator must be asked.
    permit_request request;

    auto operator<=>(const permit_decision &) const = default;
};

/// The result of a reply from a coordinator.
struct permit_result
{
    std::uint32_t number = 0; ///< Of the request.
    bool granted = false;

    auto operator<=>(const permit_result &) const = default;
};

/**
 * Keeps the limits that upstreams name on the requests which they take from all entries together.
 *
 * Load pattern: an upstream in need limits its requests to a few a second, or less than one, while hundreds of entries each see a fraction
 * of the demand and don't know of each other's requests. Equal shares would starve most entries, and bursts of many small shares would add
 * up, so for each limited upstream one entry, the coordinator, issues permits to all from one token bucket. The coordinator is chosen by
 * rendezvous hashing, without a message. Entries that it doesn't reply to use a bounded fraction of the limit at random times, so that
 * they don't act together. An entry that takes over as coordinator starts without permits and after a delay. Entries that were lost without
 * a planned stop keep their share, since the lost ones may be a part of the fleet with a coordinator of its own.
 *
 * A limit belongs to one instance of an upstream. Of two answers the one to the later request counts. Not thread safe. Instants must not
 * decrease.
 */
class fleet_rate_limiter
{
public:
    /// Creates a limiter for the entry @p self, which starts at @p now.
    static fleet_rate_limiter make(instant now, const rate_limiter_settings &settings, const std::string &self, std::uint64_t seed);

    const rate_limiter_settings &settings() const noexcept
    {
        return m_settings;
    }

    /// Records what the answer to a request that was sent at @p sentAt says about the limit of @p instance: requests a second, or none.
    limit_change noteAnswer(instant now, const upstream_instance &instance, instant sentAt, std::optional<double> perSecond);
    /// Records that @p instance is the current one of its id.
    void noteInstance(const upstream_instance &instance);
    /// Records that the registration of an upstream has ended. Its limit is kept for a while, since the same instance may come back.
    void noteRemoved(instant now, const std::string &id);
    /// Sets the other entries that are not dead.
    void setMembers(instant now, const std::vector<member> &others);
    /// Records that this entry stops, so that another one coordinates its upstreams.
    void stop();

    /// Decides on a request that needs @p permits at @p instance.
    permit_decision acquire(instant now, const upstream_instance &instance, std::uint32_t permits);
    /// Keeps permits that a request didn't need for the next request of this entry.
    void giveBack(instant now, const upstream_instance &instance, std::uint32_t permits);
    /// Decides on a request whose coordinator has not replied. Returns whether it may be sent.
    bool onNoReply(instant now, std::uint32_t number);
    /// Processes a reply. Empty when no request waits for it; permits in it are kept for the next request.
    std::optional<permit_result> onReply(instant now, const permit_reply &reply);
    /// Processes the request of another entry and returns the reply.
    permit_reply onRequest(instant now, const permit_request &request);
    /// Processes a report of another entry.
    limit_change onReport(instant now, const limit_report &report);

    /// Returns the limit of @p instance in requests a second; empty when it has none.
    std::optional<double> limitOf(const upstream_instance &instance) const;
    /// Returns the time until a permit of @p instance may be available; zero when there may be one now.
    duration waitFor(instant now, const upstream_instance &instance) const;
    /// Returns after which delay a caller that was refused by this entry should come back, for returns at the rate @p perSecond over all
    /// entries. Each call returns a later time. Precondition: the rate is positive.
    duration nextReturn(instant now, const std::string &service, double perSecond);

    /// Returns the reports to send to all other entries now.
    std::vector<limit_reports> dueReports(instant now);
    /// Returns the reports that an entry needs which has just started or was out of reach.
    std::vector<limit_reports> introduction(instant now) const;
    /// Returns the limit of an upstream for logs.
    std::string limitText(const std::string &id) const;
    /// Returns the name of the coordinator of an upstream with a limit, for logs; empty when there is none.
    std::string coordinatorOf(const std::string &id) const;

private:
    struct limited_upstream
    {
        upstream_instance instance;
        std::optional<double> perSecond; ///< Empty once the limit has ended.
        instant observedAt{}; ///< When the request was sent whose answer said so.
        std::optional<instant> removedAt; ///< When its registration ended, if it hasn't come back.
        // Reports to other entries.
        std::uint32_t reportsLeft = 0;
        instant nextReport{};
        // As a user of permits.
        instant refusedUntil{};
        std::uint32_t spare = 0; ///< Permits that were not needed.
        instant spareUntil{};
        instant nextOwnPermit{}; ///< While the coordinator can't be reached: when this entry may send a request without it.
        // As the coordinator.
        double tokens = 0.0;
        instant refilledAt{};
        instant issuesFrom{};
        instant nextSlot{}; ///< When the next entry that was refused should ask again.
    };
    struct pending_request
    {
        upstream_instance instance;
        std::uint32_t permits = 1;
        std::string coordinator; ///< Its name.
    };
    struct known_member
    {
        std::string peerAddress;
        member_state state = member_state::Alive;
    };

    fleet_rate_limiter(instant now, const rate_limiter_settings &settings, const std::string &self, std::uint64_t seed);
    limit_change apply(instant now, const upstream_instance &instance, instant observedAt, std::optional<double> perSecond);
    void remove(const std::string &id);
    const limited_upstream *findLimited(const upstream_instance &instance) const;
    limited_upstream *findLimited(const upstream_instance &instance);
    limit_report reportOf(instant now, const upstream_instance &instance) const;
    static limit_report reportOf(instant now, const limited_upstream &upstream);
    bool tryIssue(instant now, limited_upstream &upstream, std::uint32_t permits, duration *wait);
    bool tryUnreachable(instant now, limited_upstream &upstream, std::uint32_t permits);
    void refuse(instant now, limited_upstream &upstream, duration wait);
    duration drawOwnInterval(const limited_upstream &upstream, std::uint32_t permits);
    bool isCoordinator(const std::string &id) const;
    void onOwnerChanges(instant now, const std::vector<owner_change> &changes);
    std::size_t fleetSize() const;
    double ownShareOfFleet() const;
    std::vector<limit_reports> makeMessages(const std::vector<limit_report> &reports) const;

    rate_limiter_settings m_settings;
    member_id m_self;
    std::mt19937_64 m_random;
    instant m_startedAt;
    std::map<std::string, limited_upstream> m_upstreams; ///< By id; those that have, or lately had, a limit.
    ownership m_ownership;
    std::map<member_id, known_member> m_members;
    std::map<std::string, instant> m_lost; ///< Names of entries that were lost, and until when they count.
    std::map<std::string, instant> m_unreachableUntil; ///< By the name of a coordinator.
    std::map<std::uint32_t, pending_request> m_pending;
    std::map<std::uint32_t, instant> m_late; ///< Requests without a reply in time, by number, and when they were given up.
    std::uint32_t m_lastNumber = 0;
    std::map<std::string, instant> m_nextReturn; ///< By service.
};

} // namespace heatherroute
