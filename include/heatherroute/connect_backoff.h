#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "heatherroute/time.h"

namespace heatherroute
{

/// Delays of a connect_backoff.
struct connect_backoff_settings
{
    duration initialDelay = std::chrono::milliseconds(800); ///< Short, since a single lost packet may be the cause.
    duration maxDelay = std::chrono::milliseconds(4'000);
    duration trialTime = std::chrono::milliseconds(200); ///< How long others wait for the outcome of the first attempt after a backoff.

    auto operator<=>(const connect_backoff_settings &) const = default;
};

/**
 * Which upstreams get no work because no connection to them could be established.
 *
 * Load pattern: many upstreams end at the same moment, and each attempt to connect to one of them costs a request time, or one of its
 * attempts. An upstream that can't be connected to is left out for a time that doubles with each failure that follows. After it, one attempt at
 * a time tells whether it can be connected to again, if attempts are told by noteTried(): a half-open circuit breaker. Pure; not thread safe.
 * Instants must not decrease.
 */
class connect_backoff
{
public:
    static connect_backoff make(const connect_backoff_settings &settings);

    /// Records that no connection to @p upstream could be established. Returns whether a backoff begins. Ignored during one, so that the
    /// failures of concurrent requests don't lengthen it.
    bool noteUnreachable(instant now, const std::string &upstream);
    /// Records that an attempt to connect to @p upstream begins. The first one after a backoff is a trial, during which the upstream isn't reachable.
    void noteTried(instant now, const std::string &upstream);
    /// Records that a connection to @p upstream was established, which ends a trial.
    void noteConnected(instant now, const std::string &upstream);
    /// Records that @p upstream has answered a request: its next backoff is as short as the first one.
    void noteAnswered(const std::string &upstream);
    /// Forgets @p upstream, which ends its backoff: it was removed or replaced, or answered a probe.
    void forget(const std::string &upstream);
    /// Returns whether @p upstream is not in backoff; true for an unknown one.
    bool isReachable(instant now, const std::string &upstream) const;
    /// Returns the upstreams in backoff, ordered by name.
    std::vector<std::string> unreachable(instant now) const;

private:
    struct backoff
    {
        instant until{};
        duration delay{}; ///< The last one.
        bool isTrial = false; ///< The wait is for the outcome of a trial.
    };

    explicit connect_backoff(const connect_backoff_settings &settings);

    connect_backoff_settings m_settings;
    std::map<std::string, backoff> m_backoffs; ///< By upstream.
};

} // namespace heatherroute
