#include "relay/retry_pool.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// Entries assumed before others are known; a fleet of one is rare and a restarted entry knows nobody at first.
constexpr std::size_t kFewestEntries = 8;
/// Part of the limit that is used, since the windows of the one who counts aren't those of the bucket.
constexpr double kUsedPart = 0.75;
/// Parts of the slack: what a bucket holds at most, and what flows into it within a window.
constexpr double kSlackSaved = 0.45;
constexpr double kSlackFlowing = 0.4;
/// Part of its slack that a started entry has, so that two starts within a window stay within it.
constexpr double kPartAtStart = 0.5;
constexpr double kMostAtStart = 3.0; ///< Whatever the fleet's size, which a started entry doesn't know.

} // namespace

retry_pool retry_pool::make(const retry_limit &limit)
{
    return retry_pool(limit);
}

retry_pool::retry_pool(const retry_limit &limit)
    : m_limit(limit)
    , m_entries(kFewestEntries)
{ }

void retry_pool::setFleet(instant now, std::size_t entries)
{
    if (entries <= m_entries) {
        return;
    }
    m_entries = entries;
    const retry_budget_settings settings = settingsOfEntry();
    for (auto &[service, budget] : m_budgets) {
        budget.change(now, settings);
    }
}

retry_budget_settings retry_pool::settingsOfEntry() const
{
    const double slack = kUsedPart * m_limit.slack / static_cast<double>(m_entries);
    retry_budget_settings settings;
    settings.share = kUsedPart * m_limit.share;
    settings.floorPerSecond = kSlackFlowing * slack / std::chrono::duration<double>(m_limit.window).count();
    settings.capacity = std::max(1.0, kSlackSaved * slack);
    settings.atStart = std::min(kPartAtStart * m_limit.slack / static_cast<double>(m_entries), kMostAtStart);
    return settings;
}

retry_budget &retry_pool::budgetOf(instant now, const std::string &service)
{
    const auto found = m_budgets.find(service);
    return found != m_budgets.end() ? found->second : m_budgets.emplace(service, retry_budget::make(now, settingsOfEntry())).first->second;
}

void retry_pool::noteRequest(instant now, const std::string &service)
{
    budgetOf(now, service).noteRequest(now);
}

bool retry_pool::tryRepeat(instant now, const std::string &service)
{
    return budgetOf(now, service).tryRetry(now);
}

} // namespace heatherroute
