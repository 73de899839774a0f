#pragma once

#include "heatherroute/config_record.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace heatherroute
{

/// Kind of an entity in the configuration.
enum class entity_kind {
    Upstream,
    Rule,
};

/// Identifies one entity: an upstream by its name, a rule by its `ruleKey`.
struct entity_key
{
    entity_kind kind = entity_kind::Upstream;
    std::string name;

    auto operator<=>(const entity_key &) const = default;
};

/// Outcome of applying one record.
enum class acceptance {
    Accepted,
    RejectedStaleBase,
    RejectedDuplicatePublish, ///< Its publish id was decided on before; `apply_result::decision` holds that decision.
    RejectedInvalid,
};

/// Result of `config_state::apply`.
struct apply_result
{
    acceptance accepted = acceptance::Accepted;
    publish_result decision;
    std::vector<entity_key> changed; ///< Sorted; empty unless accepted.

    bool operator==(const apply_result &) const = default;
};

/// Number of records for which the decision on a publication is remembered, so that a retry gets the earlier answer.
inline constexpr log_offset kRememberedPublishOffsets = 4096;
/// Number of records for which a removal is listed. A change is stale when its base is older than the latest removal that is no
/// longer listed.
inline constexpr log_offset kRememberedRemovalOffsets = 16384;

/**
 * The configuration that results from a prefix of the platform's log.
 *
 * Entries agree on which changes are accepted without exchanging messages, because each applies the same records in the
 * same order and a decision depends on nothing else: neither on time, identity nor randomness. Conflicts are detected per
 * entity (optimistic concurrency control): a change is stale when an entity that it writes was written after the change's
 * base revision. Not thread safe; copies are independent.
 */
class config_state
{
public:
    /// The configuration before the first record.
    config_state() = default;

    /// Restores the configuration from @p snapshot; returns empty and sets @p reason when the snapshot is inconsistent.
    static std::optional<config_state> make(const config_snapshot &snapshot, last_reason *reason = nullptr);

    /// Decides on @p change, the record at @p offset, and applies it when accepted. Precondition: @p offset is next().
    apply_result apply(log_offset offset, const config_change &change);

    /// Skips a record without effect: a snapshot, or a record that can't be decoded. Precondition: @p offset is next().
    void skip(log_offset offset);

    /// Offset of the first record that has not been applied.
    log_offset next() const noexcept
    {
        return m_next;
    }

    /// Offset of the last accepted record; empty before the first.
    config_revision revision() const noexcept
    {
        return m_revision;
    }

    /// Hash over everything that later decisions depend on; independent of the order in which the state was built up.
    std::uint64_t digest() const noexcept;

    /// The upstreams by name, each with the offset of the record that last wrote it.
    const std::map<std::string, versioned_upstream, std::less<>> &upstreams() const noexcept
    {
        return m_upstreams.live;
    }

    /// The rules by key, each with the offset of the record that last wrote it.
    const std::map<std::string, versioned_rule, std::less<>> &rules() const noexcept
    {
        return m_rules.live;
    }

    /// The decision on @p publishId; null when there is none or it is no longer remembered. The pointer is valid until the next
    /// change.
    const publish_result *decisionOn(const std::string &publishId) const;

    /// The configuration as a value that can be sent to a peer or appended to the log.
    config_snapshot snapshot() const;

    /// The entities that differ between @p older and @p newer; sorted.
    static std::vector<entity_key> difference(const config_state &older, const config_state &newer);

private:
    template<typename Written>
    struct entity_table
    {
        std::map<std::string, Written, std::less<>> live;
        std::map<std::string, log_offset, std::less<>> removed;
        std::deque<versioned_name> removals; ///< In the order of their offsets; may list entities that exist again.

        /// Offset of the record that last wrote or removed @p key; empty when none is known.
        config_revision lastWrite(std::string_view key) const;
    };

    struct decision
    {
        change_outcome outcome = change_outcome::Accepted;
        std::string detail;
    };

    using group_key = std::tuple<std::string, upstream_kind, std::string>;
    using group_counts = std::map<group_key, std::uint32_t>;

    decision decide(log_offset offset, const config_change &change) const;
    decision checkShape(log_offset offset, const config_change &change) const;
    decision checkBase(const config_change &change) const;
    decision checkScope(const config_change &change) const;
    decision checkAddresses(const config_change &change) const;
    decision checkFloors(const config_change &change) const;
    bool isFloorBroken(const capacity_floor &remaining, const config_change &change) const;
    std::vector<entity_key> write(log_offset offset, const config_change &change);
    void putUpstream(log_offset offset, const upstream &value);
    void insertUpstream(const versioned_upstream &written);
    void removeUpstream(log_offset offset, const std::string &name);
    void putRule(log_offset offset, const rule &value);
    void removeRule(log_offset offset, const std::string &key);
    void detachUpstream(const upstream &value);
    void touchHalf(log_offset offset, const std::string &half);
    void remember(const std::string &publishId, publish_result result);
    void advance();
    void forgetPublishes();
    template<typename Written>
    void forgetRemovals(entity_table<Written> &table, entity_kind kind);
    template<typename Written>
    void markRemoved(entity_table<Written> &table, entity_kind kind, const std::string &key, log_offset offset);
    template<typename Written>
    void clearRemoved(entity_table<Written> &table, entity_kind kind, const std::string &key);
    bool restore(const config_snapshot &snapshot, last_reason *reason);

    entity_table<versioned_upstream> m_upstreams;
    entity_table<versioned_rule> m_rules;
    std::map<std::string, std::string, std::less<>> m_nameByAddress;
    group_counts m_activeUpstreams;
    std::map<std::string, log_offset, std::less<>> m_halves;
    std::unordered_map<std::string, publish_result> m_publishes;
    std::deque<std::string> m_publishOrder;
    log_offset m_next = 0;
    config_revision m_revision;
    config_revision m_forgottenRemoval;
    std::uint64_t m_contentHash = 0;
};

/// The name used in dumps and metrics. Thread safe.
std::string_view toString(acceptance value) noexcept;

} // namespace heatherroute
