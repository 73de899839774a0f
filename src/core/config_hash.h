#pragma once

#include "heatherroute/config_state.h"

#include <cstdint>
#include <string_view>

namespace heatherroute::detail
{

/**
 * Hashes of the single parts of a configuration (XXH3, 64 bits).
 *
 * The digest of a configuration is their sum modulo 2^64, so that one change costs only the parts that it touches and
 * the order doesn't matter. All functions are thread safe.
 */
std::uint64_t hashOf(const written_upstream &value);
std::uint64_t hashOf(const written_rule &value);
std::uint64_t hashOf(const remembered_publish &value);
std::uint64_t hashOfRemoval(entity_kind kind, std::string_view key, log_offset offset);
std::uint64_t hashOfHalf(std::string_view half, log_offset offset);
/// Of the two revisions that aren't parts of a list.
std::uint64_t hashOfRevisions(const config_revision &revision, const config_revision &forgottenRemoval);

} // namespace heatherroute::detail
