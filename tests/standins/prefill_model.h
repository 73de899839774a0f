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

/// A prefill that ended, or whose KV cache is ready to be fetched.
struct prefill_outcome
{
    std::uint64_t id = 0; ///< The id that submit() returned.
    end_reason reason = end_reason::Open; ///< Open if the KV cache is ready and held.
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t pieces = 0;
};

/**
 * The prefill role of a stand-in engine: a serial queue, the KV caches that it holds and the link that sends them.
 *
 * The model does no I/O; time is an argument and must not decrease. The caller calls advance() at nextEvent(). Not thread
 * safe.
 */
class prefill_model
{
public:
    explicit prefill_model(const engine_settings &settings);

    /// Queues @p request and stores its id in @p id. Returns Duplicate while another prefill with the same request id is queued,
    /// running or held, and NoMemory if the request needs more memory than the engine has in total.
    refusal submit(instant now, engine_request request, std::uint64_t *id);
    /// Cancels the prefill or drops the held KV cache of @p requestId. Returns false if there is neither.
    bool cancel(instant now, const std::string &requestId);
    /// Starts to send the KV cache @p id and returns the id of the transfer; empty if the KV cache is not held.
    std::optional<std::uint64_t> startTransfer(instant now, std::uint64_t id);
    /// Aborts @p transfer because its receiver has disconnected.
    void abandonTransfer(instant now, std::uint64_t transfer);
    /// Processes all events up to @p now.
    void advance(instant now);
    /// The time of the next event that advance() has to process; empty if there is none.
    std::optional<instant> nextEvent() const;

    /// Returns and clears the outcomes since the last call.
    std::vector<prefill_outcome> takeOutcomes();
    /// Returns and clears the transfers that completed since the last call.
    std::vector<std::uint64_t> takeCompletedTransfers();

    /// Sets the factor for the duration of the computations that start after this call.
    void setSlowFactor(double factor);
    /// Stalls or resumes the link; transfers make no progress while it is stalled.
    void setStalled(instant now, bool stalled);

    /// A request that holds memory.
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
    /// The prompt that is being computed, for the crash switches; null when idle.
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
        instant finish; ///< When the computation finishes.
        instant expiry; ///< When the held KV cache is dropped, or the end of its transfers if that is later.
        std::size_t transfers = 0;
    };
    using job_map = std::map<std::uint64_t, job>;

    void startNext(instant now);
    void finishRunning();
    void expire(instant now);
    void endJob(instant now, job_map::iterator entry, end_reason reason);

    engine_settings m_settings;
    link_model m_link;
    prefix_cache m_cache;
    double m_slowFactor = 1;
    std::size_t m_piecesFree;
    job_map m_jobs;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_running = 0; ///< Id of the job that is being computed; zero when idle.
    std::map<std::uint64_t, std::uint64_t> m_transfers; ///< Job id by transfer id.
    std::vector<prefill_outcome> m_outcomes;
    std::vector<std::uint64_t> m_completeTransfers;
    std::vector<prefill_record> m_records;
};

} // namespace heatherroute::standins
