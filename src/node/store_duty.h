#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "heatherroute/log_line.h"
#include "node/channel.h"
#include "node/relay_event.h"
#include "relay/platform_store.h"
#include "relay/store_read_schedule.h"
#include "relay/store_read_watch.h"

namespace heatherroute::node
{

/// Identity, intervals and timeouts for access to the platform's store.
struct store_duty_settings
{
    std::string entryName;
    std::string peerAddress; ///< Published in the store for discovery by other entries.
    /// Long-poll timeout of a configuration read. It is short because the store may drop the awaited record from its history meanwhile.
    std::chrono::milliseconds configWait{1'000};
    store_read_settings reads;
    /// If the last read is older than this, the newest record of each upstream is read instead of the history since then. An upstream
    /// reports about once a second, so the history would be longer.
    std::chrono::milliseconds maxHistoryAge{3'000};
    /// Maximum delay between learning of a newer configuration and reading it. Configuration changes often come in quick succession,
    /// and one read after the delay covers several of them.
    std::chrono::milliseconds maxOutdatedReadDelay{600};
    /// Maximum delay of the reads and writes that follow when the store comes back from an older copy.
    std::chrono::milliseconds maxRestoredReadDelay{600};
    store_read_watch_settings readWatch; ///< Timeouts for reading snapshots; probes of a silent store.
    std::chrono::milliseconds lostAfter{1'500}; ///< Time without an answer after which the store counts as unreachable.
    std::chrono::milliseconds leaseInterval{450}; ///< Between two renewals of the lease.
};

/**
 * Reads the configuration, the upstreams and the addresses of other entries from the platform's store, and keeps the lease.
 *
 * Belongs to the thread that runs its io_context. Must be made before that thread starts and destroyed after it has ended.
 */
class store_duty
{
public:
    store_duty(boost::asio::io_context &context,
               store_duty_settings settings,
               platform_store store,
               channel<relay_event> &toRelay,
               channel<member_event> &toMembers,
               std::function<void(log_line)> log);
    ~store_duty();
    store_duty(const store_duty &) = delete;
    store_duty &operator=(const store_duty &) = delete;

    /// Starts reading the store. Precondition: called once, before the thread starts.
    void start();
    /// Handles an event from another duty. Must be called on this duty's thread.
    void handle(const store_event &event);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::node
