#include "node/core_duty.h"

#include "node/core_time.h"

namespace heatherroute::node
{

namespace
{

constexpr std::chrono::milliseconds kTickInterval{20};
/// Maximum number of events processed from one input before the next input is served.
constexpr unsigned kEventsPerTurn = 64;

} // namespace

core_duty::core_duty(boost::asio::io_context &context, std::unique_ptr<router_core> core)
    : m_tickTimer(context)
    , m_retryTimer(context)
    , m_context(context)
    , m_core(std::move(core))
{ }

void core_duty::addInput(channel<core_event> &input)
{
    input.setConsumer(m_context, [this] { drain(); });
    m_inputs.push_back(&input);
}

void core_duty::addOutput(channel<core_action> &target)
{
    m_outputs.push_back({&target, {}});
}

void core_duty::setRoute(route_hook route)
{
    m_route = std::move(route);
}

void core_duty::start()
{
    armTick();
}

void core_duty::drain()
{
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (channel<core_event> *input : m_inputs) {
            for (unsigned i = 0; i < kEventsPerTurn; ++i) {
                if (!flush()) {
                    armRetry();
                    return;
                }
                std::optional<core_event> event = input->tryPop();
                if (!event) {
                    break;
                }
                progressed = true;
                dispatch(std::move(*event));
            }
        }
    }
}

bool core_duty::flush()
{
    for (output &out : m_outputs) {
        while (!out.pending.empty()) {
            if (!out.target->tryPush(out.pending.front())) {
                return false;
            }
            out.pending.pop_front();
        }
    }
    return true;
}

void core_duty::dispatch(core_event event)
{
    for (core_action &action : m_core->handle(coreNow(), std::move(event))) {
        const std::size_t index = m_route(action);
        output &out = m_outputs.at(index);
        if (!out.pending.empty() || !out.target->tryPush(action)) {
            out.pending.push_back(std::move(action));
        }
    }
}

void core_duty::armTick()
{
    m_tickTimer.expires_after(kTickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (flush()) {
            dispatch(tick{});
        }
        armTick();
    });
}

void core_duty::armRetry()
{
    if (m_retryArmed) {
        return;
    }
    m_retryArmed = true;
    m_retryTimer.expires_after(kFullChannelWait);
    m_retryTimer.async_wait([this](const boost::system::error_code &error) {
        m_retryArmed = false;
        if (!error) {
            drain();
        }
    });
}

} // namespace heatherroute::node
