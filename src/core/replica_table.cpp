#include "heatherroute/replica_table.h"

#include <algorithm>
#include <iterator>

#include "heatherroute/assert.h"

namespace heatherroute
{

namespace
{

/// An older load report is replaced by the summary of the replica's owner.
constexpr duration kLoadLifetime = std::chrono::seconds(2);
constexpr int kMaxPickAttempts = 8;
constexpr std::uint64_t kWeightResolution = 1 << 20;

} // namespace

std::uint64_t randomBelow(placement_random &random, std::uint64_t bound)
{
    HR_ASSERT(bound > 0);
    return random() % bound;
}

replica_index replica_table::add(const replica_traits &traits)
{
    replica_index index = 0;
    if (m_freeIndices.empty()) {
        index = static_cast<replica_index>(m_replicas.size());
        m_replicas.emplace_back();
    } else {
        index = m_freeIndices.back();
        m_freeIndices.pop_back();
    }
    pool &home = poolAt(traits.pool);
    zone_bucket &bucket = bucketAt(traits.pool, traits.zone);
    replica &added = m_replicas[index];
    added = replica{};
    added.traits = traits;
    added.present = true;
    added.positionInPool = static_cast<std::uint32_t>(home.members.size());
    added.positionInZone = static_cast<std::uint32_t>(bucket.members.size());
    home.members.push_back(index);
    home.slots += traits.slots;
    bucket.members.push_back(index);
    return index;
}

void replica_table::remove(replica_index replica)
{
    HR_ASSERT(contains(replica));
    auto &removed = m_replicas[replica];
    pool &home = poolAt(removed.traits.pool);
    zone_bucket &bucket = bucketAt(removed.traits.pool, removed.traits.zone);
    const replica_index lastInPool = home.members.back();
    home.members[removed.positionInPool] = lastInPool;
    m_replicas[lastInPool].positionInPool = removed.positionInPool;
    home.members.pop_back();
    const replica_index lastInZone = bucket.members.back();
    bucket.members[removed.positionInZone] = lastInZone;
    m_replicas[lastInZone].positionInZone = removed.positionInZone;
    bucket.members.pop_back();
    home.slots -= removed.traits.slots;
    removed.present = false;
    m_freeIndices.push_back(replica);
}

bool replica_table::contains(replica_index replica) const noexcept
{
    return replica < m_replicas.size() && m_replicas[replica].present;
}

const replica_traits &replica_table::traits(replica_index replica) const
{
    HR_ASSERT(contains(replica));
    return m_replicas[replica].traits;
}

const std::vector<replica_index> &replica_table::members(pool_index pool) const
{
    static const std::vector<replica_index> kNone;
    return pool < m_pools.size() ? m_pools[pool].members : kNone;
}

void replica_table::setLoad(instant now, replica_index replica, const replica_load &load)
{
    HR_ASSERT(contains(replica));
    m_replicas[replica].load = load;
    m_replicas[replica].loadAt = now;
    m_replicas[replica].placedSinceReport = {};
}

void replica_table::setWeight(replica_index replica, double weight)
{
    HR_ASSERT(contains(replica));
    m_replicas[replica].weight = std::clamp(weight, 0.0, 1.0);
}

bool replica_table::acceptsWork(replica_index replica) const
{
    return contains(replica) && m_replicas[replica].weight > 0.0;
}

void replica_table::setSummary(const pool_summary &summary)
{
    zone_bucket &bucket = bucketAt(summary.pool, summary.zone);
    removeSummary(bucket, summary.owner);
    bucket.summaries.emplace(summary.owner, summary);
    bucket.reported += summary.replicas;
    bucket.freeSlots += summary.freeSlots;
    bucket.freePieces += summary.freePieces;
    bucket.queuedTokens += summary.queuedTokens;
}

void replica_table::removeOwner(owner_index owner)
{
    for (pool &each : m_pools) {
        for (zone_bucket &bucket : each.zones) {
            removeSummary(bucket, owner);
        }
    }
}

void replica_table::removeSummary(zone_bucket &bucket, owner_index owner)
{
    const auto old = bucket.summaries.find(owner);
    if (old == bucket.summaries.end()) {
        return;
    }
    bucket.reported -= old->second.replicas;
    bucket.freeSlots -= old->second.freeSlots;
    bucket.freePieces -= old->second.freePieces;
    bucket.queuedTokens -= old->second.queuedTokens;
    bucket.summaries.erase(old);
}

void replica_table::notePlaced(replica_index replica, std::uint32_t pieces, std::uint64_t promptTokens)
{
    HR_ASSERT(contains(replica));
    replica_load &placed = m_replicas[replica].placedSinceReport;
    placed.busySlots += 1;
    placed.usedPieces += pieces;
    placed.queuedTokens += promptTokens;
}

std::optional<replica_load> replica_table::estimate(instant now, replica_index replica) const
{
    HR_ASSERT(contains(replica));
    const auto &known = m_replicas[replica];
    replica_load load;
    if (known.load && now - known.loadAt <= kLoadLifetime) {
        load = *known.load;
    } else {
        const zone_bucket &bucket = m_pools[known.traits.pool].zones[known.traits.zone];
        const auto reported = bucket.summaries.find(known.traits.owner);
        if (reported == bucket.summaries.end() || reported->second.replicas == 0) {
            return std::nullopt;
        }
        const pool_summary &summary = reported->second;
        const std::uint32_t freeSlots = (summary.freeSlots + summary.replicas - 1) / summary.replicas;
        const std::uint32_t freePieces = (summary.freePieces + summary.replicas - 1) / summary.replicas;
        load.busySlots = known.traits.slots - std::min(known.traits.slots, freeSlots);
        load.usedPieces = known.traits.pieces - std::min(known.traits.pieces, freePieces);
        load.queuedTokens = summary.queuedTokens / summary.replicas;
    }
    load.busySlots += known.placedSinceReport.busySlots;
    load.usedPieces += known.placedSinceReport.usedPieces;
    load.queuedTokens += known.placedSinceReport.queuedTokens;
    return load;
}

std::optional<replica_index> replica_table::sample(pool_index pool, placement_random &random) const
{
    if (pool >= m_pools.size()) {
        return std::nullopt;
    }
    const std::vector<zone_bucket> &zones = m_pools[pool].zones;
    std::uint64_t total = 0;
    for (const zone_bucket &bucket : zones) {
        total += zoneWeight(bucket);
    }
    if (total == 0) {
        return std::nullopt;
    }
    std::uint64_t point = randomBelow(random, total);
    for (const zone_bucket &bucket : zones) {
        const std::uint64_t weight = zoneWeight(bucket);
        if (point < weight) {
            const auto chosen = pick(bucket.members, random);
            return chosen ? chosen : pick(members(pool), random);
        }
        point -= weight;
    }
    return std::nullopt;
}

std::optional<replica_index> replica_table::sampleUniform(pool_index pool, placement_random &random) const
{
    return pick(members(pool), random);
}

std::vector<replica_index> replica_table::sampleSeveral(pool_index pool, std::size_t count, placement_random &random) const
{
    std::vector<replica_index> chosen;
    chosen.reserve(count);
    const std::vector<replica_index> &all = members(pool);
    if (all.size() <= count) {
        std::copy_if(all.begin(), all.end(), std::back_inserter(chosen), [&](replica_index each) { return acceptsByWeight(each, random); });
        return chosen;
    }
    for (std::size_t round = 0; round < count; ++round) {
        const auto replica = sample(pool, random);
        if (replica && std::find(chosen.begin(), chosen.end(), *replica) == chosen.end()) {
            chosen.push_back(*replica);
        }
    }
    return chosen;
}

std::uint64_t replica_table::slots(pool_index pool) const
{
    return pool < m_pools.size() ? m_pools[pool].slots : 0;
}

std::optional<replica_index> replica_table::pick(const std::vector<replica_index> &members, placement_random &random) const
{
    if (members.empty()) {
        return std::nullopt;
    }
    for (int attempt = 0; attempt < kMaxPickAttempts; ++attempt) {
        const replica_index chosen = members[randomBelow(random, members.size())];
        if (acceptsByWeight(chosen, random)) {
            return chosen;
        }
    }
    // Few members accept work, so that random ones may all be others.
    const std::size_t first = randomBelow(random, members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        const replica_index next = members[(first + i) % members.size()];
        if (acceptsByWeight(next, random)) {
            return next;
        }
    }
    return std::nullopt;
}

bool replica_table::acceptsByWeight(replica_index replica, placement_random &random) const
{
    const double weight = m_replicas[replica].weight;
    return weight >= 1.0 || static_cast<double>(randomBelow(random, kWeightResolution)) < weight * static_cast<double>(kWeightResolution);
}

std::uint64_t replica_table::zoneWeight(const zone_bucket &bucket)
{
    if (bucket.members.empty()) {
        return 0;
    }
    // A zone without summaries is assumed to have four free slots per replica.
    // A zone without free slots in its summaries keeps a small weight, because the summaries lag and the zone must still be sampled.
    return bucket.reported == 0 ? bucket.members.size() * 4 : bucket.freeSlots + bucket.members.size() / 8 + 1;
}

replica_table::pool &replica_table::poolAt(pool_index index)
{
    if (index >= m_pools.size()) {
        m_pools.resize(index + std::size_t{1});
    }
    return m_pools[index];
}

replica_table::zone_bucket &replica_table::bucketAt(pool_index pool, zone_index zone)
{
    auto &zones = poolAt(pool).zones;
    if (zone >= zones.size()) {
        zones.resize(zone + std::size_t{1});
    }
    return zones[zone];
}

} // namespace heatherroute
