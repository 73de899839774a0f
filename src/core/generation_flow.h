#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/cancel_queue.h"
#include "core/core_context.h"
#include "core/deadline_queue.h"
#include "core/engine_selector.h"
#include "core/upstream_table.h"

namespace heatherroute
{

/// Where a generation stands.
enum class generation_phase {
    Prefilling, ///< Waits for a prefill engine; decode memory is reserved.
    Decoding, ///< Reads a decode engine's stream.
};

/**
 * Carries generations from the caller's request to the last token.
 *
 * Decode memory is reserved before the prefill starts, because a prefill's result lives under a second. A lost attempt is
 * replaced: before the first token by a new one, after it by a resume on the same engine over a new connection or by a move
 * to another engine. Every attempt has an id of its own, so what a superseded one still sends is dropped. Not thread safe.
 */
class generation_flow
{
public:
    generation_flow(core_context &context, const upstream_table &upstreams, engine_selector &engines, cancel_queue &cancels);

    void onRequest(generation_requested request);
    void onCallerGone(caller_id caller);
    void onPrefillFinished(const prefill_finished &event);
    void onTokens(const tokens_received &event);
    void onDecodeFinished(const decode_finished &event);
    /// Returns false when the attempt is not one of a generation.
    bool onAttemptFailed(const attempt_failed &event);
    void onTick();
    /// Ends every generation at once with an error to its caller.
    void cutAll();

    std::size_t size() const noexcept;

private:
    struct generation
    {
        generation_requested request;
        instant deadline;
        generation_phase phase = generation_phase::Prefilling;
        attempt_id attempt;
        std::string engineRequest; ///< Names one placement on both of its engines; a new placement gets a new one.
        std::string prefillName;
        std::string prefillAddress;
        std::string kvId;
        instant kvExpires;
        std::string decodeName;
        std::string decodeAddress;
        engine_marks marks; ///< Of the current placement.
        std::uint32_t pieces = 0; ///< Reserved on the decode engine.
        std::uint32_t delivered = 0; ///< Tokens handed to the caller.
        std::string generated; ///< Their text, for a move to another engine.
        std::vector<std::string> avoid; ///< Engines that failed this generation.
        unsigned tries = 0;
        bool resumed = false; ///< Whether the current engine has been resumed without a token since.
        verdict outcome = verdict::NotRun;
    };

    std::string refusalOf(const generation_requested &request) const;
    generation *findByAttempt(attempt_id attempt);
    bool place(generation &work);
    void startPrefill(generation &work);
    void startDecode(generation &work);
    bool moveDecode(generation &work);
    void resumeDecode(generation &work);
    /// Starts over at another place; the engine of the lost attempt is avoided when it is at fault.
    void tryAgain(generation &work, const std::string &why, bool engineAtFault = true);
    /// Ends a generation whose deadline has passed; true if it did.
    bool endIfLate(generation &work);
    /// An attempt that is given up while it runs may have run.
    void noteInFlight(generation &work);
    void setAttempt(generation &work);
    void dropAttempt(generation &work);
    void releaseDecode(generation &work);
    void releasePrefill(generation &work);
    void releaseAll(generation &work);
    void armTimer(const generation &work);
    void onTimer(generation &work);
    void fail(generation &work, unsigned status, const std::string &code, const std::string &message);
    void refuse(caller_id caller, unsigned status, const std::string &code, const std::string &message, std::optional<duration> retryAfter);
    void finish(generation &work);
    static engine_need needOf(const generation &work);

    core_context &m_context;
    const upstream_table &m_upstreams;
    engine_selector &m_engines;
    cancel_queue &m_cancels;
    std::map<caller_id, generation> m_generations;
    std::map<attempt_id, caller_id> m_attempts;
    deadline_queue<caller_id> m_timers;
};

} // namespace heatherroute
