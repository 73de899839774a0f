#include "relay/named_entries.h"

#include <algorithm>

#include "core/entry_directory.h"

namespace heatherroute
{

std::vector<std::string> namedEntries(const std::string &zone, const std::vector<const member *> &members, std::mt19937_64 &random)
{
    const std::string region = regionOf(zone, members);
    std::vector<std::string> inZone;
    std::vector<std::string> inRegion;
    std::vector<std::string> all;
    for (const member *one : members) {
        if (one->state != member_state::Alive) {
            continue;
        }
        all.push_back(one->callerAddress);
        if (one->zone == zone) {
            inZone.push_back(one->callerAddress);
        }
        if (!region.empty() && one->region == region) {
            inRegion.push_back(one->callerAddress);
        }
    }
    std::vector<std::string> named = inZone.size() >= kEnoughNearEntries ? inZone : (inRegion.size() >= kEnoughNearEntries ? inRegion : all);
    std::shuffle(named.begin(), named.end(), random);
    named.resize(std::min(named.size(), kMostEntriesNamed));
    return named;
}

} // namespace heatherroute
