#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/registration.h"
#include "heatherroute/route_table.h"
#include "heatherroute/store_news.h"
#include "relay/lease_term.h"
#include "relay/platform_store.h"

namespace heatherroute::node
{

/// A newer configuration has been read.
struct routes_read
{
    std::shared_ptr<const route_table> routes;
};

/// Upstreams have reported.
struct upstreams_reported
{
    std::vector<registration> reports;
    std::vector<std::string> removed;
    bool isWhole = false; ///< The reports are all that the store holds.
};

/// The store has stopped answering, or answers again.
struct store_reached
{
    bool reached = false;
};

/// The other entries that are not dead have changed.
struct members_changed
{
    std::vector<member> others;
};

/// Another entry told what it read from the store.
struct news_heard
{
    store_news news;
};

/// What the relay's thread hears from the other duties.
using relay_event = std::variant<routes_read, upstreams_reported, store_reached, lease_term, members_changed, news_heard>;

/// Where entries may be found, as the store's records say.
struct entry_addresses
{
    std::vector<std::string> addresses;
};

/// What the entry tells of itself has changed.
struct own_summary
{
    node_summary summary;
};

/// The planned stop begins.
struct members_leave
{ };

/// To be told to all other entries.
struct news_told
{
    store_news news;
};

/// What the membership's thread hears from the other duties.
using member_event = std::variant<entry_addresses, own_summary, members_leave, news_told>;

/// Whether this entry should try for the right to give orders.
struct lease_wanted
{
    bool wanted = false;
};

/// Whether this entry follows the store closely, or others tell it what changes.
struct store_followed
{
    bool closely = true;
};

/// Another entry knows a newer configuration.
struct config_outdated
{ };

/// The process ends; what it holds in the store is given up.
struct store_stop
{ };

/// What the store's thread hears from the other duties.
using store_event = std::variant<lease_wanted, store_followed, config_outdated, store_stop>;

} // namespace heatherroute::node
