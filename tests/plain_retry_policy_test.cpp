#include <gtest/gtest.h>

#include "relay/plain_retry_policy.h"

using namespace heatherroute;
using std::chrono::milliseconds;

namespace
{

route routeOf(route_kind kind, std::uint32_t maxUpstreams)
{
    route entry;
    entry.kind = kind;
    entry.maxUpstreams = maxUpstreams;
    entry.latencyTarget = milliseconds(100);
    return entry;
}

} // namespace

TEST(PlainRetryPolicy, NonIdempotentRequestThatMayHaveRunIsNeverRetried)
{
    const route booking = routeOf(route_kind::NonIdempotent, 3);
    const plain_progress progress{0, 1, milliseconds(500)};
    EXPECT_FALSE(mayRetry({}, booking, progress, verdict::MayHaveRun));
    EXPECT_FALSE(mayRetry({}, booking, progress, verdict::Ran));
    EXPECT_TRUE(mayRetry({}, booking, {1, 0, milliseconds(500)}, verdict::NotRun));
}

TEST(PlainRetryPolicy, IdempotentRequestRunsOnNoMoreUpstreamsThanTheRouteAllows)
{
    const route lookup = routeOf(route_kind::Idempotent, 2);
    EXPECT_TRUE(mayRetry({}, lookup, {0, 1, milliseconds(500)}, verdict::Ran));
    EXPECT_FALSE(mayRetry({}, lookup, {0, 2, milliseconds(500)}, verdict::Ran));
    EXPECT_FALSE(mayRetry({}, lookup, {0, 1, milliseconds(1)}, verdict::Ran));
}

TEST(PlainRetryPolicy, HungFirstAttemptLeavesTimeForASecond)
{
    const route lookup = routeOf(route_kind::Idempotent, 2);
    const auto first = attemptTimeout({}, lookup, {0, 0, milliseconds(600)});
    ASSERT_TRUE(first);
    EXPECT_LE(*first, milliseconds(300));
    EXPECT_FALSE(attemptTimeout({}, lookup, {0, 1, milliseconds(300)})) << "the last attempt may take all the time left";
    EXPECT_FALSE(attemptTimeout({}, routeOf(route_kind::NonIdempotent, 2), {0, 0, milliseconds(600)}));
}
