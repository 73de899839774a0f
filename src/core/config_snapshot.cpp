#include "heatherroute/config_state.h"

#include "core/config_hash.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

using namespace detail;

namespace
{

/// Whether the keys are strictly increasing, which also rules out duplicates.
template<typename List, typename Key>
bool isStrictlySorted(const List &list, Key key)
{
    const auto isOutOfOrder = [&key](const auto &a, const auto &b) { return !(key(a) < key(b)); };
    return std::adjacent_find(list.begin(), list.end(), isOutOfOrder) == list.end();
}

template<typename List>
bool areBelow(const List &list, log_offset next)
{
    return std::all_of(list.begin(), list.end(), [next](const auto &one) { return one.writeOffset < next; });
}

/// Whether the publications are sorted by offset and lie below `next`.
bool arePublishesValid(const config_snapshot &snapshot)
{
    const auto offsetOf = [](const remembered_publish &one) { return one.result.offset; };
    const bool isBelow = snapshot.publishes.empty() || snapshot.publishes.back().result.offset < snapshot.next;
    return isBelow && isStrictlySorted(snapshot.publishes, offsetOf);
}

const char *firstFault(const config_snapshot &s)
{
    const auto nameOf = [](const versioned_name &one) { return one.name; };
    if ((s.revision && *s.revision >= s.next) || (s.forgottenRemoval && *s.forgottenRemoval >= s.next)) {
        return "revision is not below next";
    }
    if (!areBelow(s.upstreams, s.next) || !areBelow(s.rules, s.next) || !areBelow(s.removedUpstreams, s.next) || !areBelow(s.removedRules, s.next)
        || !areBelow(s.halves, s.next)) {
        return "entity was written after the snapshot";
    }
    if (!isStrictlySorted(s.upstreams, [](const versioned_upstream &one) { return one.value.name; })
        || !isStrictlySorted(s.rules, [](const versioned_rule &one) { return ruleKey(one.value); }) || !isStrictlySorted(s.removedUpstreams, nameOf)
        || !isStrictlySorted(s.removedRules, nameOf) || !isStrictlySorted(s.halves, nameOf)) {
        return "list is not sorted";
    }
    return arePublishesValid(s) ? nullptr : "publications are not sorted or not below next";
}

std::vector<versioned_name> toList(const std::map<std::string, log_offset, std::less<>> &map)
{
    std::vector<versioned_name> list;
    list.reserve(map.size());
    for (const auto &[name, offset] : map) {
        list.push_back({name, offset});
    }
    return list;
}

template<typename Written>
std::vector<Written> toList(const std::map<std::string, Written, std::less<>> &map)
{
    std::vector<Written> list;
    list.reserve(map.size());
    for (const auto &[key, written] : map) {
        list.push_back(written);
    }
    return list;
}

/// Sorts removals into the order in which they are forgotten.
std::vector<versioned_name> byOffset(std::vector<versioned_name> removals)
{
    std::sort(removals.begin(), removals.end(), [](const versioned_name &a, const versioned_name &b) {
        return a.writeOffset != b.writeOffset ? a.writeOffset < b.writeOffset : a.name < b.name;
    });
    return removals;
}

template<typename Map>
void addDifference(const Map &older, const Map &newer, entity_kind kind, std::vector<entity_key> &result)
{
    for (const auto &[key, written] : older) {
        if (!newer.contains(key)) {
            result.push_back({kind, key});
        }
    }
    for (const auto &[key, written] : newer) {
        const auto before = older.find(key);
        if (before == older.end() || before->second.writeOffset != written.writeOffset) {
            result.push_back({kind, key});
        }
    }
}

} // namespace

std::optional<config_state> config_state::make(const config_snapshot &snapshot, last_reason *reason)
{
    if (const char *fault = firstFault(snapshot); fault != nullptr) {
        setReason(reason, fault);
        return std::nullopt;
    }
    config_state state;
    if (!state.restore(snapshot, reason)) {
        return std::nullopt;
    }
    return state;
}

bool config_state::restore(const config_snapshot &snapshot, last_reason *reason)
{
    for (const versioned_name &half : snapshot.halves) {
        touchHalf(half.writeOffset, half.name);
    }
    for (const versioned_upstream &written : snapshot.upstreams) {
        if (m_nameByAddress.contains(written.value.address)) {
            setReason(reason, "two upstreams have the same address");
            return false;
        }
        insertUpstream(written);
    }
    for (const versioned_rule &written : snapshot.rules) {
        const std::string key = ruleKey(written.value);
        m_contentHash += hashOf(written);
        m_rules.live.emplace(key, written);
    }
    for (const versioned_name &removal : byOffset(snapshot.removedUpstreams)) {
        markRemoved(m_upstreams, entity_kind::Upstream, removal.name, removal.writeOffset);
    }
    for (const versioned_name &removal : byOffset(snapshot.removedRules)) {
        markRemoved(m_rules, entity_kind::Rule, removal.name, removal.writeOffset);
    }
    for (const remembered_publish &publish : snapshot.publishes) {
        if (m_publishes.contains(publish.publishId)) {
            setReason(reason, "publication is listed twice");
            return false;
        }
        remember(publish.publishId, publish.result);
    }
    m_next = snapshot.next;
    m_revision = snapshot.revision;
    m_forgottenRemoval = snapshot.forgottenRemoval;
    if (digest() != snapshot.digest) {
        setReason(reason, "digest does not match the content");
        return false;
    }
    return true;
}

config_snapshot config_state::snapshot() const
{
    config_snapshot result;
    result.next = m_next;
    result.revision = m_revision;
    result.forgottenRemoval = m_forgottenRemoval;
    result.upstreams = toList(m_upstreams.live);
    result.rules = toList(m_rules.live);
    result.removedUpstreams = toList(m_upstreams.removed);
    result.removedRules = toList(m_rules.removed);
    result.halves = toList(m_halves);
    result.publishes.reserve(m_publishOrder.size());
    for (const std::string &id : m_publishOrder) {
        result.publishes.push_back({id, m_publishes.at(id)});
    }
    result.digest = digest();
    return result;
}

std::vector<entity_key> config_state::difference(const config_state &older, const config_state &newer)
{
    std::vector<entity_key> result;
    addDifference(older.m_upstreams.live, newer.m_upstreams.live, entity_kind::Upstream, result);
    addDifference(older.m_rules.live, newer.m_rules.live, entity_kind::Rule, result);
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace heatherroute
