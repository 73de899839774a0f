#pragma once

#include <compare>
#include <optional>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Weights of a call_time_estimate; those of the retransmission timer of TCP (RFC 6298).
struct call_time_settings
{
    double meanGain = 0.125; ///< Weight of the newest call in the mean.
    double deviationGain = 0.25; ///< Weight of the newest call in the mean deviation.
    double deviations = 4.0; ///< Mean deviations above the mean that a call is expected to end within.

    auto operator<=>(const call_time_settings &) const = default;
};

/**
 * Estimates within which time nearly every call of one kind ends, from those that have ended.
 *
 * Pure; not thread safe.
 */
class call_time_estimate
{
public:
    static call_time_estimate make(const call_time_settings &settings);

    /// Records a complete call that took @p took.
    void note(duration took);
    /// Returns the time within which a call is expected to end; empty before the first one.
    std::optional<duration> upperBound() const;

private:
    explicit call_time_estimate(const call_time_settings &settings);

    call_time_settings m_settings;
    std::optional<double> m_mean; ///< In units of duration.
    double m_deviation = 0.0;
};

} // namespace heatherroute
