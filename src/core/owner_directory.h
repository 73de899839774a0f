#pragma once

#include <map>
#include <optional>
#include <string>

#include "heatherroute/inventory.h"
#include "heatherroute/ownership.h"

namespace heatherroute
{

/**
 * Which entry owns each upstream, for all halves of the fleet.
 *
 * An upstream is owned within the half that the configuration gives it to; one that changes hands changes its owner with
 * it. Not thread safe.
 */
class owner_directory
{
public:
    /// Takes in the configuration of an upstream; null removes it.
    void setUpstream(const std::string &name, const upstream *config);
    /// Takes in the state of a member, this entry included.
    void setMember(const member &known);
    /// The half that @p upstream belongs to; empty when it isn't known.
    std::optional<std::string> halfOf(const std::string &upstream) const;
    /// The owner of @p upstream; empty when it isn't known or no member of its half can own.
    std::optional<member_id> ownerOf(const std::string &upstream) const;

private:
    std::map<std::string, ownership> m_halves;
    std::map<std::string, std::string> m_halfOf;
};

} // namespace heatherroute
