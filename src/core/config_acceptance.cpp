#include "heatherroute/config_state.h"

#include <algorithm>
#include <set>

namespace heatherroute
{

namespace
{

const std::string &nameOf(const upstream &value)
{
    return value.name;
}

bool hasDuplicates(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    return std::adjacent_find(names.begin(), names.end()) != names.end();
}

std::vector<std::string> upstreamsWritten(const config_change &change)
{
    std::vector<std::string> names = change.removals;
    std::transform(change.upserts.begin(), change.upserts.end(), std::back_inserter(names), nameOf);
    return names;
}

std::vector<std::string> rulesWritten(const config_change &change)
{
    std::vector<std::string> keys = change.ruleRemovals;
    std::transform(change.ruleUpserts.begin(), change.ruleUpserts.end(), std::back_inserter(keys), ruleKey);
    return keys;
}

} // namespace

config_state::decision config_state::decide(log_offset offset, const config_change &change) const
{
    decision decided = checkShape(offset, change);
    if (decided.outcome == change_outcome::Accepted) {
        decided = checkBase(change);
    }
    if (decided.outcome == change_outcome::Accepted) {
        decided = checkScope(change);
    }
    if (decided.outcome == change_outcome::Accepted) {
        decided = checkAddresses(change);
    }
    if (decided.outcome == change_outcome::Accepted) {
        decided = checkFloors(change);
    }
    return decided;
}

config_state::decision config_state::checkShape(log_offset offset, const config_change &change) const
{
    if (change.baseRevision && *change.baseRevision >= offset) {
        return {change_outcome::RejectedInvalid, "base revision not below the record"};
    }
    const std::vector<std::string> upstreamNames = upstreamsWritten(change);
    const std::vector<std::string> ruleKeys = rulesWritten(change);
    if (upstreamNames.empty() && ruleKeys.empty()) {
        return {change_outcome::RejectedInvalid, "nothing to write"};
    }
    if (hasDuplicates(upstreamNames) || hasDuplicates(ruleKeys)) {
        return {change_outcome::RejectedInvalid, "writes one entity twice"};
    }
    return {};
}

config_state::decision config_state::checkBase(const config_change &change) const
{
    const config_revision &base = change.baseRevision;
    if (m_forgottenRemoval > base) {
        return {change_outcome::RejectedStaleBase, "base older than the removals on record"};
    }
    if (change.guardHalf) {
        const auto half = m_halves.find(change.half);
        const config_revision lastWrite = half == m_halves.end() ? config_revision() : config_revision(half->second);
        if ((change.half.empty() ? m_revision : lastWrite) > base) {
            return {change_outcome::RejectedStaleBase, "half " + change.half};
        }
    }
    for (const std::string &name : upstreamsWritten(change)) {
        if (m_upstreams.lastWrite(name) > base) {
            return {change_outcome::RejectedStaleBase, "upstream " + name};
        }
    }
    for (const std::string &key : rulesWritten(change)) {
        if (m_rules.lastWrite(key) > base) {
            return {change_outcome::RejectedStaleBase, "rule " + key};
        }
    }
    return {};
}

config_state::decision config_state::checkScope(const config_change &change) const
{
    for (const std::string &name : change.removals) {
        const auto found = m_upstreams.live.find(name);
        if (found == m_upstreams.live.end()) {
            return {change_outcome::RejectedInvalid, "unknown upstream " + name};
        }
        if (!change.half.empty() && found->second.value.half != change.half) {
            return {change_outcome::RejectedInvalid, "upstream of another half: " + name};
        }
    }
    for (const upstream &value : change.upserts) {
        const auto found = m_upstreams.live.find(value.name);
        const bool wasInHalf = found != m_upstreams.live.end() && found->second.value.half == change.half;
        if (!change.half.empty() && !wasInHalf && value.half != change.half) {
            return {change_outcome::RejectedInvalid, "upstream of another half: " + value.name};
        }
    }
    for (const std::string &key : change.ruleRemovals) {
        if (m_rules.live.find(key) == m_rules.live.end()) {
            return {change_outcome::RejectedInvalid, "unknown rule " + key};
        }
    }
    return {};
}

config_state::decision config_state::checkAddresses(const config_change &change) const
{
    const std::vector<std::string> names = upstreamsWritten(change);
    const std::set<std::string, std::less<>> written(names.begin(), names.end());
    std::set<std::string, std::less<>> newAddresses;
    for (const upstream &value : change.upserts) {
        const auto holder = m_nameByAddress.find(value.address);
        const bool isHeldByOther = holder != m_nameByAddress.end() && !written.contains(holder->second);
        if (isHeldByOther || !newAddresses.insert(value.address).second) {
            return {change_outcome::RejectedInvalid, "address " + value.address + " belongs to another upstream"};
        }
    }
    return {};
}

config_state::decision config_state::checkFloors(const config_change &change) const
{
    std::map<group_key, std::int64_t> deltas;
    const auto addDelta = [&deltas](const upstream &value, std::int64_t delta) {
        if (value.state == upstream_state::Active) {
            deltas[{value.half, value.kind, value.modelOrService}] += delta;
        }
    };
    for (const std::string &name : upstreamsWritten(change)) {
        if (const auto found = m_upstreams.live.find(name); found != m_upstreams.live.end()) {
            addDelta(found->second.value, -1);
        }
    }
    for (const upstream &value : change.upserts) {
        addDelta(value, 1);
    }
    for (const auto &[group, delta] : deltas) {
        if (delta >= 0) {
            continue; // A floor above the current number of active upstreams only restricts later removals.
        }
        const auto current = m_activeUpstreams.find(group);
        const std::int64_t active = (current == m_activeUpstreams.end() ? 0 : std::int64_t{current->second}) + delta;
        const auto &[half, kind, modelOrService] = group;
        if (isFloorBroken({half, kind, modelOrService, static_cast<std::uint32_t>(active)}, change)) {
            return {change_outcome::RejectedInvalid, "below the capacity floor of half " + half};
        }
    }
    return {};
}

bool config_state::isFloorBroken(const capacity_floor &remaining, const config_change &change) const
{
    const std::string key = ruleKey(remaining);
    for (const rule &value : change.ruleUpserts) {
        if (ruleKey(value) == key) {
            return remaining.minActive < std::get<capacity_floor>(value).minActive;
        }
    }
    const bool isLifted = std::find(change.ruleRemovals.begin(), change.ruleRemovals.end(), key) != change.ruleRemovals.end();
    const auto found = m_rules.live.find(key);
    return !isLifted && found != m_rules.live.end() && remaining.minActive < std::get<capacity_floor>(found->second.value).minActive;
}

} // namespace heatherroute
