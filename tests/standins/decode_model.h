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
 * The decode role of a stand-in engine: slots, memory pieces, the link that KV caches arrive by, and one step timer for
 * all running requests (continuous batching).
 *
 * A request takes its slot and its pieces when it is accepted and keeps both to its end. One that finished can be read
 * again for the detach time, without memory, since its text is a pure function of the prompt.
 * Pure: no I/O; time is an argument and must not go back. The caller advances it at nextEvent(). Not thread safe.
 */
class decode_model
{
public:
    explicit decode_model(const engine_settings &settings);

    /// Accepts @p request and begins to receive its KV cache; the index of its record goes to @p record.
    refusal accept(instant now, engine_request request, std::size_t *record);
    /// The sender has sent all of the KV cache of @p requestId.
    void sourceComplete(instant now, const std::string &requestId);
    /// The KV cache of @p requestId can't be had; frees what it took.
    void refuse(instant now, const std::string &requestId);
    /// Cancels @p requestId; false when it does not run here.
    bool cancel(instant now, const std::string &requestId);
    /// The stream of @p requestId closed: it is cancelled after the detach time unless it is attached again.
    void detach(instant now, const std::string &requestId);
    /// A stream reads @p requestId from now on; the index of its record, or empty when it is not known here any more.
    std::optional<std::size_t> attach(instant now, const std::string &requestId);
    /// The answer that @p requestId generates; null when it is not known here any more.
    const expected_answer *answer(const std::string &requestId) const;
    /// Processes everything up to @p now.
    void advance(instant now);
    /// When advance() next has something to do.
    std::optional<instant> nextEvent() const;

    /// Multiplies the time of steps that start from now on.
    void setSlowFactor(double factor);
    /// While stalled no KV cache arrives.
    void setStalled(instant now, bool stalled);

    /// All that hold memory: request id, pieces and since when.
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
    /// The most slots and pieces in use at once so far.
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
        bool arrived = false; ///< This side's share of the transfer is done.
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
