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

/// Longer records are rejected unread.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{4} * 1024 * 1024;
/// Longer names, addresses and identifiers make a record invalid.
inline constexpr std::size_t kMaxNameBytes = 256;
/// Longer keys of rules make a record invalid; a key joins several names.
inline constexpr std::size_t kMaxKeyBytes = 4 * kMaxNameBytes;
/// More entries in one list make a record invalid.
inline constexpr std::size_t kMaxListEntries = 65536;
/// The version of the text encoding; records of another version are rejected.
inline constexpr std::int64_t kRecordVersion = 1;

/**
 * One publication by an operator: what to write, and the revision it was worked out from.
 *
 * It names only what it changes, so that its size doesn't grow with the fleet and publishers of unrelated entities
 * don't meet.
 */
struct config_change
{
    std::string publishId; ///< Chosen by the publisher; repeated publications of one id take effect once.
    std::string operatorName;
    config_revision baseRevision; ///< Rejected as stale when anything it writes was written after this.
    std::string half; ///< Upstreams must belong to it before or after the change; empty lifts the limit.
    bool guardHalf = false; ///< Also stale when anything of the half was written after the base.
    std::vector<upstream> upserts;
    std::vector<std::string> removals; ///< Names of upstreams.
    std::vector<rule> ruleUpserts;
    std::vector<std::string> ruleRemovals; ///< Keys as given by `ruleKey`.

    bool operator==(const config_change &) const = default;
};

/// What acceptance decided about a publication.
enum class change_outcome {
    Accepted,
    RejectedStaleBase, ///< Something that it writes or guards was written after its base.
    RejectedInvalid, ///< It doesn't fit the configuration it meets.
};

/// The decision about one publish id; the same on every entry.
struct publish_result
{
    log_offset offset = 0; ///< The record that was decided on.
    change_outcome outcome = change_outcome::Accepted;
    std::string detail; ///< What it collided with; empty when accepted.

    auto operator<=>(const publish_result &) const = default;
};

/// An upstream and the record that last wrote it.
struct written_upstream
{
    upstream value;
    log_offset writtenAt = 0;

    auto operator<=>(const written_upstream &) const = default;
};

/// A rule and the record that last wrote it.
struct written_rule
{
    rule value;
    log_offset writtenAt = 0;

    auto operator<=>(const written_rule &) const = default;
};

/// A name and the record that last wrote it: a removed entity, or a half.
struct written_name
{
    std::string name;
    log_offset writtenAt = 0;

    auto operator<=>(const written_name &) const = default;
};

/// A remembered publication.
struct remembered_publish
{
    std::string publishId;
    publish_result result;

    auto operator<=>(const remembered_publish &) const = default;
};

/**
 * The whole effect of the log's records below `next`: all that acceptance of later records depends on.
 *
 * An entry that adopts it decides from `next` on exactly like one that has read every record.
 */
struct config_snapshot
{
    log_offset next = 0; ///< The first record that is not part of it.
    config_revision revision;
    config_revision forgottenRemoval; ///< The latest removal that is no longer listed.
    std::vector<written_upstream> upstreams; ///< Sorted by name.
    std::vector<written_rule> rules; ///< Sorted by key.
    std::vector<written_name> removedUpstreams; ///< Sorted by name.
    std::vector<written_name> removedRules; ///< Sorted by key.
    std::vector<written_name> halves; ///< Sorted by name.
    std::vector<remembered_publish> publishes; ///< In the order of their offsets.
    std::uint64_t digest = 0; ///< `config_state::digest` of the same state.

    bool operator==(const config_snapshot &) const = default;
};

/// A record of the configuration stream.
using config_record = std::variant<config_change, config_snapshot>;

/// The record as one line of JSON. Thread safe.
std::string encodeRecord(const config_record &record);

/**
 * The record that @p text holds; empty with @p reason for text that is malformed, too long or of another version.
 *
 * The answer depends on nothing but @p text, so every entry of one version rejects the same records. Thread safe.
 */
std::optional<config_record> decodeRecord(std::string_view text, last_reason *reason = nullptr);

/// The name used in dumps and metrics. Thread safe.
std::string_view toString(change_outcome value) noexcept;

} // namespace heatherroute
