#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace heatherroute
{

/// A label of a metric. Every distinct value uses memory, so values with high cardinality, such as request ids, must not be labels.
struct metric_label
{
    std::string name;
    std::string value;

    bool operator==(const metric_label &) const = default;
    bool operator<(const metric_label &other) const
    {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

/// The labels of one metric, sorted by name.
using metric_labels = std::vector<metric_label>;

/**
 * A histogram with fixed buckets.
 *
 * The upper bound of a bucket is inclusive, as Prometheus requires. Not thread safe.
 */
class histogram_value
{
public:
    /// @p bounds are the upper bounds of the buckets: at least one, finite and strictly increasing. A last bucket without an upper bound is added.
    explicit histogram_value(const std::vector<double> &bounds);

    /// Adds one observation; NaN is ignored.
    void observe(double value);
    /// Adds the observations of @p other. Precondition: both have the same bounds.
    void add(const histogram_value &other);

    /// The bounds passed to the constructor.
    std::vector<double> bounds() const;
    /// The number of observations in bucket @p index, not cumulative. The index after the last bound denotes the bucket without an upper bound.
    std::uint64_t countAt(std::size_t index) const;
    /// The total number of observations.
    std::uint64_t count() const noexcept;
    /// The sum of all observations.
    double sum() const noexcept;

    bool operator==(const histogram_value &other) const = default;

private:
    using axis_type = boost::histogram::axis::variable<double>;
    using histogram_type = boost::histogram::histogram<std::tuple<axis_type>, boost::histogram::dense_storage<std::uint64_t>>;

    histogram_type m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/// A value that only increases.
struct counter_value
{
    std::uint64_t value = 0;

    bool operator==(const counter_value &) const = default;
};

/// A value that can increase and decrease.
struct gauge_value
{
    double value = 0;

    bool operator==(const gauge_value &) const = default;
};

using metric_value = std::variant<counter_value, gauge_value, histogram_value>;

/// All metrics with the same name, by their labels.
struct metric_family
{
    std::string help;
    std::map<metric_labels, metric_value> metrics;

    bool operator==(const metric_family &) const = default;
};

/**
 * The metrics of one or more registries at a point in time.
 *
 * Each duty takes a snapshot of its own registry and passes it on by value, so rendering shares no state with the duties.
 */
class metrics_snapshot
{
public:
    metrics_snapshot() = default;
    explicit metrics_snapshot(std::map<std::string, metric_family> families);

    /// Adds the metrics of @p other; metrics with the same name and labels are summed. Precondition: these have the same type and bounds.
    void merge(const metrics_snapshot &other);
    /// The families by name.
    const std::map<std::string, metric_family> &families() const noexcept;

    bool operator==(const metrics_snapshot &) const = default;

private:
    std::map<std::string, metric_family> m_families;
};

/// Formats @p snapshot in the Prometheus text format, version 0.0.4. Thread safe.
std::string toPrometheusText(const metrics_snapshot &snapshot);

} // namespace heatherroute
