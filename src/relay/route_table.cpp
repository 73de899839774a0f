#include "heatherroute/route_table.h"

#include <utility>

namespace heatherroute
{

std::string_view toString(route_kind kind) noexcept
{
    switch (kind) {
    case route_kind::Idempotent:
        return "idempotent";
    case route_kind::NonIdempotent:
        return "non_idempotent";
    case route_kind::Stream:
        return "stream";
    }
    return "unknown";
}

route_table route_table::make(
    std::uint64_t version, std::vector<route> routes, std::vector<service_spec> services, caller_bounds bounds, std::optional<std::vector<team>> teams)
{
    route_table table;
    table.m_version = version;
    table.m_bounds = bounds;
    for (route &rule : routes) {
        auto &prefixes = table.m_hosts[rule.host];
        std::string prefix = rule.pathPrefix;
        prefixes.insert_or_assign(std::move(prefix), std::move(rule));
    }
    for (service_spec &spec : services) {
        std::string name = spec.name;
        table.m_services.insert_or_assign(std::move(name), std::move(spec));
    }
    table.m_requiresKeys = teams.has_value();
    std::vector<team> listed = std::move(teams).value_or(std::vector<team>{});
    for (team &one : listed) {
        const auto [place, isNew] = table.m_teams.try_emplace(one.name, std::move(one));
        for (const key_digest &key : isNew ? place->second.keys : std::vector<key_digest>{}) {
            table.m_teamByKey.try_emplace(key, place->first);
        }
    }
    return table;
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_hosts.find(host);
    if (prefixes == m_hosts.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so the candidates are the path truncated after each of its slashes, longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end()) {
            return &found->second;
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const team *route_table::findTeam(std::string_view name) const
{
    const auto found = m_teams.find(name);
    return found == m_teams.end() ? nullptr : &found->second;
}

const team *route_table::teamOfKey(const key_digest &digest) const
{
    const auto found = m_teamByKey.find(digest);
    return found == m_teamByKey.end() ? nullptr : findTeam(found->second);
}

const service_spec *route_table::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

std::size_t route_table::size() const noexcept
{
    std::size_t count = 0;
    for (const auto &[host, prefixes] : m_hosts) {
        count += prefixes.size();
    }
    return count;
}

const route_target *pickTarget(const route &rule, double sample)
{
    std::uint64_t total = 0;
    for (const route_target &target : rule.targets) {
        total += target.weight;
    }
    double remaining = sample * static_cast<double>(total);
    const route_target *last = nullptr;
    for (const route_target &target : rule.targets) {
        if (target.weight == 0) {
            continue;
        }
        last = &target;
        remaining -= static_cast<double>(target.weight);
        if (remaining < 0) {
            break;
        }
    }
    return last;
}

} // namespace heatherroute
