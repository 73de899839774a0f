#include "telemetry/metrics_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace heatherroute;

TEST(Metrics, SameNameAndLabelsAreOneMetric)
{
    metrics_registry registry;
    counter_value &first = registry.counter("requests_total", "Requests.", {{"team", "t"}, {"half", "h"}});
    first.value += 2;
    EXPECT_EQ(&registry.counter("requests_total", "Requests.", {{"half", "h"}, {"team", "t"}}), &first);
    EXPECT_EQ(registry.counter("requests_total", "Requests.", {{"half", "h"}, {"team", "u"}}).value, 0U);
}

TEST(Metrics, TextHasThePrometheusFormat)
{
    metrics_registry registry;
    registry.counter("requests_total", "Requests with \\ and\nmore.", {{"team", "a\"b\\c\nd"}}).value = 3;
    registry.gauge("streams", "Open streams.").value = 1.5;
    histogram_value &histogram = registry.histogram("first_token_seconds", "Time to the first token.", {0.1, 0.5}, {{"half", "h"}});
    histogram.observe(0.1);
    histogram.observe(0.25);
    histogram.observe(2);
    EXPECT_EQ(toPrometheusText(registry.snapshot()), R"(# HELP first_token_seconds Time to the first token.
# TYPE first_token_seconds histogram
first_token_seconds_bucket{half="h",le="0.1"} 1
first_token_seconds_bucket{half="h",le="0.5"} 2
first_token_seconds_bucket{half="h",le="+Inf"} 3
first_token_seconds_sum{half="h"} 2.35
first_token_seconds_count{half="h"} 3
# HELP requests_total Requests with \\ and\nmore.
# TYPE requests_total counter
requests_total{team="a\"b\\c\nd"} 3
# HELP streams Open streams.
# TYPE streams gauge
streams 1.5
)");
}

TEST(Metrics, SnapshotsAreIndependentAndMergeBySum)
{
    metrics_registry one;
    metrics_registry two;
    one.counter("a_total", "A.").value = 1;
    two.counter("a_total", "A.").value = 2;
    two.counter("b_total", "B.").value = 4;
    one.gauge("g", "G.").value = 1;
    two.gauge("g", "G.").value = -3;
    one.histogram("h", "H.", {1, 2}).observe(1);
    two.histogram("h", "H.", {1, 2}).observe(5);
    metrics_snapshot merged = one.snapshot();
    one.counter("a_total", "A.").value = 100;
    merged.merge(two.snapshot());
    EXPECT_EQ(merged.families().at("a_total").metrics.at({}), metric_value(counter_value{3}));
    EXPECT_EQ(merged.families().at("b_total").metrics.at({}), metric_value(counter_value{4}));
    EXPECT_EQ(merged.families().at("g").metrics.at({}), metric_value(gauge_value{-2}));
    const auto &histogram = std::get<histogram_value>(merged.families().at("h").metrics.at({}));
    EXPECT_EQ(histogram.countAt(0), 1U);
    EXPECT_EQ(histogram.countAt(2), 1U);
    EXPECT_EQ(histogram.sum(), 6);
}

TEST(MetricsDeathTest, MisuseTerminatesTheProcess)
{
    metrics_registry registry;
    registry.counter("a_total", "A.");
    registry.histogram("h", "H.", {1, 2});
    EXPECT_DEATH(registry.gauge("a_total", "A."), "internal consistency");
    EXPECT_DEATH(registry.gauge("a b", "A."), "internal consistency");
    EXPECT_DEATH(registry.gauge("g", "G.", {{"le", "1"}}), "internal consistency");
    EXPECT_DEATH(registry.histogram("h", "H.", {1, 3}), "internal consistency");
    EXPECT_DEATH(registry.histogram("i", "I.", {2, 1}), "internal consistency");
}

// Every number is counted in the first bucket whose upper bound is not less than it.
RC_GTEST_PROP(Metrics, ObservationsAreCountedInTheFirstBucketWithASufficientBound, ())
{
    const std::vector<double> bounds = exponentialBounds(0.001, 2, 12);
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    const double value = *rc::gen::oneOf(rc::gen::elementOf(bounds), rc::gen::arbitrary<double>(), rc::gen::element(0.0, -1.0, kInfinity, -kInfinity));
    histogram_value histogram(bounds);
    histogram.observe(value);
    std::size_t expected = 0;
    while (expected < bounds.size() && !(value <= bounds[expected])) {
        ++expected;
    }
    RC_ASSERT(histogram.countAt(expected) == 1U);
    RC_ASSERT(histogram.count() == 1U);
    RC_ASSERT(histogram.bounds() == bounds);
}
