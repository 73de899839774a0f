#include "heatherroute/config_state.h"

#include "core/config_hash.h"
#include "heatherroute/assert.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

using namespace detail;

template<typename Written>
config_revision config_state::entity_table<Written>::lastWrite(std::string_view key) const
{
    if (const auto found = live.find(key); found != live.end()) {
        return found->second.writeOffset;
    }
    if (const auto found = removed.find(key); found != removed.end()) {
        return found->second;
    }
    return std::nullopt;
}

apply_result config_state::apply(log_offset offset, const config_change &change)
{
    HR_INVARIANT("An accepted inventory or rule never reverts", offset == m_next);
    apply_result result;
    if (const publish_result *earlier = decisionOn(change.publishId); earlier != nullptr) {
        result.accepted = acceptance::RejectedDuplicatePublish;
        result.decision = *earlier;
        advance();
        return result;
    }
    decision decided = decide(offset, change);
    if (decided.outcome == change_outcome::Accepted) {
        result.changed = write(offset, change);
        m_revision = offset;
    }
    result.decision = {offset, decided.outcome, decided.detail};
    switch (decided.outcome) {
    case change_outcome::Accepted:
        result.accepted = acceptance::Accepted;
        break;
    case change_outcome::RejectedStaleBase:
        result.accepted = acceptance::RejectedStaleBase;
        break;
    case change_outcome::RejectedInvalid:
        result.accepted = acceptance::RejectedInvalid;
        break;
    }
    remember(change.publishId, result.decision);
    advance();
    return result;
}

void config_state::skip(log_offset offset)
{
    HR_INVARIANT("An accepted inventory or rule never reverts", offset == m_next);
    advance();
}

std::uint64_t config_state::digest() const noexcept
{
    return m_contentHash + hashOfRevisions(m_revision, m_forgottenRemoval);
}

const publish_result *config_state::decisionOn(const std::string &publishId) const
{
    const auto found = m_publishes.find(publishId);
    return found == m_publishes.end() ? nullptr : &found->second;
}

std::vector<entity_key> config_state::write(log_offset offset, const config_change &change)
{
    std::vector<entity_key> changed;
    for (const std::string &name : change.removals) {
        removeUpstream(offset, name);
        changed.push_back({entity_kind::Upstream, name});
    }
    for (const upstream &value : change.upserts) {
        putUpstream(offset, value);
        changed.push_back({entity_kind::Upstream, value.name});
    }
    for (const std::string &key : change.ruleRemovals) {
        removeRule(offset, key);
        changed.push_back({entity_kind::Rule, key});
    }
    for (const rule &value : change.ruleUpserts) {
        putRule(offset, value);
        changed.push_back({entity_kind::Rule, ruleKey(value)});
    }
    std::sort(changed.begin(), changed.end());
    return changed;
}

void config_state::putUpstream(log_offset offset, const upstream &value)
{
    if (const auto found = m_upstreams.live.find(value.name); found != m_upstreams.live.end()) {
        m_contentHash -= hashOf(found->second);
        touchHalf(offset, found->second.value.half);
        detachUpstream(found->second.value);
    }
    clearRemoved(m_upstreams, entity_kind::Upstream, value.name);
    insertUpstream({value, offset});
    touchHalf(offset, value.half);
}

void config_state::insertUpstream(const versioned_upstream &written)
{
    const upstream &value = written.value;
    m_contentHash += hashOf(written);
    m_upstreams.live.insert_or_assign(value.name, written);
    m_nameByAddress.insert_or_assign(value.address, value.name);
    if (value.state == upstream_state::Active) {
        ++m_activeUpstreams[{value.half, value.kind, value.modelOrService}];
    }
}

void config_state::removeUpstream(log_offset offset, const std::string &name)
{
    const auto found = m_upstreams.live.find(name);
    HR_ASSERT(found != m_upstreams.live.end());
    m_contentHash -= hashOf(found->second);
    touchHalf(offset, found->second.value.half);
    detachUpstream(found->second.value);
    m_upstreams.live.erase(found);
    markRemoved(m_upstreams, entity_kind::Upstream, name, offset);
}

void config_state::detachUpstream(const upstream &value)
{
    // Another upstream of the same record may have taken over the address already.
    if (const auto found = m_nameByAddress.find(value.address); found != m_nameByAddress.end() && found->second == value.name) {
        m_nameByAddress.erase(found);
    }
    if (value.state != upstream_state::Active) {
        return;
    }
    const auto group = m_activeUpstreams.find({value.half, value.kind, value.modelOrService});
    HR_ASSERT(group != m_activeUpstreams.end());
    if (--group->second == 0) {
        m_activeUpstreams.erase(group);
    }
}

void config_state::putRule(log_offset offset, const rule &value)
{
    const std::string key = ruleKey(value);
    if (const auto found = m_rules.live.find(key); found != m_rules.live.end()) {
        m_contentHash -= hashOf(found->second);
    }
    clearRemoved(m_rules, entity_kind::Rule, key);
    const versioned_rule written{value, offset};
    m_contentHash += hashOf(written);
    m_rules.live.insert_or_assign(key, written);
    if (const capacity_floor *floor = std::get_if<capacity_floor>(&value); floor != nullptr) {
        touchHalf(offset, floor->half);
    }
}

void config_state::removeRule(log_offset offset, const std::string &key)
{
    const auto found = m_rules.live.find(key);
    HR_ASSERT(found != m_rules.live.end());
    m_contentHash -= hashOf(found->second);
    if (const capacity_floor *floor = std::get_if<capacity_floor>(&found->second.value); floor != nullptr) {
        touchHalf(offset, floor->half);
    }
    m_rules.live.erase(found);
    markRemoved(m_rules, entity_kind::Rule, key, offset);
}

void config_state::touchHalf(log_offset offset, const std::string &half)
{
    const auto [place, isNew] = m_halves.try_emplace(half, offset);
    if (!isNew) {
        m_contentHash -= hashOfHalf(half, place->second);
        place->second = offset;
    }
    m_contentHash += hashOfHalf(half, offset);
}

template<typename Written>
void config_state::markRemoved(entity_table<Written> &table, entity_kind kind, const std::string &key, log_offset offset)
{
    table.removed.insert_or_assign(key, offset);
    table.removals.push_back({key, offset});
    m_contentHash += hashOfRemoval(kind, key, offset);
}

template<typename Written>
void config_state::clearRemoved(entity_table<Written> &table, entity_kind kind, const std::string &key)
{
    if (const auto found = table.removed.find(key); found != table.removed.end()) {
        m_contentHash -= hashOfRemoval(kind, key, found->second);
        table.removed.erase(found);
    }
}

void config_state::remember(const std::string &publishId, publish_result result)
{
    m_contentHash += hashOf(remembered_publish{publishId, result});
    m_publishes.emplace(publishId, std::move(result));
    m_publishOrder.push_back(publishId);
}

void config_state::advance()
{
    ++m_next;
    forgetPublishes();
    forgetRemovals(m_upstreams, entity_kind::Upstream);
    forgetRemovals(m_rules, entity_kind::Rule);
}

void config_state::forgetPublishes()
{
    while (!m_publishOrder.empty()) {
        const auto oldest = m_publishes.find(m_publishOrder.front());
        HR_ASSERT(oldest != m_publishes.end());
        if (oldest->second.offset + kRememberedPublishOffsets >= m_next) {
            return;
        }
        m_contentHash -= hashOf(remembered_publish{oldest->first, oldest->second});
        m_publishes.erase(oldest);
        m_publishOrder.pop_front();
    }
}

template<typename Written>
void config_state::forgetRemovals(entity_table<Written> &table, entity_kind kind)
{
    while (!table.removals.empty() && table.removals.front().writeOffset + kRememberedRemovalOffsets < m_next) {
        const versioned_name oldest = std::move(table.removals.front());
        table.removals.pop_front();
        const auto found = table.removed.find(oldest.name);
        if (found == table.removed.end() || found->second != oldest.writeOffset) {
            continue; // The entity was created or removed again after this removal.
        }
        m_contentHash -= hashOfRemoval(kind, oldest.name, oldest.writeOffset);
        table.removed.erase(found);
        m_forgottenRemoval = std::max(m_forgottenRemoval, config_revision(oldest.writeOffset));
    }
}

template void config_state::markRemoved(entity_table<versioned_upstream> &, entity_kind, const std::string &, log_offset);
template void config_state::markRemoved(entity_table<versioned_rule> &, entity_kind, const std::string &, log_offset);
template config_revision config_state::entity_table<versioned_upstream>::lastWrite(std::string_view) const;
template config_revision config_state::entity_table<versioned_rule>::lastWrite(std::string_view) const;

std::string_view toString(acceptance value) noexcept
{
    switch (value) {
    case acceptance::Accepted:
        return "accepted";
    case acceptance::RejectedStaleBase:
        return "rejected_stale_base";
    case acceptance::RejectedDuplicatePublish:
        return "rejected_duplicate_publish";
    case acceptance::RejectedInvalid:
        return "rejected_invalid";
    }
    return "rejected_invalid";
}

} // namespace heatherroute
