#include "core/entry_directory.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <xxhash.h>

namespace heatherroute
{

namespace
{

/// The distance between an entry and the caller, in order of preference.
enum class distance : std::uint8_t {
    SameZone,
    SameRegion,
    Elsewhere,
};
constexpr std::size_t kDistances = 3;

constexpr std::uint32_t kLoadStepPermille = 250;
constexpr std::uint32_t kMaxLoadStep = 4; ///< The load step of a full entry.
constexpr double kWeightPerStep = 0.24; ///< Leaves a full entry a small weight; otherwise all its callers would move at the same time.

struct ranked_entry
{
    distance distanceClass = distance::Elsewhere;
    double score = 0; ///< A smaller score is better.
    const member *entry = nullptr;
};

double weightOf(const member &entry)
{
    const std::uint32_t step = std::min(entry.summary.loadPermille / kLoadStepPermille, kMaxLoadStep);
    return 1.0 - kWeightPerStep * step;
}

double scoreOf(const std::string &caller, const member &entry)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(entry.id.name.data(), entry.id.name.size(), XXH3_64bits(caller.data(), caller.size()));
    // The upper 53 bits give an exactly representable double in (0, 1).
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
    return -std::log(uniform) / weightOf(entry);
}

distance distanceTo(const member &entry, const std::string &zone, const std::string &region)
{
    if (zone.empty() || entry.zone == zone) {
        return distance::SameZone;
    }
    return !region.empty() && entry.region == region ? distance::SameRegion : distance::Elsewhere;
}

} // namespace

std::string regionOf(const std::string &zone, const std::vector<const member *> &members)
{
    const auto found = std::find_if(members.begin(), members.end(), [&zone](const member *one) { return one->zone == zone; });
    return found == members.end() ? std::string() : (*found)->region;
}

std::vector<const member *> entriesFor(const entry_query &query, const std::string &half, const std::vector<const member *> &members)
{
    const std::string region = regionOf(query.zone, members);
    std::vector<ranked_entry> ranked;
    for (const member *one : members) {
        if (one->state == member_state::Alive && one->half == half) {
            ranked.push_back({distanceTo(*one, query.zone, region), scoreOf(query.caller, *one), one});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_entry &left, const ranked_entry &right) {
        return std::tie(left.distanceClass, left.score, left.entry->id) < std::tie(right.distanceClass, right.score, right.entry->id);
    });
    std::array<std::size_t, kDistances> countPerDistance{};
    std::vector<const member *> result;
    for (const ranked_entry &one : ranked) {
        if (countPerDistance[static_cast<std::size_t>(one.distanceClass)]++ < kMaxEntriesPerDistance) {
            result.push_back(one.entry);
        }
    }
    return result;
}

} // namespace heatherroute
