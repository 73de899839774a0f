#include "relay/plain_retry_policy.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

/// With less time left, a further attempt can't be answered in time.
constexpr duration kMinAttemptTime = std::chrono::milliseconds(20);

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace

std::optional<duration> attemptTimeout(const plain_retry_policy &policy, const route &rule, const plain_progress &progress)
{
    const bool retryAllowed = rule.kind == route_kind::Idempotent && progress.mayHaveRun + 1 < rule.maxUpstreams;
    if (!retryAllowed) {
        return std::nullopt;
    }
    const duration byTarget = scaled(rule.latencyTarget, policy.attemptLatencyTargets);
    const duration limit = std::max(byTarget, scaled(progress.timeLeft, policy.minAttemptFraction));
    return limit < progress.timeLeft ? std::optional<duration>(limit) : std::nullopt;
}

bool mayRetry(const plain_retry_policy &policy, const route &rule, const plain_progress &progress, verdict last)
{
    if (progress.timeLeft < kMinAttemptTime) {
        return false;
    }
    if (last == verdict::NotRun) {
        return progress.notRun < policy.maxNotRun;
    }
    return rule.kind == route_kind::Idempotent && progress.mayHaveRun < rule.maxUpstreams;
}

} // namespace heatherroute
