#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/registration.h"
#include "relay/platform_store.h"

namespace heatherroute
{

/// What records of the registrations say of the upstreams.
struct registration_changes
{
    /// The newest registration of each instance. Those of one id are in the order of the records.
    std::vector<registration> reports;
    std::vector<std::string> removed; ///< Ids of upstreams whose newest record removes their registration.
    std::vector<std::pair<std::string, std::string>> unreadable; ///< Keys whose newest record is no registration, and why.

    bool operator==(const registration_changes &) const = default;
};

/**
 * Sums up @p records, which are in the order in which they were written.
 *
 * Load pattern: an engine comes back under its id with another version, writes streams and crashes again, all within one read of the store. The
 * last record alone wouldn't show that it had that version. Thread safe if @p decode is.
 */
registration_changes changesIn(const std::vector<keyed_record> &records,
                               const std::function<std::optional<registration>(const keyed_record &, last_reason *)> &decode);

} // namespace heatherroute
