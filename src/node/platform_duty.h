#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "node/channel.h"

namespace heatherroute::node
{

/// Where the platform is and how it is read.
struct platform_options
{
    boost::asio::ip::tcp::endpoint log;
    std::string configStream;
    std::optional<boost::asio::ip::tcp::endpoint> vms; ///< Where the VM list is; empty when it isn't to be read.
    std::chrono::milliseconds vmsInterval{5'000}; ///< Mean time between two reads of the VM list.
    std::chrono::milliseconds pollWait{1'000}; ///< How long one read waits for a record.
    std::chrono::milliseconds timeout{2'000}; ///< Silence beyond the wait after which a read has failed.
};

/**
 * Reads and appends to the platform's log for the core, and reads the VM list from time to time.
 *
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class platform_duty
{
public:
    platform_duty(boost::asio::io_context &context, platform_options options, channel<core_event> &toCore);
    ~platform_duty();
    platform_duty(const platform_duty &) = delete;
    platform_duty &operator=(const platform_duty &) = delete;

    /// Starts to read the VM list. Precondition: called once, before the thread starts.
    void start();

    /// Whether @p action is one that this duty carries out. Thread safe.
    static bool takes(const core_action &action) noexcept;
    /// Carries out @p action. Precondition: takes(action).
    void perform(core_action action);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
