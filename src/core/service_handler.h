#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/crash_handler.h"
#include "core/deadline_queue.h"
#include "core/idempotency_table.h"
#include "core/upstream_table.h"

namespace heatherroute
{

/// Returns whether a call is idempotent according to the rules of the configuration.
using idempotency_hook = std::function<bool(const service_requested &)>;

/**
 * Handles calls to plain services.
 *
 * A call is retried only if it certainly did not run, or if the rules say that it is idempotent. A call that is not
 * idempotent and carries an idempotency key runs at most once: a duplicate at this entry is answered from the recorded
 * outcome of the first call. Not thread safe.
 */
class service_handler
{
public:
    service_handler(core_context &context, upstream_table &upstreams, crash_handler &crashes, idempotency_hook isIdempotent);

    void onRequest(service_requested request);
    void onCallerGone(caller_id caller);
    void onAnswered(service_answered event);
    /// Returns false when the attempt does not belong to a service call.
    bool onAttemptFailed(const attempt_failed &event);
    void onTick();
    /// Fails all calls immediately, with an error to each caller.
    void abortAll();

    std::size_t size() const noexcept;

private:
    struct call
    {
        service_requested request;
        instant deadline;
        attempt_id attempt;
        request_fingerprints fingerprints;
        instant sentAt{}; ///< When the current upstream got the call.
        std::string upstreamName;
        std::vector<std::string> excludedUpstreams;
        unsigned attempts = 0;
        bool idempotent = false;
        verdict outcome = verdict::NotRun;
        std::optional<idempotency_key> key; ///< Set while the call holds an idempotency key.
    };

    /// Claims the call's key. Returns false when the key is already known or cannot be stored and the caller has been answered.
    bool claimKey(call &work);
    void answerDuplicate(caller_id caller, const idempotency_key &key, key_state known);
    /// Releases the key of a call that did not run, or records that its outcome is unknown.
    void settleKey(call &work);
    const upstream_table::entry *chooseUpstream(const call &work) const;
    void start(call &work, const upstream_table::entry &target);
    void fail(call &work, unsigned status, const std::string &code, const std::string &message);
    void finish(call &work);
    call *findByAttempt(attempt_id attempt);

    core_context &m_context;
    upstream_table &m_upstreams;
    crash_handler &m_crashes;
    idempotency_hook m_isIdempotent;
    idempotency_table m_keys;
    std::map<caller_id, call> m_calls;
    std::map<attempt_id, caller_id> m_attempts;
    deadline_queue<caller_id> m_timers;
};

} // namespace heatherroute
