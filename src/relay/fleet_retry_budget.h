#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "heatherroute/retry_budget.h"

namespace heatherroute
{

/// The limit on retries that all entries of a fleet keep together.
struct retry_limit
{
    double share = 0.2; ///< Retries per request of a service, within a window.
    double slack = 0.0; ///< Additional retries within a window, for the whole fleet.
    duration window = std::chrono::seconds(10);

    auto operator<=>(const retry_limit &) const = default;
};

/**
 * This entry's fraction of the fleet's retry budget, per service.
 *
 * Load pattern: a service fails for all entries at once and each entry wants to retry. Each entry gets retries for its own
 * requests and an equal fraction of the slack. The fraction follows from the largest fleet that the entry has seen, so that
 * entries which lose contact with each other don't exceed the limit together. An entry starts with less, since the retries
 * before its restart may still count. Not thread safe. Instants must not decrease.
 */
class fleet_retry_budget
{
public:
    static fleet_retry_budget make(const retry_limit &limit);

    /// Sets the number of entries in the fleet, including this one. A smaller number than before is ignored.
    void setFleetSize(instant now, std::size_t entries);
    /// Records a caller's request for @p service.
    void noteRequest(instant now, const std::string &service);
    /// Consumes one retry for @p service. Returns false when none is left.
    bool tryRetry(instant now, const std::string &service);

private:
    explicit fleet_retry_budget(const retry_limit &limit);
    retry_budget_settings entrySettings() const;
    retry_budget &budgetOf(instant now, const std::string &service);

    retry_limit m_limit;
    std::size_t m_fleetSize = 1;
    std::map<std::string, retry_budget> m_budgets;
};

} // namespace heatherroute
