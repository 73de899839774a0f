#include "relay/plain_policy.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// Below this a further try can't be answered in time.
constexpr duration kLeastTime = std::chrono::milliseconds(20);

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace

std::optional<duration> limitOfTry(const plain_policy &policy, const route &from, const plain_progress &progress)
{
    const bool another = from.kind == route_kind::Idempotent && progress.ran + 1 < from.maxUpstreams;
    if (!another) {
        return std::nullopt;
    }
    const duration byTarget = scaled(from.latencyTarget, policy.firstTryTargets);
    const duration limit = std::max(byTarget, scaled(progress.timeLeft, policy.firstTryPart));
    return limit < progress.timeLeft ? std::optional<duration>(limit) : std::nullopt;
}

bool mayTryAgain(const plain_policy &policy, const route &from, const plain_progress &progress, verdict last)
{
    if (progress.timeLeft < kLeastTime) {
        return false;
    }
    if (last == verdict::NotRun) {
        return progress.unrun < policy.mostUnrun;
    }
    return from.kind == route_kind::Idempotent && progress.ran < from.maxUpstreams;
}

} // namespace heatherroute
