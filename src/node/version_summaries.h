#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>

#include "heatherroute/log_line.h"
#include "node/relay_event.h"
#include "relay/platform_store.h"

namespace heatherroute::node
{

/**
 * Finds summaries of the versions that have served in the records of the entries, and completes them by what the store's log of registrations
 * still holds since.
 *
 * Belongs to the thread of the store duty.
 */
class version_summaries
{
public:
    version_summaries(const platform_store &store, std::function<void(log_line)> log);

    /// Notes the summaries in records that were read by @p now from a store of era @p era. The one that reaches back farthest is kept.
    void note(const keyed_page &records, std::uint64_t era, instant now);
    /// Reads all registrations since the summary that is kept. Returns empty if there is none, or if the store doesn't hold all of them any more.
    boost::asio::awaitable<std::optional<recorded_versions_read>> complete();

private:
    struct noted_summary
    {
        version_summary summary;
        instant writtenBefore{}; ///< When it was read.
    };

    platform_store m_store;
    std::function<void(log_line)> m_log;
    std::optional<noted_summary> m_noted;
};

} // namespace heatherroute::node
