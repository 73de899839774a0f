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
 * The record by which an entry remembers in the platform's store which requests it had in flight on upstreams that crashed or fell silent, and
 * which were cleared of that by an answer.
 *
 * Entries lose what they know when they all restart at the same time, and a request could then crash as many upstreams again. Each entry
 * has one record, whatever happens, so that its calls to the store stay few. The records lie among the addresses of the entries, so
 * that reading them costs no further call.
 */

/// Returns whether @p key belongs to such a record. Thread safe.
bool isQuarantineKey(const std::string &key);

/// Returns the key of the record of entry @p entryName. Thread safe.
std::string quarantineKeyOf(const std::string &entryName);

/// Returns the record with @p key, or one that deletes it when there is no @p evidence. @p unixMs is the current Unix time in milliseconds.
/// Thread safe.
keyed_record makeQuarantineRecord(const std::string &key, const crash_evidence &evidence, std::int64_t unixMs);

/// Returns the evidence in a record, with its ages as of @p unixMs; empty with @p reason set when the record is invalid. A time
/// in the future, by a clock that differs, counts as now. Thread safe.
std::optional<crash_evidence> readQuarantineRecord(const keyed_record &record, std::int64_t unixMs, last_reason *reason);

/// Returns whether all of @p evidence is older than @p retention, so that the record may be deleted. Thread safe.
bool isExpired(const crash_evidence &evidence, duration retention);

} // namespace heatherroute
