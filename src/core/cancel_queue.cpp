#include "core/cancel_queue.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(5);
constexpr duration kOrderLifetime = std::chrono::minutes(10);

} // namespace

cancel_queue::cancel_queue(core_context &context)
    : m_context(context)
{ }

void cancel_queue::cancel(const std::string &address, const std::string &engineRequest)
{
    const attempt_id attempt = m_context.nextAttempt();
    const pending order{address, engineRequest, m_context.now() + kOrderLifetime, kInitialBackoff};
    m_pending.emplace(attempt, order);
    send(attempt, order);
}

void cancel_queue::onFinished(const cancel_finished &event)
{
    const auto found = m_pending.find(event.attempt);
    if (found == m_pending.end()) {
        return;
    }
    if (event.done || m_context.now() >= found->second.expiresAt) {
        m_pending.erase(found);
        return;
    }
    m_retries.set(event.attempt, m_context.now() + found->second.backoff);
    found->second.backoff = std::min(found->second.backoff * 2, kMaxBackoff);
}

void cancel_queue::onTick()
{
    for (const attempt_id attempt : m_retries.takeDue(m_context.now())) {
        send(attempt, m_pending.at(attempt));
    }
}

std::size_t cancel_queue::size() const noexcept
{
    return m_pending.size();
}

void cancel_queue::send(attempt_id attempt, const pending &order)
{
    m_context.emit(cancel_request{attempt, order.address, order.engineRequest});
}

} // namespace heatherroute
