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
 * Runs the decision core: passes the events of all duties to it and routes its actions to the duties that execute them.
 *
 * The core never blocks. When an output channel is full, its actions are queued here, and no further event is processed until
 * that queue is empty. So the queue holds at most the actions of one event, and the input channels fill and slow their producers.
 * Runs on the thread of its io_context: create it before the thread starts and destroy it after the thread has ended.
 */
class core_duty
{
public:
    /// Chooses the output of an action; returns an index into the outputs.
    using route_hook = std::function<std::size_t(const core_action &)>;

    core_duty(boost::asio::io_context &context, std::unique_ptr<router_core> core);

    /// Adds a channel from which events are read. Precondition: the thread has not started.
    void addInput(channel<core_event> &input);
    /// Adds a channel to which actions are written. Precondition: the thread has not started.
    void addOutput(channel<core_action> &output);
    /// Sets the function that chooses the output of each action. Precondition: the thread has not started.
    void setRoute(route_hook route);
    /// Starts the timer that sends ticks to the core. Precondition: all channels are added.
    void start();

private:
    struct output
    {
        channel<core_action> *target;
        std::deque<core_action> pending;
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
