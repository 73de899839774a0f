#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "heatherroute/route_table.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Times of a planned stop, counted from the stop signal.
struct stop_settings
{
    duration grace = std::chrono::seconds(8); ///< Until the platform kills the process.
    /// Until idle connections of callers are closed. The others close after their next answer.
    duration drainAfter = std::chrono::milliseconds(600);
    /// Until the port for callers is closed. Callers with a cached directory answer that still lists this entry are served until then.
    duration closeAfter = std::chrono::milliseconds(2'500);
    duration abortMargin = std::chrono::milliseconds(700); ///< Time before the end of the grace at which the remaining requests are aborted.
    duration abortTime = std::chrono::milliseconds(200); ///< For the last answers and for the calls that release memory on engines.

    auto operator<=>(const stop_settings &) const = default;
};

/// The phases of a planned stop, in order.
enum class stop_phase : std::uint8_t {
    Running, ///< No stop signal has come.
    Announced, ///< Other entries and callers of the directory know; requests are served if they end before the abort.
    Draining, ///< Connections close after their next answer.
    Closed, ///< No new connections; requests that callers are already sending may still arrive.
    Aborting, ///< What still runs is aborted, and what arrives is refused.
    Ended, ///< The process ends.
};

/// The name of @p phase in logs. Thread safe.
const char *toString(stop_phase phase) noexcept;

/// What a planned stop has left to do.
struct stop_load
{
    std::size_t requests = 0; ///< In progress.
    std::size_t connections = 0; ///< Of callers.

    auto operator<=>(const stop_load &) const = default;
};

/**
 * The phases of a planned stop, and which requests may still be sent to an upstream.
 *
 * Load pattern: entries are stopped in turn while callers that still know their addresses send requests, some on connections that were opened
 * long before, some with a body that takes seconds. A request that reaches an upstream too late is cut at the end of the grace, and a
 * non-idempotent one can't be repeated then. It is refused as not run instead, while another entry can still serve it. Pure; not thread safe.
 * Instants must not decrease.
 */
class stop_plan
{
public:
    static stop_plan make(const stop_settings &settings);

    /// Records the stop signal. Further signals change nothing.
    void begin(instant now);
    bool isStopping() const noexcept
    {
        return m_stoppingSince.has_value();
    }
    /// Returns the phase. It is Ended before the abort if nothing is left and nothing can arrive any more, and stays so.
    stop_phase advance(instant now, const stop_load &left);
    /// Returns whether work that takes @p timeNeeded may be sent to an upstream now. True until the stop signal, and false once the stop has ended.
    bool mayBegin(instant now, duration timeNeeded) const;

private:
    explicit stop_plan(const stop_settings &settings);

    stop_settings m_settings;
    std::optional<instant> m_stoppingSince;
    bool m_isEnded = false;
};

/// What is known of the length of a call before it is sent.
struct call_length
{
    route_kind kind = route_kind::NonIdempotent;
    bool resumable = false; ///< Its caller can take up the stream elsewhere.
    duration timeLeft{}; ///< How long the caller waits.
    std::uint32_t maxOutputTokens = 0; ///< Of a stream, as declared by its caller; 0 if it declares none.

    auto operator<=>(const call_length &) const = default;
};

/// How long calls of one kind took here.
struct observed_call_times
{
    std::optional<duration> usual; ///< Within which nearly all have ended.
    std::optional<duration> atMost; ///< Of streams: for as much output as the call declares, see stream_time_estimate.

    auto operator<=>(const observed_call_times &) const = default;
};

/**
 * Returns the time that a call must be given before a planned stop may cut it.
 *
 * A call that may be repeated, and a stream that its caller can take up at another entry, is given the time that such calls usually take, if that
 * is known and shorter than the time that its caller waits. A stream that can't be taken up is lost if it is cut, so it is given the time for all
 * the output that it declares. A plain call that may not be repeated is given all the time that its caller waits, since nobody could tell its
 * caller whether it has run. Thread safe.
 */
duration timeNeededFor(const call_length &call, const observed_call_times &observed);

} // namespace heatherroute
