#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/answer_progress.h"
#include "core/cancel_queue.h"
#include "core/core_context.h"
#include "core/crash_handler.h"
#include "core/deadline_queue.h"
#include "core/engine_selector.h"
#include "core/upstream_table.h"

namespace heatherroute
{

/// The phase of a generation.
enum class generation_phase {
    Prefilling, ///< The prefill is in flight; decode memory is already reserved.
    Decoding, ///< Tokens are read from the decode engine's stream.
};

/**
 * Handles generations from the caller's request to the last token.
 *
 * Decode memory is reserved before the prefill starts, because a prefill engine keeps the result for less than a second. A
 * lost stream is first resumed on the same decode engine over a new connection. When a decode engine fails before the first
 * token, another one can import the same KV cache while it is available. In all other cases the generation restarts on a new
 * pair of engines, with a prefill of the prompt and the tokens delivered so far. After a lost connection, it first waits for the
 * check of the engine: if that has ended, it counts as a crash under the request before another engine gets it. Every attempt has its own id, so messages of
 * a superseded attempt are ignored. Not thread safe.
 */
class generation_handler
{
public:
    generation_handler(core_context &context, const upstream_table &upstreams, engine_selector &engines, cancel_queue &cancels, crash_handler &crashes);

    void onRequest(generation_requested request);
    void onCallerGone(caller_id caller);
    void onPrefillFinished(const prefill_finished &event);
    void onTokens(const tokens_received &event);
    void onDecodeFinished(const decode_finished &event);
    /// Returns false when the attempt does not belong to a generation.
    bool onAttemptFailed(const attempt_failed &event);
    /// Continues the generations that waited for the check of @p upstreamName.
    void onChecked(const std::string &upstreamName);
    void onTick();
    /// Fails all generations immediately, with an error to each caller.
    void abortAll();

    std::size_t size() const noexcept;

private:
    struct generation
    {
        generation_requested request;
        request_fingerprints fingerprints;
        instant sentAt{}; ///< When the current engine got its work.
        instant deadline;
        generation_phase phase = generation_phase::Prefilling;
        attempt_id attempt;
        std::string engineRequest; ///< Request id of the current placement on both of its engines; a new placement gets a new id.
        std::string prefillName;
        std::string prefillAddress;
        std::string kvId;
        instant kvExpires;
        std::string decodeName;
        std::string decodeAddress;
        placement_progress progress; ///< Progress of the current placement.
        answer_progress answer;
        std::uint32_t pieces = 0; ///< Number of pieces reserved on the decode engine.
        std::uint32_t delivered = 0; ///< Number of tokens delivered to the caller.
        std::string generated; ///< Text of the delivered tokens, needed to continue on another engine.
        std::vector<std::string> excludedEngines; ///< Names of engines that failed this generation.
        unsigned attempts = 0;
        std::optional<attempt_failed> heldFailure; ///< The lost connection after which a check of its engine is in progress.
        bool resumed = false; ///< Whether the stream was resumed and has not delivered a new token since.
        verdict outcome = verdict::NotRun;
    };

    /// Returns the reason why the request is invalid; empty for a valid request.
    std::string validationError(const generation_requested &request) const;
    generation *findByAttempt(attempt_id attempt);
    bool reserveEngines(generation &work);
    void startPrefill(generation &work);
    void startDecode(generation &work);
    /// Imports the same KV cache on another decode engine; returns false when the cache may be gone, no engine has room, or no attempt is left.
    bool moveDecode(generation &work);
    void resumeDecode(generation &work);
    /// Resumes, moves, restarts or fails the generation after the end of its attempt.
    void continueAfter(generation &work, const attempt_failed &event);
    void continueHeld(generation &work);
    bool isQuarantined(const generation &work);
    /// Restarts the generation on a new pair of engines, excluding the engine of the lost attempt when @p engineAtFault is set.
    void retry(generation &work, const std::string &reason, bool engineAtFault = true);
    /// Fails the generation if its deadline has passed; returns whether it did.
    bool failIfExpired(generation &work);
    /// Sets the outcome to at least MayHaveRun when an attempt is abandoned while in flight.
    void markInFlightMayHaveRun(generation &work);
    void setAttempt(generation &work);
    void dropAttempt(generation &work);
    void releaseDecode(generation &work);
    void releasePrefill(generation &work);
    void releaseAll(generation &work);
    void armTimer(const generation &work);
    void onTimer(generation &work);
    void fail(generation &work, unsigned status, const std::string &code, const std::string &message);
    void reject(caller_id caller, unsigned status, const std::string &code, const std::string &message, std::optional<duration> retryAfter);
    void finish(generation &work);
    static engine_requirements requirementsOf(const generation &work);
    /// Returns the name of the engine that works on the current phase.
    static const std::string &currentEngine(const generation &work);

    core_context &m_context;
    const upstream_table &m_upstreams;
    engine_selector &m_engines;
    cancel_queue &m_cancels;
    crash_handler &m_crashes;
    std::map<caller_id, generation> m_generations;
    std::map<attempt_id, caller_id> m_attempts;
    deadline_queue<caller_id> m_timers;
};

} // namespace heatherroute
