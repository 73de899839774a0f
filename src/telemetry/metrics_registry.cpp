#include "telemetry/metrics_registry.h"

#include "heatherroute/assert.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace heatherroute
{
namespace
{

constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_";
constexpr std::string_view kDigits = "0123456789";

bool isIdentifier(std::string_view text, std::string_view extra)
{
    const auto has = [](std::string_view set, char c) { return set.find(c) != std::string_view::npos; };
    const auto allowed = [&](char c) { return has(kLetters, c) || has(kDigits, c) || has(extra, c); };
    return !text.empty() && !has(kDigits, text.front()) && std::all_of(text.begin(), text.end(), allowed);
}

// Sorts and checks the labels, so that their order in a call does not matter.
void normalize(metric_labels &labels)
{
    std::sort(labels.begin(), labels.end(), [](const metric_label &a, const metric_label &b) { return a.name < b.name; });
    const auto sameName = [](const metric_label &a, const metric_label &b) { return a.name == b.name; };
    HR_ASSERT(std::adjacent_find(labels.begin(), labels.end(), sameName) == labels.end());
    for (const metric_label &label : labels) {
        // The label `le` is reserved for the buckets of histograms.
        HR_ASSERT(isIdentifier(label.name, "") && label.name != "le");
    }
}

} // namespace

counter_value &metrics_registry::counter(const std::string &name, const std::string &help, metric_labels labels)
{
    return std::get<counter_value>(metric(name, help, std::move(labels), counter_value{}));
}

gauge_value &metrics_registry::gauge(const std::string &name, const std::string &help, metric_labels labels)
{
    return std::get<gauge_value>(metric(name, help, std::move(labels), gauge_value{}));
}

histogram_value &metrics_registry::histogram(const std::string &name, const std::string &help, const std::vector<double> &bounds, metric_labels labels)
{
    auto &value = std::get<histogram_value>(metric(name, help, std::move(labels), histogram_value(bounds)));
    HR_ASSERT(value.bounds() == bounds);
    return value;
}

metrics_snapshot metrics_registry::snapshot() const
{
    return metrics_snapshot(m_families);
}

metric_value &metrics_registry::metric(const std::string &name, const std::string &help, metric_labels labels, const metric_value &initial)
{
    HR_ASSERT(isIdentifier(name, ":"));
    normalize(labels);
    metric_family &family = m_families.try_emplace(name, metric_family{help, {}}).first->second;
    // The Prometheus text format allows only one type per name.
    HR_ASSERT(family.metrics.empty() || family.metrics.begin()->second.index() == initial.index());
    return family.metrics.try_emplace(std::move(labels), initial).first->second;
}

std::vector<double> exponentialBounds(double first, double factor, std::size_t count)
{
    HR_ASSERT(first > 0 && factor > 1);
    std::vector<double> bounds;
    for (double bound = first; bounds.size() < count; bound *= factor) {
        bounds.push_back(bound);
    }
    return bounds;
}

} // namespace heatherroute
