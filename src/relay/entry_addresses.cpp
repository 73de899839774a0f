#include "relay/entry_addresses.h"

#include <algorithm>

#include "core/entry_directory.h"

namespace heatherroute
{

std::vector<std::string> selectEntryAddresses(const std::string &zone, const std::vector<const member *> &members, std::mt19937_64 &random)
{
    const std::string region = regionOf(zone, members);
    std::vector<std::string> inZone;
    std::vector<std::string> inRegion;
    std::vector<std::string> all;
    for (const member *entry : members) {
        if (entry->state != member_state::Alive) {
            continue;
        }
        all.push_back(entry->callerAddress);
        if (entry->zone == zone) {
            inZone.push_back(entry->callerAddress);
        }
        if (!region.empty() && entry->region == region) {
            inRegion.push_back(entry->callerAddress);
        }
    }
    std::vector<std::string> selected = inZone.size() >= kMinNearbyEntries ? inZone : (inRegion.size() >= kMinNearbyEntries ? inRegion : all);
    std::shuffle(selected.begin(), selected.end(), random);
    selected.resize(std::min(selected.size(), kMaxEntryAddresses));
    return selected;
}

} // namespace heatherroute
