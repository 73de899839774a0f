#pragma once

#include "standins/engine_types.h"
#include "standins/link_model.h"
#include "standins/prefix_cache.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute::standins
{

/// A prefill that ended or whose KV cache is ready.
struct prefill_outcome
{
    std::uint64_t id = 0; ///< The id that submit() gave.
    end_reason reason = end_reason::Open; ///< Open: the KV cache is held now.
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t pieces = 0;
};

/**
 * The prefill role of a stand-in engine: a serial queue, held KV caches and the link they leave by.
 *
 * Pure: no I/O; time is an argument and must not go back. The caller advances it at nextEvent(). Not thread safe.
 */
class prefill_model
{
public:
    explicit prefill_model(const engine_settings &settings);

    /// Queues @p request; the id goes to @p id. Refused with NoMemory when it could never fit.
    refusal submit(instant now, engine_request request, std::uint64_t *id);
    /// Drops the work or the held KV cache of @p requestId; false when there is none.
    bool cancel(instant now, const std::string &requestId);
    /// Begins to send the KV cache @p id; empty when it is gone.
    std::optional<std::uint64_t> startTransfer(instant now, std::uint64_t id);
    /// The receiver of @p transfer is gone.
    void abandonTransfer(instant now, std::uint64_t transfer);
    /// Processes everything up to @p now.
    void advance(instant now);
    /// When advance() next has something to do.
    std::optional<instant> nextEvent() const;

    /// What happened since the last call.
    std::vector<prefill_outcome> takeOutcomes();
    /// Transfers that completed since the last call.
    std::vector<std::uint64_t> takeTransfers();

    /// Multiplies the time of what starts from now on.
    void setSlowFactor(double factor);
    /// While stalled no transfer makes progress.
    void setStalled(instant now, bool stalled);

    /// All that hold memory: request id, pieces and since when.
    struct holder
    {
        std::string requestId;
        std::size_t pieces;
        instant since;
    };
    std::vector<holder> holders() const;
    std::size_t queued() const;
    std::size_t running() const;
    std::size_t piecesFree() const;
    const prefix_cache &cache() const;
    const std::vector<prefill_record> &records() const;
    /// The prompt that starts computing next or is computing, for crash switches; null when idle.
    const std::string *runningPrompt() const;

private:
    struct job
    {
        engine_request request;
        std::vector<std::uint64_t> hashes;
        std::size_t record = 0;
        std::size_t pieces = 0;
        std::optional<instant> deadline;
        bool held = false;
        instant finish; ///< Of the computation.
        instant expiry; ///< Of the held KV cache.
        std::size_t transfers = 0;
    };
    using job_map = std::map<std::uint64_t, job>;

    void startNext(instant now);
    void finishRunning();
    void expire(instant now);
    void end(instant now, job_map::iterator entry, end_reason reason);

    engine_settings m_settings;
    link_model m_link;
    prefix_cache m_cache;
    double m_slowFactor = 1;
    std::size_t m_piecesFree;
    job_map m_jobs;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_running = 0; ///< Zero when idle.
    std::map<std::uint64_t, std::uint64_t> m_transfers; ///< Transfer to job.
    std::vector<prefill_outcome> m_outcomes;
    std::vector<std::uint64_t> m_completeTransfers;
    std::vector<prefill_record> m_records;
};

} // namespace heatherroute::standins
