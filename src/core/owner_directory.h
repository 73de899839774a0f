#pragma once

#include <map>
#include <optional>
#include <string>

#include "heatherroute/inventory.h"
#include "heatherroute/ownership.h"

namespace heatherroute
{

/**
 * The owning entry of each upstream in all halves of the fleet.
 *
 * The owner of an upstream is an entry of the half to which the configuration assigns it. An upstream that moves to another
 * half gets an owner there. Not thread safe.
 */
class owner_directory
{
public:
    /// Sets the configuration of an upstream; null removes the upstream.
    void setUpstream(const std::string &name, const upstream *config);
    /// Sets the state of a member, which may be this entry.
    void setMember(const member &known);
    /// Returns the half to which @p upstream belongs; nothing when it is not known.
    std::optional<std::string> halfOf(const std::string &upstream) const;
    /// Returns the owner of @p upstream; nothing when it is not known or no member of its half can own it.
    std::optional<member_id> ownerOf(const std::string &upstream) const;

private:
    std::map<std::string, ownership> m_halves;
    std::map<std::string, std::string> m_halfOf;
};

} // namespace heatherroute
