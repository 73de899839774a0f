#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "heatherroute/time.h"
#include "relay/platform_store.h"

namespace heatherroute
{

/// Timeouts of reads of the store, and the interval of its probes.
struct store_read_watch_settings
{
    /// Timeout of the first read; doubles with each further one in a row that fails, up to the maximum.
    std::chrono::milliseconds minTimeout{1'200};
    std::chrono::milliseconds maxTimeout{6'000};
    std::chrono::milliseconds probeInterval{700}; ///< Mean time until a read without an answer leads to a probe, and between two probes.

    auto operator<=>(const store_read_watch_settings &) const = default;
};

/**
 * Decides how long an entry waits for a read of the store, and when it probes a store that doesn't answer.
 *
 * Load pattern: when hundreds of entries start together, their reads queue at the store, and a read that is repeated queues again, so timeouts
 * grow. But a store that was silent never answers what was sent to it meanwhile, while it answers new calls at once. Therefore a read is given up
 * when the store has answered a call that was sent after it; the time that it is given nevertheless grows only with reads that ended so. While
 * nothing is answered, probes with small answers find out when the store is back. Pure; not thread safe. Instants must not decrease.
 */
class store_read_watch
{
public:
    static store_read_watch make(const store_read_watch_settings &settings);

    /// Records that a read of @p stream was sent at @p now, whose answer the store may delay by @p wait.
    void noteSent(store_stream stream, instant now, std::chrono::milliseconds wait);
    /// Records that the answer of the pending read of @p stream has begun to arrive. The read isn't given up any more.
    void noteAnswering(store_stream stream);
    /// Records that the read of @p stream ended with an answer.
    void noteDone(store_stream stream);
    /// Records that the read of @p stream ended without an answer.
    void noteFailed(store_stream stream);
    /// Records that the store answered a call that was sent at @p sentAt.
    void noteAnswer(instant sentAt);
    /// Records that a probe was sent. The next one follows after a random time around the interval, but at least @p minInterval on average.
    void noteProbe(instant now, std::chrono::milliseconds minInterval, std::mt19937_64 &random);

    /// Returns the number of failed reads of @p stream in a row. If the store answered other calls meanwhile, those during its silence don't count.
    std::uint32_t failures(store_stream stream) const;
    /// Returns the timeout of the next read of @p stream while nothing else shows that the store answers.
    std::chrono::milliseconds timeout(store_stream stream) const;
    /// Returns the streams whose pending reads are to be given up, each read once.
    std::vector<store_stream> takeGivenUp(instant now);
    /// Returns whether the store is to be probed.
    bool shouldProbe(instant now) const;
    /// Returns when takeGivenUp() or shouldProbe() may change next without a further event; empty when they don't.
    std::optional<instant> nextChange() const;

private:
    struct stream_state
    {
        bool isPending = false; ///< A read has been sent, no byte of its answer has arrived, and it hasn't been given up.
        instant sentAt{};
        std::chrono::milliseconds wait{};
        std::uint32_t failures = 0;
        std::uint32_t failuresBesideAnswers = 0; ///< Of these, in a row, while the store answered calls that were sent later.
    };

    explicit store_read_watch(const store_read_watch_settings &settings);
    std::chrono::milliseconds timeoutAfter(std::uint32_t failures) const;
    /// Whether a call that was sent after the pending read has been answered.
    bool isOvertaken(const stream_state &state) const;
    instant giveUpAt(const stream_state &state) const;
    instant probeAt(const stream_state &state) const;

    store_read_watch_settings m_settings;
    std::map<store_stream, stream_state> m_streams;
    std::optional<instant> m_answeredCall; ///< When the newest of the calls that were answered was sent.
    instant m_nextProbeAt{};
};

} // namespace heatherroute
