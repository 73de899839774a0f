#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "heatherroute/retry_budget.h"

namespace heatherroute
{

/// The limit on repeats that all entries of a fleet keep together.
struct retry_limit
{
    double share = 0.2; ///< Repeats per request of a service, within a window.
    double slack = 0.0; ///< Repeats allowed beside that, within a window, for the whole fleet.
    duration window = std::chrono::seconds(10);

    auto operator<=>(const retry_limit &) const = default;
};

/**
 * This entry's part of the fleet's retry budget, per service.
 *
 * Load pattern: a service fails for all entries at once and each wants to repeat. Each entry takes the share of its own
 * requests and an equal part of the slack, counted by the largest fleet it has seen, so that entries which lose sight of
 * each other don't add up to more than the limit. A started entry has less, as the repeats of its last life may still
 * count. Not thread safe. Instants must not decrease.
 */
class retry_pool
{
public:
    static retry_pool make(const retry_limit &limit);

    /// The fleet has @p entries entries, this one included.
    void setFleet(instant now, std::size_t entries);
    /// A request for @p service has come from a caller.
    void noteRequest(instant now, const std::string &service);
    /// Takes one repeat at @p service; false when none is left.
    bool tryRepeat(instant now, const std::string &service);

private:
    explicit retry_pool(const retry_limit &limit);
    retry_budget_settings settingsOfEntry() const;
    retry_budget &budgetOf(instant now, const std::string &service);

    retry_limit m_limit;
    std::size_t m_entries = 1;
    std::map<std::string, retry_budget> m_budgets;
};

} // namespace heatherroute
