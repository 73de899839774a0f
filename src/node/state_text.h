#pragma once

#include <string>

#include "telemetry/metric_values.h"

namespace heatherroute::node
{

/**
 * Views of the core's state document, which is a JSON object.
 *
 * They are made on the operators' thread from the document's text, so that the core answers one event and waits for nobody. A document
 * that can't be parsed gives an empty view. Thread safe.
 */

/// The document to read: a line per value, an aligned table per list of objects.
std::string stateText(const std::string &document);

/// Gauges of position, freshness and cut-off of the configuration and of work in flight, and the counts of log lines.
metrics_snapshot stateMetrics(const std::string &document);

} // namespace heatherroute::node
