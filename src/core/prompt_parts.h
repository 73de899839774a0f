#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heatherroute
{

/**
 * Returns fingerprints of leading parts of a @p prompt for @p model, shortest first and at most kMaxSharedParts.
 *
 * A part ends with a block of 64 tokens, as in the prefix caches of engines; all parts but the whole prompt count. Of the blocks of a
 * long prompt some are chosen, more densely at its beginning, where prompts have more in common. Thread safe.
 */
std::vector<std::uint64_t> promptPartsOf(const std::string &model, const std::string &prompt);

} // namespace heatherroute
