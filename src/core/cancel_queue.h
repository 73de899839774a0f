#pragma once

#include <map>
#include <string>

#include "core/core_context.h"
#include "core/deadline_queue.h"

namespace heatherroute
{

/**
 * Retries cancel orders until the engine has confirmed them, so that a lost order does not leave engine memory allocated.
 *
 * An order expires after kOrderLifetime (10 minutes). By then, the deadline that every engine request carries has normally freed
 * the memory, or the engine is gone; a caller may set a later deadline, of at most one hour. Not thread safe.
 */
class cancel_queue
{
public:
    explicit cancel_queue(core_context &context);

    /// Orders the engine at @p address to free what it holds for @p engineRequest.
    void cancel(const std::string &address, const std::string &engineRequest);
    /// Processes the outcome of an order.
    void onFinished(const cancel_finished &event);
    /// Resends the orders whose backoff has ended.
    void onTick();
    /// Returns the number of unconfirmed orders.
    std::size_t size() const noexcept;

private:
    struct pending
    {
        std::string address;
        std::string engineRequest;
        instant expiresAt;
        duration backoff;
    };

    void send(attempt_id attempt, const pending &order);

    core_context &m_context;
    std::map<attempt_id, pending> m_pending;
    deadline_queue<attempt_id> m_retries;
};

} // namespace heatherroute
