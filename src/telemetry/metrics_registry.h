#pragma once

#include "telemetry/metric_values.h"

#include <map>
#include <string>
#include <vector>

namespace heatherroute
{

/**
 * The metrics of one duty.
 *
 * A registry belongs to one thread, so counting takes no lock. Metrics live as long as the registry, and references to them stay
 * valid. Names match `[a-zA-Z_:][a-zA-Z0-9_:]*`, label names `[a-zA-Z_][a-zA-Z0-9_]*`; a name keeps its type. Breaking that is an
 * error in the program and ends it. Not thread safe.
 */
class metrics_registry
{
public:
    metrics_registry() = default;
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    /// The counter of that name and labels; made at the first call. Keep the reference where speed matters. @p name ends in `_total` by custom.
    counter_value &counter(const std::string &name, const std::string &help, metric_labels labels = {});
    /// The gauge of that name and labels; made at the first call.
    gauge_value &gauge(const std::string &name, const std::string &help, metric_labels labels = {});
    /// The histogram of that name and labels; made with @p bounds at the first call, see `histogram_value`.
    histogram_value &histogram(const std::string &name, const std::string &help, const std::vector<double> &bounds, metric_labels labels = {});

    /// A copy of all values as they are now.
    metrics_snapshot snapshot() const;

private:
    metric_value &metric(const std::string &name, const std::string &help, metric_labels labels, const metric_value &initial);

    std::map<std::string, metric_family> m_families;
};

/// Rising bucket bounds: @p first, then each @p factor times the one before, @p count in all. Thread safe.
std::vector<double> exponentialBounds(double first, double factor, std::size_t count);

} // namespace heatherroute
