#include "heatherroute/inventory.h"

#include "settings/enum_names.h"

namespace heatherroute
{
namespace
{

constexpr detail::enum_names<upstream_kind, 3> kUpstreamKindNames = {{"prefill_engine", "decode_engine", "plain_service"}};
constexpr detail::enum_names<upstream_state, 2> kUpstreamStateNames = {{"active", "leaving"}};
constexpr detail::enum_names<priority_class, 2> kPriorityClassNames = {{"interactive", "batch"}};

/// Builds the unique key of a rule from the kind of the rule and the fields that identify it.
struct rule_key_builder
{
    std::string operator()(const service_route &route) const
    {
        return "service_route " + route.service + " " + route.pathPrefix;
    }
    std::string operator()(const team_rule &team) const
    {
        return "team " + team.name;
    }
    std::string operator()(const model_rule &model) const
    {
        return "model " + model.model;
    }
    std::string operator()(const capacity_floor &floor) const
    {
        return "capacity_floor " + floor.half + " " + std::string(toString(floor.kind)) + " " + floor.modelOrService;
    }
    std::string operator()(const priority_default &priority) const
    {
        return "priority_default " + priority.modelOrService;
    }
};

} // namespace

std::string_view toString(upstream_kind value) noexcept
{
    return kUpstreamKindNames.nameOf(value);
}

std::string_view toString(upstream_state value) noexcept
{
    return kUpstreamStateNames.nameOf(value);
}

std::string_view toString(priority_class value) noexcept
{
    return kPriorityClassNames.nameOf(value);
}

std::optional<upstream_kind> parseUpstreamKind(std::string_view text) noexcept
{
    return kUpstreamKindNames.find(text);
}

std::optional<upstream_state> parseUpstreamState(std::string_view text) noexcept
{
    return kUpstreamStateNames.find(text);
}

std::optional<priority_class> parsePriorityClass(std::string_view text) noexcept
{
    return kPriorityClassNames.find(text);
}

std::string ruleKey(const rule &value)
{
    return std::visit(rule_key_builder{}, value);
}

} // namespace heatherroute
