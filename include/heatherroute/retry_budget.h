#pragma once

#include <compare>

#include "heatherroute/time.h"

namespace heatherroute
{

/// How many retries a pool may get.
struct retry_budget_settings
{
    double share = 0.1; ///< Retries per request.
    double floorPerSecond = 1.0; ///< Retries that a quiet pool may get all the same.
    double capacity = 20.0; ///< The largest number saved up.
    double atStart = 20.0; ///< Saved up at the start; more than the capacity counts as the capacity.

    auto operator<=>(const retry_budget_settings &) const = default;
};

/**
 * Limits retries to a share of the requests of a pool.
 *
 * When a pool is sick each of its requests fails and asks for a retry; without a limit the retries keep it sick. A token
 * bucket filled by first attempts (as in Finagle's RetryBudget) bounds the extra load whatever the cause. Not thread safe.
 */
class retry_budget
{
public:
    /// Starts at @p now.
    static retry_budget make(instant now, const retry_budget_settings &settings);

    /// A first attempt was sent.
    void noteRequest(instant now);
    /// Goes on with @p settings; what is saved up beyond their capacity is lost.
    void change(instant now, const retry_budget_settings &settings);
    /// Takes one retry; false when none is left, and then the failure goes to the caller.
    bool tryRetry(instant now);
    /// Retries left.
    double left() const noexcept;

private:
    retry_budget(instant now, const retry_budget_settings &settings);
    void refill(instant now);

    retry_budget_settings m_settings;
    instant m_filledAt;
    double m_tokens;
};

} // namespace heatherroute
