#pragma once

#include <string>
#include <vector>

#include "heatherroute/member.h"

namespace heatherroute
{

/// Who asks which entries to use.
struct entry_question
{
    std::string caller; ///< Tells callers apart; the same in each question of one caller.
    std::string zone; ///< The caller's availability zone; empty when it names none, then no zone is nearer.
};

/// At most so many entries are named of each of: the caller's zone, its region, and elsewhere.
inline constexpr std::size_t kMaxEntriesPerDistance = 8;

/// The region of @p zone as one of @p members there tells; empty when none is. Thread safe.
std::string regionOf(const std::string &zone, const std::vector<const member *> &members);

/**
 * The entries that a caller should use, best first.
 *
 * Takes those of @p members that are alive and of @p half. Nearer ones come first; among equally near ones the order is
 * weighted rendezvous hashing (Schindelhauer, Schomaker: "Weighted distributed hash tables", 2005) of caller and entry
 * name. It depends on nothing of the entry that answers, so all entries with the same view give the same answer; a
 * member that comes or goes moves only the callers that it must; and the weight falls with the load in a few coarse steps,
 * so that small changes of load move nobody. Thread safe.
 */
std::vector<const member *> entriesFor(const entry_question &question, const std::string &half, const std::vector<const member *> &members);

} // namespace heatherroute
