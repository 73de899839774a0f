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

/// Counts of the core's requests at one instant, and whether the entry is stopping.
struct core_counts
{
    std::size_t generations = 0;
    std::size_t serviceCalls = 0;
    std::size_t unconfirmedCancels = 0;
    bool stopping = false;
    bool operator==(const core_counts &) const = default;
};

/// The state of the entry's configuration replica.
struct config_status
{
    log_offset next = 0; ///< Offset of the first record that has not been applied.
    config_revision revision;
    std::uint64_t digest = 0;
    bool established = false;
    bool cutOff = true;
    std::optional<duration> freshness; ///< Time since the latest freshness proof; empty before the first.

    /// Returns the status of @p replica at @p now.
    static config_status make(const config_replica &replica, instant now);
    bool operator==(const config_status &) const = default;
};

/// The last known state of another entry.
struct member_status
{
    member known;
    std::optional<log_offset> configNext; ///< Offset of the first record that it had not applied according to its last message.
    std::optional<duration> configAge; ///< Age of configNext.
};

/// The half and the owner of an upstream.
struct upstream_owner_info
{
    std::string name;
    std::optional<std::string> half; ///< Empty when the upstream is no longer in the configuration.
    std::optional<member_id> owner;
};

/// Returns the state dump as a JSON document.
std::string dumpState(const core_options &options,
                      const core_counts &counts,
                      const config_status &configuration,
                      const upstream_table &upstreams,
                      const std::vector<member_status> &members);

/// Returns one upstream as a JSON document. @p known is null when the upstream does not belong to this entry's half.
std::string dumpUpstream(const upstream_owner_info &info, const upstream_table::entry *known);

/// Returns the answer to a caller's query for the entries to use, as a JSON document.
std::string dumpEntries(const core_options &options, const std::vector<const member *> &listed);

} // namespace heatherroute
