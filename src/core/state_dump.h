#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/upstream_table.h"
#include "heatherroute/config_replica.h"
#include "heatherroute/member.h"
#include "heatherroute/router_core.h"

namespace heatherroute
{

/// How much the core holds at one instant.
struct core_counts
{
    std::size_t generations = 0;
    std::size_t serviceCalls = 0;
    std::size_t unconfirmedCancels = 0;
    bool stopping = false;
    bool operator==(const core_counts &) const = default;
};

/// What the entry knows of the configuration.
struct config_status
{
    log_offset next = 0; ///< The first record that is not applied.
    config_revision revision;
    std::uint64_t digest = 0;
    bool established = false;
    bool cutOff = true;
    std::optional<duration> freshness;

    /// The status of @p replica at @p now.
    static config_status make(const config_replica &replica, instant now);
    bool operator==(const config_status &) const = default;
};

/// What the entry knows of another one.
struct member_status
{
    member known;
    std::optional<log_offset> configNext; ///< Its first record that is not applied, as it last told.
    std::optional<duration> configAge; ///< How old that is.
};

/// Who is responsible for an upstream.
struct upstream_whereabouts
{
    std::string name;
    std::optional<std::string> half; ///< Empty when the configuration names it no more.
    std::optional<member_id> owner;
};

/// The state dump as a JSON document.
std::string dumpState(const core_options &options,
                      const core_counts &counts,
                      const config_status &configuration,
                      const upstream_table &upstreams,
                      const std::vector<member_status> &members);

/// One upstream as a JSON document; @p known is null when it is none of this entry's half.
std::string dumpUpstream(const upstream_whereabouts &where, const upstream_table::entry *known);

/// The answer to callers that ask which entries to use, as a JSON document.
std::string dumpEntries(const core_options &options, const std::vector<const member *> &listed);

} // namespace heatherroute
