#include "relay/retry_after.h"

#include <algorithm>

namespace heatherroute
{

std::optional<duration> retryAfterDelay(const retry_after_settings &settings, duration wait, duration timeLeft, double sample)
{
    const auto usable = duration(static_cast<duration::rep>(static_cast<double>(timeLeft.count()) * settings.usableFraction));
    const duration upper = std::min(std::max(settings.maxDelay, wait + settings.spread), usable);
    if (upper <= duration::zero()) {
        return std::nullopt;
    }
    const duration lower = std::min(std::max(settings.minDelay, wait), upper);
    return lower + duration(static_cast<duration::rep>(static_cast<double>((upper - lower).count()) * sample));
}

} // namespace heatherroute
