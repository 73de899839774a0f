#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/key_digest.h"
#include "heatherroute/relay_request.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// What a quota counts.
enum class quota_unit : std::uint8_t {
    Requests,
    Tokens, ///< The prompt and the declared maximum output.
};

/// The rate at which all entries together may run the requests of a team.
struct team_quota
{
    double perSecond = 0.0; ///< In units; positive.
    double burst = 0.0; ///< Units that may be used at once after a time without requests.
    quota_unit unit = quota_unit::Requests;
    std::uint32_t plainCost = 1; ///< Tokens that a request without declared counts costs.

    auto operator<=>(const team_quota &) const = default;
};

/// How the use of a team is compared with its quota: in any window, over all entries, at most (rate x window + burst) x (1 + over) + slack.
struct quota_rule
{
    duration window = std::chrono::seconds(8);
    double over = 0.0;
    double slack = 0.0; ///< In units.

    auto operator<=>(const quota_rule &) const = default;
};

/// Returns the units that a request costs. Thread safe.
inline std::uint32_t costOf(const team_quota &quota, const std::optional<prompt_facts> &prompt)
{
    if (quota.unit == quota_unit::Requests) {
        return 1;
    }
    return prompt ? prompt->promptTokens + prompt->maxOutputTokens : quota.plainCost;
}

/**
 * A team whose callers identify themselves by API keys.
 *
 * Immutable value; safe to share between threads.
 */
struct team
{
    std::string name;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> priority; ///< Replaces the priority of the route; 0 is served first.
    std::optional<team_quota> quota; ///< Empty without a limit.

    auto operator<=>(const team &) const = default;
};

/// Whether a request fits the quota of its team.
enum class quota_outcome : std::uint8_t {
    Granted,
    Exceeded,
    Unknown, ///< No entry that could decide has replied.
};

/// The decision on charging one request to the quota of its team.
struct quota_verdict
{
    quota_outcome outcome = quota_outcome::Granted;
    duration wait{}; ///< If not granted: after which the caller should retry.
    std::uint32_t number = 0; ///< Of the charge, for its refund.

    auto operator<=>(const quota_verdict &) const = default;
};

} // namespace heatherroute
