#pragma once

#include <map>
#include <string>
#include <vector>

#include "heatherroute/registration.h"
#include "heatherroute/time.h"
#include "heatherroute/upstream_health.h"

namespace heatherroute
{

/**
 * How much work each upstream should get, by what its requests met.
 *
 * Load pattern: some upstreams of a service crash, answer with errors while their health check is good, or turn slow; the
 * rest can carry the load. Gives each a weight from upstream_health by its id, and tells which to probe. One that can't be
 * connected to is left alone at once, for a time that doubles, since each further try would hold a request up. Not thread
 * safe. Instants must not decrease.
 */
class upstream_judge
{
public:
    static upstream_judge make(const upstream_health_settings &settings);

    /// A run is known, or known anew after a restart; it starts healthy.
    void add(const registration &run);
    /// Unknown ids are ignored, here and below, since results may come after a removal.
    void remove(const std::string &id);
    /// A request took @p observed where @p predicted was expected. Precondition: @p predicted is positive.
    void noteSuccess(instant now, const std::string &id, duration observed, duration predicted);
    void noteFailure(instant now, const std::string &id);
    /// No connection could be made.
    void noteUnreachable(instant now, const std::string &id);
    /// Whether it is not being left alone as unreachable.
    bool isReachable(instant now, const std::string &id) const;
    void noteProbe(instant now, const std::string &id, bool succeeded);

    /// Takes the steps that are due; returns the ids to probe now.
    std::vector<std::string> advance(instant now);

    /// The share of work, 0 to 1; 1 for an unknown id.
    double weight(const std::string &id) const;
    /// The state by its name, for logs.
    std::string stateOf(const std::string &id) const;

private:
    struct judged
    {
        replica_index index = 0;
        double weight = 1.0;
        instant unreachableUntil{};
        duration pause{}; ///< The last time for which it was left alone.
    };

    explicit upstream_judge(const upstream_health_settings &settings);
    pool_index poolOf(const registration &run);
    void applyChanges(instant now);

    upstream_health m_health;
    std::map<std::string, judged> m_byId;
    std::map<replica_index, std::string> m_ids;
    std::map<std::string, pool_index> m_pools;
    replica_index m_nextIndex = 0;
};

} // namespace heatherroute
