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
            {"takes_work", known.mayTakeWork()},
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

} // namespace

config_status config_status::make(const config_replica &replica, instant now)
{
    config_status status;
    status.next = replica.state().next();
    status.revision = replica.state().revision();
    status.digest = replica.state().digest();
    status.established = replica.isEstablished();
    status.cutOff = replica.isCutOff(now);
    status.freshness = replica.freshness(now);
    return status;
}

std::string dumpState(const core_options &options, const core_counts &counts, const config_status &configuration, const upstream_table &upstreams)
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
                                {"upstreams", std::move(list)}};
    return json::serialize(document);
}

std::string dumpUpstream(const upstream_table::entry &known)
{
    return json::serialize(upstreamObject(known));
}

std::string dumpEntries(const core_options &options, bool stopping)
{
    json::array entries;
    if (!stopping) {
        entries.push_back(json::object{{"address", options.callerAddress}, {"zone", options.zone}});
    }
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(options.entryLifetime).count();
    return json::serialize(json::object{{"entries", std::move(entries)}, {"lifetime_s", lifetime}, {"ticket", ""}});
}

} // namespace heatherroute
