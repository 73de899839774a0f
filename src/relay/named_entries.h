#pragma once

#include <random>
#include <string>
#include <vector>

#include "heatherroute/member.h"

namespace heatherroute
{

/// Entries near the caller below which others are named too, so that one loss leaves a choice.
inline constexpr std::size_t kEnoughNearEntries = 2;
/// A caller takes no more from one answer.
inline constexpr std::size_t kMostEntriesNamed = 64;

/**
 * The addresses of the entries that callers in @p zone are told to use, in random order.
 *
 * Load pattern: callers keep the answer for seconds and pick any address of it for each connection, so an entry far away would
 * get as many as a near one. Those of the caller's zone are named alone when there are enough, then those of its region, then
 * all. Only entries of @p members that are alive are named: those that drain or are gone would be asked for as long as the
 * answer is kept. Thread safe, but for @p random.
 */
std::vector<std::string> namedEntries(const std::string &zone, const std::vector<const member *> &members, std::mt19937_64 &random);

} // namespace heatherroute
