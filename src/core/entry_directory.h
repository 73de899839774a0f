#pragma once

#include <string>
#include <vector>

#include "heatherroute/member.h"

namespace heatherroute
{

/// A caller's query for the entries to use.
struct entry_query
{
    std::string caller; ///< Identifies the caller; the same in each query of one caller.
    std::string zone; ///< The caller's availability zone; if empty, all entries are treated as equally near.
};

/// Maximum number of entries returned from each of the caller's zone, the rest of its region, and other regions.
inline constexpr std::size_t kMaxEntriesPerDistance = 8;

/// Returns the region of @p zone, taken from the first of @p members in that zone; empty when there is none. Thread safe.
std::string regionOf(const std::string &zone, const std::vector<const member *> &members);

/**
 * Returns the entries that a caller should use, best first.
 *
 * Considers the entries among @p members that are alive and belong to @p half. Nearer entries come first. Equally near ones
 * are ordered by weighted rendezvous hashing (Schindelhauer, Schomaker: "Weighted distributed hash tables", 2005) of the
 * caller and the entry name. The result does not depend on the entry that answers, so all entries with the same view give the
 * same answer, and a member that joins or leaves moves as few callers as possible. The weight falls with the load in a few
 * coarse steps, so that small changes of load move no callers. Thread safe.
 */
std::vector<const member *> entriesFor(const entry_query &query, const std::string &half, const std::vector<const member *> &members);

} // namespace heatherroute
