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

namespace heatherroute::node
{

/// How the platform's store is followed.
struct store_duty_settings
{
    std::string entryName;
    std::string peerAddress; ///< Published, so that other entries find this one.
    std::chrono::milliseconds configWait{1'000}; ///< How long one read waits for a configuration; the store may lose what it waits for from its history.
    std::chrono::milliseconds registrationInterval{900}; ///< Between two reads of upstreams' reports; each read costs.
    std::chrono::milliseconds seldomInterval{30'000}; ///< Between two reads while other entries tell what changes.
    /// After this time without a read the newest reports are read instead of all since then; an upstream reports about every second.
    std::chrono::milliseconds historyWorthReading{3'000};
    std::chrono::milliseconds outdatedSpread{600}; ///< After news of a newer configuration, within what time it is read; changes often follow each other.
    std::chrono::milliseconds entriesInterval{30'000}; ///< Between two readings of where entries are; they find each other otherwise.
    std::chrono::milliseconds firstPause{150}; ///< After a failure; doubles with each further one.
    std::chrono::milliseconds longestPause{1'000};
    /// How long the store may be silent while it gives a whole list: at first, so that a lost connection is noticed soon, and at
    /// most, when hundreds of entries ask at once.
    std::chrono::milliseconds shortPatience{1'200};
    std::chrono::milliseconds longPatience{6'000};
    std::chrono::milliseconds lostAfter{1'500}; ///< Without an answer, after which the store counts as lost.
    std::chrono::milliseconds leaseInterval{450}; ///< Between two renewals.
};

/**
 * Follows the platform's store for the relay: configuration, upstreams, other entries, and the right to give orders.
 *
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
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

    /// Starts to follow the store. Precondition: called once, before the thread starts.
    void start();
    /// Takes in what another duty says. On the duty's thread.
    void take(const store_event &event);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::node
