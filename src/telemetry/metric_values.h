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

/// A label of a metric; labels with many different values cost memory for each, so request ids are never labels.
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
 * Counts observations by size in fixed buckets.
 *
 * A bucket holds the observations up to and including its bound, as Prometheus asks. Not thread safe.
 */
class histogram_value
{
public:
    /// @p bounds are the upper bounds of the buckets: at least one, finite, strictly rising. A last bucket without bound is added.
    explicit histogram_value(const std::vector<double> &bounds);

    /// Adds one observation; one that isn't a number is left out.
    void observe(double value);
    /// Adds the observations of @p other, whose bounds must be the same.
    void add(const histogram_value &other);

    /// The bounds given at construction.
    std::vector<double> bounds() const;
    /// The observations in bucket @p index; the index after the last bound is the bucket without bound.
    std::uint64_t countAt(std::size_t index) const;
    /// The number of all observations.
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

/// A number that only grows.
struct counter_value
{
    std::uint64_t value = 0;

    bool operator==(const counter_value &) const = default;
};

/// A number that goes up and down.
struct gauge_value
{
    double value = 0;

    bool operator==(const gauge_value &) const = default;
};

using metric_value = std::variant<counter_value, gauge_value, histogram_value>;

/// All metrics of one name, by their labels.
struct metric_family
{
    std::string help;
    std::map<metric_labels, metric_value> metrics;

    bool operator==(const metric_family &) const = default;
};

/**
 * The metrics of one or more registries at one moment.
 *
 * Each duty takes a snapshot of its own registry and hands it on by value, so rendering shares nothing with the duties.
 */
class metrics_snapshot
{
public:
    metrics_snapshot() = default;
    explicit metrics_snapshot(std::map<std::string, metric_family> families);

    /// Adds @p other: metrics with the same name and labels are summed. They must be of the same type and have the same bounds.
    void merge(const metrics_snapshot &other);
    /// The families by name.
    const std::map<std::string, metric_family> &families() const noexcept;

    bool operator==(const metrics_snapshot &) const = default;

private:
    std::map<std::string, metric_family> m_families;
};

/// @p snapshot in the text format of Prometheus, version 0.0.4. Thread safe.
std::string toPrometheusText(const metrics_snapshot &snapshot);

} // namespace heatherroute
