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
 * A registry is used by a single thread, so counting requires no lock. Metrics are never removed, and references to them stay valid
 * as long as the registry. Names must match `[a-zA-Z_:][a-zA-Z0-9_:]*` and label names `[a-zA-Z_][a-zA-Z0-9_]*`; all metrics with the
 * same name must have the same type. A violation is a programming error and terminates the process. Not thread safe.
 */
class metrics_registry
{
public:
    metrics_registry() = default;
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    /// Returns the counter with this name and these labels, and creates it on the first call. Keep the reference where speed matters. By convention,
    /// @p name ends in `_total`.
    counter_value &counter(const std::string &name, const std::string &help, metric_labels labels = {});
    /// Returns the gauge with this name and these labels, and creates it on the first call.
    gauge_value &gauge(const std::string &name, const std::string &help, metric_labels labels = {});
    /// Returns the histogram with this name and these labels, and creates it on the first call. Every call must pass the same @p bounds; see
    /// `histogram_value`.
    histogram_value &histogram(const std::string &name, const std::string &help, const std::vector<double> &bounds, metric_labels labels = {});

    /// A copy of all current values.
    metrics_snapshot snapshot() const;

private:
    metric_value &metric(const std::string &name, const std::string &help, metric_labels labels, const metric_value &initial);

    std::map<std::string, metric_family> m_families;
};

/// Returns @p count bucket bounds, starting with @p first, each @p factor times the previous one. Precondition: @p first is greater than 0 and @p factor
/// greater than 1. Thread safe.
std::vector<double> exponentialBounds(double first, double factor, std::size_t count);

} // namespace heatherroute
