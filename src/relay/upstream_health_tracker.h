#pragma once

#include <map>
#include <string>
#include <vector>

#include "heatherroute/connect_backoff.h"
#include "heatherroute/registration.h"
#include "heatherroute/time.h"
#include "heatherroute/upstream_health.h"

namespace heatherroute
{

/**
 * Tracks the health of each upstream by the outcome of its requests, and sets its share of work.
 *
 * Load pattern: some upstreams of a service crash, return errors while their health check succeeds, or become slow; the
 * others can carry the load. Each upstream has a weight that upstream_health determines, and advance() returns which ones to
 * probe. An upstream that can't be connected to goes into backoff at once, with a delay that doubles, since each further
 * attempt would delay a request. Not thread safe. Instants must not decrease.
 */
class upstream_health_tracker
{
public:
    static upstream_health_tracker make(const upstream_health_settings &settings);

    /// Adds an upstream, or its new instance after a restart; it starts as healthy.
    void add(const registration &run);
    /// Unknown ids are ignored, here and below, since results may arrive after a removal.
    void remove(const std::string &id);
    /// Records that a request took @p observed where @p predicted was expected. Precondition: @p predicted is positive.
    void noteSuccess(instant now, const std::string &id, duration observed, duration predicted);
    void noteFailure(instant now, const std::string &id);
    /// Records that no connection could be established, and starts a backoff. Ignored during a backoff, so that the failures of
    /// concurrent requests don't lengthen it.
    void noteUnreachable(instant now, const std::string &id);
    /// Like noteUnreachable(), but it doesn't count against the upstream, since this entry may have lost its own links.
    void noteUnconnected(instant now, const std::string &id);
    /// Records that an attempt to connect begins, and that a connection was established: after a backoff, one attempt at a time tells.
    void noteTried(instant now, const std::string &id);
    void noteConnected(instant now, const std::string &id);
    /// Ends the backoff of an upstream: the cause lay with this entry.
    void endBackoff(const std::string &id);
    /// Returns whether the upstream is not in backoff; true for an unknown id.
    bool isReachable(instant now, const std::string &id) const;
    /// Records the result of a probe that advance() requested.
    void noteProbe(instant now, const std::string &id, bool succeeded);

    /// Performs the steps that are due; returns the ids to probe now.
    std::vector<std::string> advance(instant now);

    /// Returns the share of work, from 0 to 1; 1 for an unknown id.
    double weight(const std::string &id) const;
    /// Returns the name of the health state, for logs.
    std::string stateOf(const std::string &id) const;

private:
    struct tracked_upstream
    {
        replica_index index = 0;
        double weight = 1.0;
    };

    explicit upstream_health_tracker(const upstream_health_settings &settings);
    pool_index poolIndexOf(const registration &run);
    void applyChanges(instant now);

    upstream_health m_health;
    connect_backoff m_connects;
    std::map<std::string, tracked_upstream> m_byId;
    std::map<replica_index, std::string> m_ids;
    std::map<std::string, pool_index> m_pools;
    replica_index m_nextIndex = 0;
};

} // namespace heatherroute
