#include "core/state_dump.h"

#include <boost/json.hpp>

namespace heatherroute
{

namespace json = boost::json;

namespace
{

json::object upstreamObject(const upstream_table::entry &known)
{
    return {{"name", known.config.name},
            {"address", known.config.address},
            {"zone", known.config.zone},
            {"half", known.config.half},
            {"serves", known.config.modelOrService},
            {"takes_work", known.acceptsWork()},
            {"slots", known.config.slots},
            {"slots_used", known.used.slots},
            {"pieces", known.config.pieces},
            {"pieces_used", known.used.pieces}};
}

json::object configurationObject(const config_status &status)
{
    json::object result{{"next", status.next}, {"digest", status.digest}, {"established", status.established}, {"cut_off", status.cutOff}};
    result["revision"] = status.revision ? json::value(*status.revision) : json::value(nullptr);
    if (status.freshness) {
        result["freshness_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*status.freshness).count();
    }
    return result;
}

json::array membersArray(const std::vector<member_status> &members)
{
    json::array list;
    for (const member_status &status : members) {
        json::object one{{"name", status.known.id.name},
                         {"start", status.known.id.incarnation},
                         {"state", toString(status.known.state)},
                         {"zone", status.known.zone},
                         {"half", status.known.half},
                         {"callers", status.known.callerAddress},
                         {"peers", status.known.peerAddress},
                         {"load_permille", status.known.summary.loadPermille},
                         {"config_revision", status.known.summary.configRevision}};
        if (status.configNext) {
            one["config_next"] = *status.configNext;
            one["config_age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*status.configAge).count();
        }
        list.push_back(std::move(one));
    }
    return list;
}

} // namespace

config_status config_status::make(const config_replica &replica, instant now)
{
    config_status status;
    status.next = replica.state().next();
    status.revision = replica.state().revision();
    status.digest = replica.state().digest();
    status.established = replica.isEstablished();
    status.cutOff = replica.isCutOff(now);
    status.freshness = replica.proofAge(now);
    return status;
}

std::string dumpState(const core_options &options,
                      const core_counts &counts,
                      const config_status &configuration,
                      const upstream_table &upstreams,
                      const std::vector<member_status> &members)
{
    json::array list;
    for (const upstream_table::entry *known : upstreams.all()) {
        list.push_back(upstreamObject(*known));
    }
    const json::object document{{"entry", options.entryName},
                                {"half", options.half},
                                {"zone", options.zone},
                                {"incarnation", options.incarnation},
                                {"stopping", counts.stopping},
                                {"generations", counts.generations},
                                {"service_calls", counts.serviceCalls},
                                {"unconfirmed_cancels", counts.unconfirmedCancels},
                                {"configuration", configurationObject(configuration)},
                                {"members", membersArray(members)},
                                {"upstreams", std::move(list)}};
    return json::serialize(document);
}

std::string dumpUpstream(const upstream_owner_info &info, const upstream_table::entry *known)
{
    json::object result = known != nullptr ? upstreamObject(*known) : json::object{{"name", info.name}};
    if (info.half) {
        result["half"] = *info.half;
    }
    result["owner"] = info.owner ? json::value(info.owner->name) : json::value(nullptr);
    return json::serialize(result);
}

std::string dumpEntries(const core_options &options, const std::vector<const member *> &listed)
{
    json::array entries;
    for (const member *one : listed) {
        entries.push_back(json::object{{"address", one->callerAddress}, {"zone", one->zone}});
    }
    const std::string ticket = options.entryName + "." + std::to_string(options.incarnation);
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(options.entryLifetime).count();
    return json::serialize(json::object{{"entries", std::move(entries)}, {"lifetime_s", lifetime}, {"ticket", ticket}});
}

} // namespace heatherroute
