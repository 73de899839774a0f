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

/// Addresses of the platform's services and the timing of requests to them.
struct platform_options
{
    boost::asio::ip::tcp::endpoint log;
    std::string configStream;
    std::optional<boost::asio::ip::tcp::endpoint> vms; ///< Address of the VM list; empty when the list is not read.
    std::chrono::milliseconds vmPollInterval{5'000}; ///< Mean time between two reads of the VM list.
    std::chrono::milliseconds pollWait{1'000}; ///< How long one read of the log waits for a record.
    std::chrono::milliseconds timeout{2'000}; ///< A call fails after this time beyond pollWait without progress.
};

/**
 * Reads and appends to the platform's log for the core, and polls the VM list.
 *
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class platform_duty
{
public:
    platform_duty(boost::asio::io_context &context, platform_options options, channel<core_event> &toCore);
    ~platform_duty();
    platform_duty(const platform_duty &) = delete;
    platform_duty &operator=(const platform_duty &) = delete;

    /// Starts polling the VM list, if its address is set. Precondition: called once, before the thread starts.
    void start();

    /// Whether this duty executes @p action. Thread safe.
    static bool handles(const core_action &action) noexcept;
    /// Executes @p action. Precondition: handles(action).
    void perform(core_action action);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
