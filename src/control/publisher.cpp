#include "control/publisher.h"

#include <algorithm>

namespace heatherroute::control
{

namespace
{

bool declares(const inventory &wanted, const std::string &name)
{
    return std::any_of(wanted.upstreams.begin(), wanted.upstreams.end(), [&name](const upstream &declared) { return declared.name == name; });
}

void addUpstreams(const config_state &state, const publication &wanted, config_change &change)
{
    for (const upstream &declared : wanted.wanted.upstreams) {
        const auto found = state.upstreams().find(declared.name);
        if (found == state.upstreams().end() || found->second.value != declared) {
            change.upserts.push_back(declared);
        }
    }
    for (const auto &[name, written] : state.upstreams()) {
        if (written.value.half == wanted.half && !declares(wanted.wanted, name)) {
            change.removals.push_back(name);
        }
    }
}

void addRules(const config_state &state, const publication &wanted, config_change &change)
{
    for (const rule &declared : wanted.wanted.rules) {
        const auto found = state.rules().find(ruleKey(declared));
        if (found == state.rules().end() || found->second.value != declared) {
            change.ruleUpserts.push_back(declared);
        }
    }
}

} // namespace

config_change changeFor(const config_state &state, const publication &wanted)
{
    config_change change;
    change.publishId = wanted.publishId;
    change.operatorName = wanted.operatorName;
    change.half = wanted.half;
    change.baseRevision = state.revision();
    addUpstreams(state, wanted, change);
    addRules(state, wanted, change);
    return change;
}

bool isEmpty(const config_change &change)
{
    return change.upserts.empty() && change.removals.empty() && change.ruleUpserts.empty() && change.ruleRemovals.empty();
}

} // namespace heatherroute::control
