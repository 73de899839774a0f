#pragma once

#include <string>

#include "heatherroute/config_record.h"
#include "heatherroute/config_state.h"
#include "heatherroute/inventory.h"

namespace heatherroute::control
{

/// The inventory of one half as an operator publishes it.
struct publication
{
    std::string publishId;
    std::string operatorName;
    std::string half;
    inventory wanted; ///< Everything that the half should have.
};

/**
 * Computes the change from @p state to the inventory that @p wanted declares for its half.
 *
 * The change contains only the differences. Rules are added and replaced but never removed, because both halves share them. Thread safe.
 */
config_change changeFor(const config_state &state, const publication &wanted);

/// Whether @p change has no effect. Thread safe.
bool isEmpty(const config_change &change);

} // namespace heatherroute::control
