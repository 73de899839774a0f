#pragma once

#include <compare>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Limits of a retry_budget.
struct retry_budget_settings
{
    double share = 0.1; ///< Retries allowed per request.
    double minPerSecond = 1.0; ///< Retries added per second, even without requests.
    double capacity = 20.0; ///< Maximum number of unused retries.
    double initial = 20.0; ///< Retries available at the start; capped at the capacity.

    auto operator<=>(const retry_budget_settings &) const = default;
};

/**
 * Limits the retries in a pool to a fraction of its requests.
 *
 * When a pool fails, each of its requests fails and causes a retry; without a limit, the retries keep the pool overloaded.
 * A token bucket that is filled by first attempts (as in Finagle's RetryBudget) bounds the extra load whatever the cause.
 * Not thread safe.
 */
class retry_budget
{
public:
    /// Creates a budget that starts with its initial retries at @p now.
    static retry_budget make(instant now, const retry_budget_settings &settings);

    /// Records that a first attempt was sent.
    void noteRequest(instant now);
    /// Replaces the settings; unused retries beyond the new capacity are dropped.
    void reconfigure(instant now, const retry_budget_settings &settings);
    /// Consumes one retry. Returns false when none is left; the failure must then be returned to the caller.
    bool tryRetry(instant now);
    /// Retries available as of the last call.
    double remaining() const noexcept;

private:
    retry_budget(instant now, const retry_budget_settings &settings);
    void refill(instant now);

    retry_budget_settings m_settings;
    instant m_refilledAt;
    double m_tokens;
};

} // namespace heatherroute
