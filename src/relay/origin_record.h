#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/last_reason.h"
#include "heatherroute/stream_origin_message.h"
#include "relay/version_summary.h"

namespace heatherroute
{

/// Streams in one record at most, so that it stays below the size that the store takes.
inline constexpr std::size_t kMaxOriginsPerRecord = 4'000;

/// Returns the record of @p origins, in which each pair of a service and a version stands once, and of @p summary, if there is one.
/// Precondition: there are at most kMaxOriginsPerRecord origins. Thread safe.
std::string makeOriginRecord(const std::vector<stream_origin> &origins, const std::optional<version_summary> &summary = std::nullopt);

/// Returns the origins in a record, with their lives from now on; empty with @p reason set when the record is invalid. Thread safe.
std::optional<std::vector<stream_origin>> readOriginRecord(std::string_view record, last_reason *reason);

/// Returns the summary of versions in a record; empty when there is none, or with @p reason set when it is invalid. Thread safe.
std::optional<version_summary> readVersionSummary(std::string_view record, last_reason *reason);

} // namespace heatherroute
