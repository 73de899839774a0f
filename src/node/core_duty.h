#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "heatherroute/core_action.h"
#include "heatherroute/core_event.h"
#include "heatherroute/router_core.h"
#include "node/channel.h"

namespace heatherroute::node
{

/**
 * Runs the decision core: takes events from every duty and hands actions on.
 *
 * The core never waits. When a duty's channel is full, its actions wait here and no further event is taken until they are
 * gone, so the wait is bounded by what one event causes, and the channels into the core fill and slow their producers.
 * Belongs to the thread that runs its io_context; make it before the thread starts and destroy it after the thread ended.
 */
class core_duty
{
public:
    /// Chooses the output of an action; returns an index into the outputs.
    using route_hook = std::function<std::size_t(const core_action &)>;

    core_duty(boost::asio::io_context &context, std::unique_ptr<router_core> core);

    /// Adds a channel that events come from. Precondition: the thread has not started.
    void addInput(channel<core_event> &input);
    /// Adds a channel that actions go to. Precondition: the thread has not started.
    void addOutput(channel<core_action> &output);
    /// Sets how actions find their output. Precondition: the thread has not started.
    void setRoute(route_hook route);
    /// Starts the core's timer. Precondition: all channels are added.
    void start();

private:
    struct output
    {
        channel<core_action> *target;
        std::deque<core_action> waiting;
    };

    void drain();
    bool flush();
    void dispatch(core_event event);
    void armTick();
    void armRetry();

    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::io_context &m_context;
    std::unique_ptr<router_core> m_core;
    std::vector<channel<core_event> *> m_inputs;
    std::vector<output> m_outputs;
    route_hook m_route;
    bool m_retryArmed = false;
};

} // namespace heatherroute::node
