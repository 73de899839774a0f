#include "relay/fleet_retry_budget.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// Fleet size assumed before others are known; a fleet of one is rare, and a restarted entry knows no other entry at first.
constexpr std::size_t kMinFleetSize = 8;
/// Fraction of the limit that is used, since the windows in which the platform counts retries don't match the token bucket.
constexpr double kUsedFraction = 0.75;
/// Fractions of the slack: the capacity of a bucket, and its refill within a window.
constexpr double kSlackCapacityFraction = 0.45;
constexpr double kSlackRefillFraction = 0.4;
/// Fraction of its slack with which an entry starts, so that two starts within a window stay within the slack.
constexpr double kInitialSlackFraction = 0.5;
constexpr double kMaxInitialRetries = 3.0; ///< For any fleet size, since an entry doesn't know it at its start.

} // namespace

fleet_retry_budget fleet_retry_budget::make(const retry_limit &limit)
{
    return fleet_retry_budget(limit);
}

fleet_retry_budget::fleet_retry_budget(const retry_limit &limit)
    : m_limit(limit)
    , m_fleetSize(kMinFleetSize)
{ }

void fleet_retry_budget::setFleetSize(instant now, std::size_t entries)
{
    if (entries <= m_fleetSize) {
        return;
    }
    m_fleetSize = entries;
    const retry_budget_settings settings = entrySettings();
    for (auto &[service, budget] : m_budgets) {
        budget.reconfigure(now, settings);
    }
}

retry_budget_settings fleet_retry_budget::entrySettings() const
{
    const double slack = kUsedFraction * m_limit.slack / static_cast<double>(m_fleetSize);
    retry_budget_settings settings;
    settings.share = kUsedFraction * m_limit.share;
    settings.minPerSecond = kSlackRefillFraction * slack / std::chrono::duration<double>(m_limit.window).count();
    settings.capacity = std::max(1.0, kSlackCapacityFraction * slack);
    settings.initial = std::min(kInitialSlackFraction * m_limit.slack / static_cast<double>(m_fleetSize), kMaxInitialRetries);
    return settings;
}

retry_budget &fleet_retry_budget::budgetOf(instant now, const std::string &service)
{
    const auto found = m_budgets.find(service);
    return found != m_budgets.end() ? found->second : m_budgets.emplace(service, retry_budget::make(now, entrySettings())).first->second;
}

void fleet_retry_budget::noteRequest(instant now, const std::string &service)
{
    budgetOf(now, service).noteRequest(now);
}

bool fleet_retry_budget::tryRetry(instant now, const std::string &service)
{
    return budgetOf(now, service).tryRetry(now);
}

} // namespace heatherroute
