#include "heatherroute/inventory.h"

#include <array>
#include <cstddef>

namespace heatherroute
{
namespace
{

constexpr std::array<std::string_view, 3> kUpstreamKindNames = {"prefill_engine", "decode_engine", "plain_service"};
constexpr std::array<std::string_view, 2> kUpstreamStateNames = {"active", "leaving"};
constexpr std::array<std::string_view, 2> kPriorityClassNames = {"interactive", "batch"};

// The names stand in the order of the enumerators, so the position is the value.
template<typename Enum, std::size_t Count>
std::optional<Enum> parseName(const std::array<std::string_view, Count> &names, std::string_view text) noexcept
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == text) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

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
    return kUpstreamKindNames[static_cast<std::size_t>(value)];
}

std::string_view toString(upstream_state value) noexcept
{
    return kUpstreamStateNames[static_cast<std::size_t>(value)];
}

std::string_view toString(priority_class value) noexcept
{
    return kPriorityClassNames[static_cast<std::size_t>(value)];
}

std::optional<upstream_kind> parseUpstreamKind(std::string_view text) noexcept
{
    return parseName<upstream_kind>(kUpstreamKindNames, text);
}

std::optional<upstream_state> parseUpstreamState(std::string_view text) noexcept
{
    return parseName<upstream_state>(kUpstreamStateNames, text);
}

std::optional<priority_class> parsePriorityClass(std::string_view text) noexcept
{
    return parseName<priority_class>(kPriorityClassNames, text);
}

std::string ruleKey(const rule &value)
{
    return std::visit(rule_key_builder{}, value);
}

} // namespace heatherroute
