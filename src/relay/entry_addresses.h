#pragma once

#include <random>
#include <string>
#include <vector>

#include "heatherroute/member.h"

namespace heatherroute
{

/// With fewer entries near the caller, more distant ones are returned too, so that an alternative remains after the loss of one.
inline constexpr std::size_t kMinNearbyEntries = 2;
/// Maximum number of addresses that a caller uses from one answer.
inline constexpr std::size_t kMaxEntryAddresses = 64;

/**
 * Returns the addresses of the entries that callers in @p zone should use, in random order.
 *
 * Load pattern: callers cache the answer for seconds and pick any of its addresses for each connection, so a distant entry
 * would get as many connections as a near one. Therefore only the entries of the caller's zone are returned if there are
 * enough, otherwise those of its region, otherwise all. Only live entries of @p members are returned: callers would use
 * draining or dead ones for as long as they cache the answer. Thread safe, except for @p random.
 */
std::vector<std::string> selectEntryAddresses(const std::string &zone, const std::vector<const member *> &members, std::mt19937_64 &random);

} // namespace heatherroute
