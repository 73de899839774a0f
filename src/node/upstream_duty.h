#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "node/channel.h"

namespace heatherroute::node
{

/**
 * Executes the core's calls to engines and plain services and reports their results to the core.
 *
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class upstream_duty
{
public:
    upstream_duty(boost::asio::io_context &context, channel<core_event> &toCore);
    ~upstream_duty();
    upstream_duty(const upstream_duty &) = delete;
    upstream_duty &operator=(const upstream_duty &) = delete;

    /// Whether this duty executes @p action. Thread safe.
    static bool handles(const core_action &action) noexcept;
    /// Executes @p action. Precondition: handles(action).
    void perform(core_action action);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
