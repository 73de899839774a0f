#pragma once

#include "standins/engine_types.h"
#include "standins/expected_text.h"
#include "standins/link_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute::standins
{

/**
 * The decode role of a stand-in engine: slots, memory pieces, the link over which KV caches arrive, and one step timer
 * for all running requests (continuous batching).
 *
 * A request takes its slot and its pieces when it is accepted and keeps both until it ends. A finished request can still
 * be read for the detach timeout without holding memory, because its text is a pure function of the prompt.
 * The model does no I/O; time is an argument and must not decrease. The caller calls advance() at nextEvent(). Not thread
 * safe.
 */
class decode_model
{
public:
    explicit decode_model(const engine_settings &settings);

    /// Accepts @p request, starts to receive its KV cache and stores the index of its record in @p record.
    refusal accept(instant now, const engine_request &request, std::size_t *record);
    /// Notes that the sender has sent the whole KV cache of @p requestId; unknown requests are ignored.
    void markSourceComplete(instant now, const std::string &requestId);
    /// Ends a request whose KV cache can't be fetched and frees its slot and memory. Has no effect once decoding has started.
    void failTransfer(instant now, const std::string &requestId);
    /// Cancels @p requestId and discards its text. Returns false if the request is unknown or has already finished.
    bool cancel(instant now, const std::string &requestId);
    /// Notes that the stream of @p requestId closed. The request is removed after the detach timeout; attach() before that prevents it, unless the
    /// request has already finished.
    void detach(instant now, const std::string &requestId);
    /// Attaches a new stream to @p requestId. Returns the index of its record; empty if it is unknown or has not started.
    std::optional<std::size_t> attach(instant now, const std::string &requestId);
    /// The answer that @p requestId generates; null if the request is unknown. The pointer is valid until the next call that is not const.
    const expected_answer *answer(const std::string &requestId) const;
    /// Processes all events up to @p now.
    void advance(instant now);
    /// The time of the next event that advance() has to process; empty if there is none.
    std::optional<instant> nextEvent() const;

    /// Sets the factor for the duration of the steps that start after this call.
    void setSlowFactor(double factor);
    /// Stalls or resumes the link; KV caches make no progress while it is stalled.
    void setStalled(instant now, bool stalled);

    /// A request that holds memory.
    struct holder
    {
        std::string requestId;
        std::size_t pieces;
        instant since;
    };
    std::vector<holder> holders() const;
    std::size_t slotsUsed() const;
    std::size_t piecesFree() const;
    std::uint64_t tokensGenerated() const;
    /// The highest numbers of slots and pieces that have been in use at the same time.
    std::size_t peakSlots() const;
    std::size_t peakPieces() const;
    const std::vector<decode_record> &records() const;

private:
    struct job
    {
        explicit job(const expected_answer &text)
            : answer(text)
        { }

        expected_answer answer;
        std::size_t pieces = 0;
        std::size_t generated = 0;
        std::size_t record = 0;
        std::uint64_t transfer = 0;
        bool sourceComplete = false;
        bool arrived = false; ///< The link of this engine has received the whole KV cache.
        bool started = false;
        bool holdsMemory = true;
        std::optional<instant> deadline;
        std::optional<instant> detachEnd;
    };
    using job_map = std::map<std::string, job>;

    void startIfReady(instant now, job &candidate);
    void scheduleStep(instant now);
    void step(instant now);
    void expire(instant now);
    void release(instant now, job &ended, end_reason reason);
    std::size_t running() const;

    engine_settings m_settings;
    link_model m_link;
    double m_slowFactor = 1;
    std::size_t m_slotsUsed = 0;
    std::size_t m_piecesFree;
    std::size_t m_peakSlots = 0;
    std::size_t m_peakPieces = 0;
    std::uint64_t m_tokensGenerated = 0;
    std::optional<instant> m_stepEnd;
    job_map m_jobs;
    std::vector<decode_record> m_records;
};

} // namespace heatherroute::standins
