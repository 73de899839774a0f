#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "net/memory_budget.h"
#include "node/channel.h"

namespace heatherroute::node
{

/**
 * Executes the core's calls to engines and plain services and reports their results to the core.
 *
 * An upstream that sends without end is cut off: answers to the router's own calls are small, those of services share the budget of the process, and
 * a decode stream ends with its first malformed event.
 *
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class upstream_duty
{
public:
    /// @p memory: the budget for collected answers; none when null.
    upstream_duty(boost::asio::io_context &context, channel<core_event> &toCore, std::shared_ptr<net::memory_budget> memory);
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
