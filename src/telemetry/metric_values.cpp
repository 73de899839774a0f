#include "telemetry/metric_values.h"

#include "heatherroute/assert.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace heatherroute
{
namespace
{

constexpr double kInfinity = std::numeric_limits<double>::infinity();

// The first bin extends from minus infinity to the first bound, so the underflow bin of the axis is never used.
std::vector<double> axisEdges(const std::vector<double> &bounds)
{
    HR_ASSERT(!bounds.empty());
    HR_ASSERT(std::all_of(bounds.begin(), bounds.end(), [](double bound) { return std::isfinite(bound); }));
    HR_ASSERT(std::adjacent_find(bounds.begin(), bounds.end(), std::greater_equal<>()) == bounds.end());
    std::vector<double> edges = {-kInfinity};
    edges.insert(edges.end(), bounds.begin(), bounds.end());
    return edges;
}

void addMetric(metric_value &target, const metric_value &other)
{
    HR_ASSERT(target.index() == other.index());
    if (auto *counter = std::get_if<counter_value>(&target)) {
        counter->value += std::get<counter_value>(other).value;
    } else if (auto *gauge = std::get_if<gauge_value>(&target)) {
        gauge->value += std::get<gauge_value>(other).value;
    } else {
        std::get<histogram_value>(target).add(std::get<histogram_value>(other));
    }
}

void addFamily(metric_family &target, const metric_family &other)
{
    for (const auto &[labels, value] : other.metrics) {
        const auto [existing, isNew] = target.metrics.emplace(labels, value);
        if (!isNew) {
            addMetric(existing->second, value);
        }
    }
}

} // namespace

histogram_value::histogram_value(const std::vector<double> &bounds)
    : m_histogram(std::tuple<axis_type>(axis_type(axisEdges(bounds))))
{ }

void histogram_value::observe(double value)
{
    if (std::isnan(value)) {
        return;
    }
    // The axis counts a value that equals an edge in the bin above. The next smaller number is counted in the bin below, as required.
    m_histogram(std::nextafter(value, -kInfinity));
    m_count += 1;
    m_sum += value;
}

void histogram_value::add(const histogram_value &other)
{
    HR_ASSERT(m_histogram.axis() == other.m_histogram.axis());
    m_histogram += other.m_histogram;
    m_count += other.m_count;
    m_sum += other.m_sum;
}

std::vector<double> histogram_value::bounds() const
{
    std::vector<double> bounds;
    for (const auto &bin : m_histogram.axis()) {
        bounds.push_back(bin.upper());
    }
    return bounds;
}

std::uint64_t histogram_value::countAt(std::size_t index) const
{
    return m_histogram.at(static_cast<int>(index));
}

std::uint64_t histogram_value::count() const noexcept
{
    return m_count;
}

double histogram_value::sum() const noexcept
{
    return m_sum;
}

metrics_snapshot::metrics_snapshot(std::map<std::string, metric_family> families)
    : m_families(std::move(families))
{ }

void metrics_snapshot::merge(const metrics_snapshot &other)
{
    for (const auto &[name, family] : other.m_families) {
        const auto [existing, isNew] = m_families.emplace(name, family);
        if (!isNew) {
            addFamily(existing->second, family);
        }
    }
}

const std::map<std::string, metric_family> &metrics_snapshot::families() const noexcept
{
    return m_families;
}

} // namespace heatherroute
