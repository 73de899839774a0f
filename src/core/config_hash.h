#pragma once

#include "heatherroute/config_state.h"

#include <cstdint>
#include <string_view>

namespace heatherroute::detail
{

/**
 * Hashes of the individual parts of a configuration (XXH3, 64 bits).
 *
 * The digest of a configuration is their sum modulo 2^64, so that a change only needs the hashes of the parts that it
 * touches and the order of the parts doesn't matter. All functions are thread safe.
 */
std::uint64_t hashOf(const versioned_upstream &value);
std::uint64_t hashOf(const versioned_rule &value);
std::uint64_t hashOf(const remembered_publish &value);
std::uint64_t hashOfRemoval(entity_kind kind, std::string_view key, log_offset offset);
std::uint64_t hashOfHalf(std::string_view half, log_offset offset);
/// Hash of the two revisions, which are single values: it is computed for each digest, whereas the sum of the other hashes is
/// kept and updated with each change.
std::uint64_t hashOfRevisions(const config_revision &revision, const config_revision &forgottenRemoval);

} // namespace heatherroute::detail
