#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "node/channel.h"

namespace heatherroute::node
{

/**
 * Carries out the core's calls to engines and plain services and reports what comes of them.
 *
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class upstream_duty
{
public:
    upstream_duty(boost::asio::io_context &context, channel<core_event> &toCore);
    ~upstream_duty();
    upstream_duty(const upstream_duty &) = delete;
    upstream_duty &operator=(const upstream_duty &) = delete;

    /// Whether @p action is one that this duty carries out. Thread safe.
    static bool takes(const core_action &action) noexcept;
    /// Carries out @p action. Precondition: takes(action).
    void perform(core_action action);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute::node
