#pragma once

#include <string>

#include "heatherroute/config_record.h"
#include "heatherroute/config_state.h"
#include "heatherroute/inventory.h"

namespace heatherroute::control
{

/// Who publishes what.
struct publication
{
    std::string publishId;
    std::string operatorName;
    std::string half;
    inventory wanted; ///< All that the half should have.
};

/**
 * The change that leads from @p state to what @p wanted declares for its half.
 *
 * Only what differs is named. Rules are added and replaced, never removed, because they belong to both halves. Thread safe.
 */
config_change changeFor(const config_state &state, const publication &wanted);

/// Whether @p change would change nothing. Thread safe.
bool isEmpty(const config_change &change);

} // namespace heatherroute::control
