#include "core/config_json.h"

#include "heatherroute/config_record.h"

#include <type_traits>

namespace heatherroute::detail
{

namespace json = boost::json;

namespace
{

std::uint32_t asCount(const json::value &value)
{
    return static_cast<std::uint32_t>(asNumber(value, std::numeric_limits<std::uint32_t>::max()));
}

std::string boundedText(const json::value &value, std::size_t maxBytes)
{
    const json::string *text = value.if_string();
    if (text == nullptr || text->size() > maxBytes) {
        throw malformed_record("value is not text or is too long");
    }
    return std::string(text->data(), text->size());
}

template<typename Enum>
Enum checked(std::optional<Enum> parsed, std::string_view what)
{
    if (!parsed) {
        throw malformed_record("unknown " + std::string(what));
    }
    return *parsed;
}

json::value writeText(const std::string &text)
{
    return json::value(text);
}

json::value writeRoute(const service_route &value)
{
    return json::object{
        {"t", "route"}, {"service", value.service}, {"prefix", value.pathPrefix}, {"idempotent", writeList(value.idempotentMethods, writeText)}};
}

json::value writeTeam(const team_rule &value)
{
    return json::object{{"t", "team"}, {"name", value.name}, {"weight", value.weight}, {"max", value.maxConcurrent}};
}

json::value writeModel(const model_rule &value)
{
    return json::object{{"t", "model"},
                        {"model", value.model},
                        {"prompt", value.maxPromptTokens},
                        {"output", value.maxOutputTokens},
                        {"version", value.version},
                        {"adapters", writeList(value.adapters, writeText)}};
}

json::value writeFloor(const capacity_floor &value)
{
    return json::object{{"t", "floor"}, {"half", value.half}, {"kind", toString(value.kind)}, {"model", value.modelOrService}, {"min", value.minActive}};
}

json::value writePriority(const priority_default &value)
{
    return json::object{{"t", "priority"}, {"model", value.modelOrService}, {"class", toString(value.priority)}};
}

rule readRoute(const json::object &o)
{
    return service_route{asName(field(o, "service")), asText(field(o, "prefix")), readList(field(o, "idempotent"), asName)};
}

rule readTeam(const json::object &o)
{
    return team_rule{asName(field(o, "name")), asCount(field(o, "weight")), asCount(field(o, "max"))};
}

rule readModel(const json::object &o)
{
    return model_rule{asName(field(o, "model")),
                      asCount(field(o, "prompt")),
                      asCount(field(o, "output")),
                      asText(field(o, "version")),
                      readList(field(o, "adapters"), asName)};
}

rule readFloor(const json::object &o)
{
    return capacity_floor{
        asName(field(o, "half")), checked(parseUpstreamKind(asText(field(o, "kind"))), "kind"), asText(field(o, "model")), asCount(field(o, "min"))};
}

rule readPriority(const json::object &o)
{
    return priority_default{asName(field(o, "model")), checked(parsePriorityClass(asText(field(o, "class"))), "class")};
}

} // namespace

const json::value &field(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    if (found == nullptr) {
        throw malformed_record("missing member " + std::string(name));
    }
    return *found;
}

const json::object &asObject(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        throw malformed_record("value is not an object");
    }
    return *object;
}

const json::array &asList(const json::value &value)
{
    const json::array *list = value.if_array();
    if (list == nullptr || list->size() > kMaxListEntries) {
        throw malformed_record("value is not a list or is too long");
    }
    return *list;
}

std::string asText(const json::value &value)
{
    return boundedText(value, kMaxNameBytes);
}

std::string asKey(const json::value &value)
{
    return boundedText(value, kMaxKeyBytes);
}

std::string asDetail(const json::value &value)
{
    return boundedText(value, 2 * kMaxKeyBytes);
}

std::string asName(const json::value &value)
{
    std::string name = asText(value);
    if (name.empty()) {
        throw malformed_record("name is empty");
    }
    return name;
}

std::uint64_t asNumber(const json::value &value, std::uint64_t max)
{
    std::uint64_t number = 0;
    if (const std::int64_t *small = value.if_int64(); small != nullptr && *small >= 0) {
        number = static_cast<std::uint64_t>(*small);
    } else if (const std::uint64_t *large = value.if_uint64(); large != nullptr) {
        number = *large;
    } else {
        throw malformed_record("value is not a non-negative integer");
    }
    if (number > max) {
        throw malformed_record("number is out of range");
    }
    return number;
}

bool asBool(const json::value &value)
{
    const bool *flag = value.if_bool();
    if (flag == nullptr) {
        throw malformed_record("value is neither true nor false");
    }
    return *flag;
}

json::value writeUpstream(const upstream &value)
{
    return json::object{{"name", value.name},
                        {"address", value.address},
                        {"zone", value.zone},
                        {"half", value.half},
                        {"kind", toString(value.kind)},
                        {"model", value.modelOrService},
                        {"slots", value.slots},
                        {"pieces", value.pieces},
                        {"piece_tokens", value.pieceTokens},
                        {"state", toString(value.state)},
                        {"fence", value.checksFence}};
}

upstream readUpstream(const json::value &value)
{
    const json::object &o = asObject(value);
    upstream result;
    result.name = asName(field(o, "name"));
    result.address = asName(field(o, "address"));
    result.zone = asText(field(o, "zone"));
    result.half = asName(field(o, "half"));
    result.kind = checked(parseUpstreamKind(asText(field(o, "kind"))), "kind");
    result.modelOrService = asText(field(o, "model"));
    result.slots = asCount(field(o, "slots"));
    result.pieces = asCount(field(o, "pieces"));
    result.pieceTokens = asCount(field(o, "piece_tokens"));
    result.state = checked(parseUpstreamState(asText(field(o, "state"))), "state");
    result.checksFence = asBool(field(o, "fence"));
    return result;
}

json::value writeRule(const rule &value)
{
    return std::visit(
        [](const auto &one) {
            using type = std::decay_t<decltype(one)>;
            if constexpr (std::is_same_v<type, service_route>) {
                return writeRoute(one);
            } else if constexpr (std::is_same_v<type, team_rule>) {
                return writeTeam(one);
            } else if constexpr (std::is_same_v<type, model_rule>) {
                return writeModel(one);
            } else if constexpr (std::is_same_v<type, capacity_floor>) {
                return writeFloor(one);
            } else {
                return writePriority(one);
            }
        },
        value);
}

rule readRule(const json::value &value)
{
    const json::object &o = asObject(value);
    const std::string type = asText(field(o, "t"));
    if (type == "route") {
        return readRoute(o);
    }
    if (type == "team") {
        return readTeam(o);
    }
    if (type == "model") {
        return readModel(o);
    }
    if (type == "floor") {
        return readFloor(o);
    }
    if (type == "priority") {
        return readPriority(o);
    }
    throw malformed_record("unknown rule type");
}

} // namespace heatherroute::detail
