#pragma once

#include <string>

#include "telemetry/metric_values.h"

namespace heatherroute::node
{

/**
 * Views of the core's state document, which is a JSON object.
 *
 * They are created on the operators' thread from the document's text, so that the core only answers one event and never blocks. A
 * document that cannot be parsed yields an empty view. Thread safe.
 */

/// The document as plain text: one line per value and one aligned table per list of objects.
std::string stateText(const std::string &document);

/// Gauges of the configuration (next offset, age, cut off) and of the work in flight, and counters of log lines.
metrics_snapshot stateMetrics(const std::string &document);

} // namespace heatherroute::node
