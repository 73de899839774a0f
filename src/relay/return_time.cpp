#include "relay/return_time.h"

#include <algorithm>

namespace heatherroute
{

std::optional<duration> returnAfter(const return_settings &settings, duration wait, duration timeLeft, double draw)
{
    const auto usable = duration(static_cast<duration::rep>(static_cast<double>(timeLeft.count()) * settings.usablePart));
    const duration latest = std::min(settings.latest, usable);
    if (latest <= duration::zero()) {
        return std::nullopt;
    }
    const duration soonest = std::min(std::max(settings.soonest, wait), latest);
    return soonest + duration(static_cast<duration::rep>(static_cast<double>((latest - soonest).count()) * draw));
}

} // namespace heatherroute
