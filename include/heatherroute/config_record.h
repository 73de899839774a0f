#pragma once

#include "heatherroute/inventory.h"
#include "heatherroute/last_reason.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heatherroute
{

/// Position of a record on the platform's log.
using log_offset = std::uint64_t;

/// A revision: the log offset of the last accepted record; empty before the first one. Empty sorts before all others.
using config_revision = std::optional<log_offset>;

/// Max size of a record; longer ones are rejected without being parsed.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{4} * 1024 * 1024;
/// Max length of a name, address or identifier; a record with a longer one is invalid.
inline constexpr std::size_t kMaxNameBytes = 256;
/// Max length of a rule key, which joins several names; a record with a longer one is invalid.
inline constexpr std::size_t kMaxKeyBytes = 4 * kMaxNameBytes;
/// Max number of elements of a list; a record with a longer list is invalid.
inline constexpr std::size_t kMaxListEntries = 65536;
/// The version of the text encoding; records of another version are rejected.
inline constexpr std::int64_t kRecordVersion = 1;

/**
 * One publication by an operator: the writes, and the revision that they are based on.
 *
 * It contains only what it changes, so that its size doesn't grow with the fleet and publications about unrelated
 * entities don't conflict.
 */
struct config_change
{
    std::string publishId; ///< Idempotency key chosen by the publisher; publications with the same id take effect once.
    std::string operatorName;
    config_revision baseRevision; ///< The change is stale when an entity that it writes was written after this revision.
    std::string half; ///< Half to which all written upstreams must belong before or after the change; empty for no restriction.
    bool guardHalf = false; ///< The change is also stale when anything in `half` (anywhere if empty) was written after the base.
    std::vector<upstream> upserts;
    std::vector<std::string> removals; ///< Names of upstreams.
    std::vector<rule> ruleUpserts;
    std::vector<std::string> ruleRemovals; ///< Rule keys as returned by `ruleKey`.

    bool operator==(const config_change &) const = default;
};

/// The decision on a publication.
enum class change_outcome {
    Accepted,
    RejectedStaleBase, ///< An entity that it writes or guards was written after its base revision.
    RejectedInvalid, ///< It contradicts itself or the current configuration.
};

/// The decision on one publish id; identical on every entry.
struct publish_result
{
    log_offset offset = 0; ///< Offset of the record that was decided on.
    change_outcome outcome = change_outcome::Accepted;
    std::string detail; ///< What the change conflicted with; empty when accepted.

    auto operator<=>(const publish_result &) const = default;
};

/// An upstream with the offset of the record that last wrote it.
struct versioned_upstream
{
    upstream value;
    log_offset writeOffset = 0;

    auto operator<=>(const versioned_upstream &) const = default;
};

/// A rule with the offset of the record that last wrote it.
struct versioned_rule
{
    rule value;
    log_offset writeOffset = 0;

    auto operator<=>(const versioned_rule &) const = default;
};

/// The name of a removed entity or of a half, with the offset of the record that last wrote it.
struct versioned_name
{
    std::string name;
    log_offset writeOffset = 0;

    auto operator<=>(const versioned_name &) const = default;
};

/// The decision on a publication, remembered so that a retry gets the same answer.
struct remembered_publish
{
    std::string publishId;
    publish_result result;

    auto operator<=>(const remembered_publish &) const = default;
};

/**
 * The state that results from all log records below `next`; decisions on later records depend on nothing else.
 *
 * An entry that starts from a snapshot decides from `next` on exactly like one that has read every record.
 */
struct config_snapshot
{
    log_offset next = 0; ///< Offset of the first record that the snapshot doesn't include.
    config_revision revision;
    config_revision forgottenRemoval; ///< Offset of the latest removal that is no longer listed.
    std::vector<versioned_upstream> upstreams; ///< Sorted by name.
    std::vector<versioned_rule> rules; ///< Sorted by key.
    std::vector<versioned_name> removedUpstreams; ///< Sorted by name.
    std::vector<versioned_name> removedRules; ///< Sorted by key.
    std::vector<versioned_name> halves; ///< Sorted by name.
    std::vector<remembered_publish> publishes; ///< In the order of their offsets.
    std::uint64_t digest = 0; ///< `config_state::digest` of the same state.

    bool operator==(const config_snapshot &) const = default;
};

/// A record of the configuration stream.
using config_record = std::variant<config_change, config_snapshot>;

/// The record as one line of JSON. Thread safe.
std::string encodeRecord(const config_record &record);

/**
 * Parses the record in @p text; returns empty and sets @p reason when it is malformed, too long or of another version.
 *
 * The result depends on nothing but @p text, so all entries of one version reject the same records. Thread safe.
 */
std::optional<config_record> decodeRecord(std::string_view text, last_reason *reason = nullptr);

/// The name used in dumps and metrics. Thread safe.
std::string_view toString(change_outcome value) noexcept;

} // namespace heatherroute
