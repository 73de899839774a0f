#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/crash_report.h"
#include "heatherroute/time.h"
#include "relay/platform_store.h"

namespace heatherroute
{

/**
 * The record by which entries remember a request that crashes upstreams in the platform's store, from its second crash on.
 *
 * Entries lose what they know when they all restart at the same time, and the request would then crash as many upstreams
 * again. Records of quarantined requests lie among the addresses of the entries, so that reading them costs no further call.
 */

/// Returns whether @p key belongs to a quarantined request. Thread safe.
bool isQuarantineKey(const std::string &key);

/// Returns the record of the request @p fingerprint with the crashes in @p reports, or one that deletes it when there are none.
/// Precondition: all reports are on that request. @p unixMs is the current Unix time in milliseconds. Thread safe.
keyed_record makeQuarantineRecord(std::uint64_t fingerprint, const std::vector<crash_report> &reports, std::int64_t unixMs);

/// Returns the reports in a record, with their ages as of @p unixMs; empty with @p reason set when the record is invalid. A time
/// in the future, by a clock that differs, counts as now. Thread safe.
std::optional<std::vector<crash_report>> readQuarantineRecord(const keyed_record &record, std::int64_t unixMs, last_reason *reason);

/// Returns whether all crashes in @p reports are older than @p retention, so that the record may be deleted. Thread safe.
bool isExpired(const std::vector<crash_report> &reports, duration retention);

} // namespace heatherroute
