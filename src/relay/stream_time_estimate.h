#pragma once

#include <cstdint>
#include <optional>

#include "heatherroute/time.h"
#include "relay/call_time_estimate.h"

namespace heatherroute
{

/**
 * Bounds the time of a stream by the output that its caller declares, from the streams that have ended.
 *
 * Load pattern: streams of one service differ in length by ten times. In a planned stop, what streams usually take says nothing about one that
 * may be much longer than those before. Its declared maximum does, since an event holds at least one token. Pure; not thread safe.
 */
class stream_time_estimate
{
public:
    static stream_time_estimate make(const call_time_settings &settings);

    /// Records a complete stream of @p events that took @p took from its dispatch, @p firstAfter of which passed before its first event. Streams
    /// of fewer than two events say nothing about the time of an event, and are ignored.
    void note(duration firstAfter, duration took, std::uint64_t events);
    /// Returns the time within which nearly every stream of at most @p maxEvents ends, from its dispatch; empty before the first one, or if
    /// @p maxEvents is 0.
    std::optional<duration> upperBound(std::uint32_t maxEvents) const;

private:
    explicit stream_time_estimate(const call_time_settings &settings);

    call_time_estimate m_firstAfter;
    call_time_estimate m_perEvent;
};

} // namespace heatherroute
