#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/deadline_queue.h"
#include "core/idempotency_table.h"
#include "core/upstream_table.h"

namespace heatherroute
{

/// Tells whether a call may be repeated, from the rules of the configuration.
using idempotency_hook = std::function<bool(const service_requested &)>;

/**
 * Carries calls to plain services.
 *
 * A call is sent again only if it certainly did not run, or if the rules say that it is idempotent. A call that is not
 * idempotent and carries a key runs at most once: a repeat at this entry is answered from what is known of the first.
 * Not thread safe.
 */
class service_flow
{
public:
    service_flow(core_context &context, upstream_table &upstreams, idempotency_hook isIdempotent);

    void onRequest(service_requested request);
    void onCallerGone(caller_id caller);
    void onAnswered(service_answered event);
    /// Returns false when the attempt is not one of a service call.
    bool onAttemptFailed(const attempt_failed &event);
    void onTick();
    /// Ends every call at once with an error to its caller.
    void cutAll();

    std::size_t size() const noexcept;

private:
    struct call
    {
        service_requested request;
        instant deadline;
        attempt_id attempt;
        std::string upstreamName;
        std::vector<std::string> avoid;
        unsigned tries = 0;
        bool idempotent = false;
        verdict outcome = verdict::NotRun;
        std::optional<idempotency_key> key; ///< Set when the call holds it.
    };

    /// Takes the call's key; false when the caller was answered from what is known of it.
    bool claimKey(call &work);
    void answerRepeat(caller_id caller, const idempotency_key &key, key_state known);
    void recordEnd(call &work);
    const upstream_table::entry *choose(const call &work) const;
    void start(call &work, const upstream_table::entry &target);
    void fail(call &work, unsigned status, const std::string &code, const std::string &message);
    void finish(call &work);
    call *findByAttempt(attempt_id attempt);

    core_context &m_context;
    upstream_table &m_upstreams;
    idempotency_hook m_isIdempotent;
    idempotency_table m_keys;
    std::map<caller_id, call> m_calls;
    std::map<attempt_id, caller_id> m_attempts;
    deadline_queue<caller_id> m_timers;
};

} // namespace heatherroute
