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

/// What an entity of the configuration is.
enum class entity_kind {
    Upstream,
    Rule,
};

/// Names one entity: an upstream by its name, a rule by its `ruleKey`.
struct entity_key
{
    entity_kind kind = entity_kind::Upstream;
    std::string name;

    auto operator<=>(const entity_key &) const = default;
};

/// What became of one record.
enum class acceptance {
    Accepted,
    RejectedStaleBase,
    RejectedDuplicatePublish, ///< Its publish id was decided on before; `apply_result::decision` is the earlier one.
    RejectedInvalid,
};

/// The answer of `config_state::apply`.
struct apply_result
{
    acceptance accepted = acceptance::Accepted;
    publish_result decision;
    std::vector<entity_key> changed; ///< Sorted; empty unless accepted.

    bool operator==(const apply_result &) const = default;
};

/// Publications decided on in this many records are remembered, so that a repeated one gets the earlier answer.
inline constexpr log_offset kRememberedPublishOffsets = 4096;
/// Removals in this many records are listed; a change based on an older revision than the latest unlisted one is stale.
inline constexpr log_offset kRememberedRemovalOffsets = 16384;

/**
 * The configuration as it follows from a prefix of the platform's log.
 *
 * Entries agree on what is accepted without talking, because each applies the same records in the same order to this
 * value and it looks at nothing else: no time, no identity, no randomness. A conflict is found per entity: a change is
 * stale when something that it writes was written after the revision it was worked out from. Not thread safe; copies are
 * independent.
 */
class config_state
{
public:
    /// The configuration before the first record.
    config_state() = default;

    /// The configuration that @p snapshot holds; empty with @p reason when the snapshot contradicts itself.
    static std::optional<config_state> make(const config_snapshot &snapshot, last_reason *reason = nullptr);

    /// Decides on @p change, the record at @p offset, and takes it in when accepted. Precondition: @p offset is next().
    apply_result apply(log_offset offset, const config_change &change);

    /// Passes over a record without effect: a snapshot, or one that doesn't decode. Precondition: @p offset is next().
    void skip(log_offset offset);

    /// The first record that has not been taken in.
    log_offset next() const noexcept
    {
        return m_next;
    }

    /// The last accepted record; empty before it.
    config_revision revision() const noexcept
    {
        return m_revision;
    }

    /// Hash over everything that later acceptance depends on, whatever the order in which it came about.
    std::uint64_t digest() const noexcept;

    /// The upstreams by name, with the record that last wrote each.
    const std::map<std::string, written_upstream, std::less<>> &upstreams() const noexcept
    {
        return m_upstreams.live;
    }

    /// The rules by key, with the record that last wrote each.
    const std::map<std::string, written_rule, std::less<>> &rules() const noexcept
    {
        return m_rules.live;
    }

    /// The decision on @p publishId; null when it was never decided on or is no longer remembered. Valid until the next change.
    const publish_result *decisionOn(const std::string &publishId) const;

    /// The same configuration as a value that can be sent or appended to the log.
    config_snapshot snapshot() const;

    /// What an observer of @p older has to look at again on taking @p newer; sorted.
    static std::vector<entity_key> difference(const config_state &older, const config_state &newer);

private:
    template<typename Written>
    struct entity_table
    {
        std::map<std::string, Written, std::less<>> live;
        std::map<std::string, log_offset, std::less<>> removed;
        std::deque<written_name> removals; ///< In the order of their offsets; may name entities that are live again.

        /// The record that last wrote or removed @p key; empty when none is known.
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
    void insertUpstream(const written_upstream &written);
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

    entity_table<written_upstream> m_upstreams;
    entity_table<written_rule> m_rules;
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
