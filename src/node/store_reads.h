#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

#include "heatherroute/log_line.h"
#include "relay/platform_store.h"
#include "relay/store_read_watch.h"

namespace heatherroute::node
{

/**
 * Reads the streams of the platform's store. Gives up reads that were sent while the store was silent, and probes it meanwhile; store_read_watch
 * decides when.
 *
 * Belongs to the thread that runs its io_context. Must be destroyed after that thread has ended.
 */
class store_reads
{
public:
    store_reads(boost::asio::io_context &context, const platform_store &store, const store_read_watch_settings &settings, std::function<void(log_line)> log);
    ~store_reads();
    store_reads(const store_reads &) = delete;
    store_reads &operator=(const store_reads &) = delete;

    /// As platform_store::readNewest, with the timeout that follows from earlier reads of the stream. Precondition: no read of @p stream is pending.
    boost::asio::awaitable<keyed_page> readNewest(store_stream stream);
    /// As platform_store::readFrom. Precondition: no read of @p stream is pending.
    boost::asio::awaitable<keyed_page> readFrom(store_stream stream, std::uint64_t from, std::chrono::milliseconds wait);
    /// Returns the number of failed reads of @p stream in a row, see store_read_watch::failures().
    std::uint32_t failures(store_stream stream) const;
    /// Sets the minimum mean interval between two probes.
    void setMinProbeInterval(std::chrono::milliseconds interval);
    /// Records that the store answered a call other than these reads, which was sent at @p sentAt.
    void noteAnswer(instant sentAt);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace heatherroute::node
